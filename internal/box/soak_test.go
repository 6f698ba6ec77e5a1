package box

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"ospreymoor.example/ospreymoor/internal/standin"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

// soak is how long the soak test goes on with new seeds:
//
//	go test ./internal/box -timeout 0 -args -ginkgo.focus=soak -soak=10m -soak-seed=1
var (
	soak     = flag.Duration("soak", 0, "run seeds of the soak test for this long; 0 runs those of CI")
	soakSeed = flag.Uint64("soak-seed", 1, "first seed of the soak test")
)

// fault is one fault injected into a fleet.
type fault struct {
	kind string
	// hall and number choose the hall, and the engine in it, for kinds that need one.
	hall, number int
	// duration is how long the fault lasts. pauseAfter is the pause between its end and the next fault.
	duration, pauseAfter time.Duration
	// concurrent has the next fault of the schedule injected at the same time.
	concurrent bool
}

var faultKinds = []string{
	"kill box", "drain box", "restart engine", "reset engine", "platform down", "lost answers",
	"cut hall", "cut platform from hall", "roll", "lose engine orders", "cut engine",
}

// schedule returns the faults of a seed. The same seed gives the same faults.
func schedule(seed uint64) []fault {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:       rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			hall:       rapid.IntRange(1, 2).Draw(t, "hall"),
			number:     rapid.IntRange(1, 2).Draw(t, "number"),
			duration:   time.Duration(rapid.IntRange(50, 4000).Draw(t, "lasts")) * time.Millisecond,
			pauseAfter: time.Duration(rapid.IntRange(0, 2500).Draw(t, "then")) * time.Millisecond,
			concurrent: rapid.Bool().Draw(t, "twice"),
		}
	})
	return rapid.SliceOfN(one, 14, 14).Example(int(seed))
}

// soakRun runs a seed's faults on one fleet under calls and rolls. It returns every violation of an invariant.
func soakRun(seed uint64) (found []string) {
	var losing sync.Map
	spec := fleetSpec{halls: 2, boxes: 2, engines: 2, memory: 40 * gib, weightSpeed: 10 * gib}
	spec.engine = func(id string, c *standin.EngineConfig, _ *membership.Box) {
		c.Mangle = mangler(seed*100 + uint64(id[1])*10 + uint64(id[4]))
		c.OnOrder = func(context.Context, string) error {
			if late, ok := losing.Load(id); ok {
				time.Sleep(late.(time.Duration))
			}
			return nil
		}
	}
	withFleet(spec, func(t *testFleet) {
		t.roll(t.boxes["h1-b1"], bundleText(1, "a", "10GiB", "writer", "other"))
		t.awaitModels("writer", "other")
		boxes := newBoxPicker(t, seed)
		ctx, cancel := context.WithCancel(context.Background())
		var callers, watching sync.WaitGroup
		var history eventLog[attempt]
		var back []string
		watching.Go(func() { back = watchGenerations(ctx, t, boxes) })
		for caller := range 4 {
			random := rand.New(rand.NewPCG(seed, 300+uint64(caller)))
			callers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					callUntilAnswered(t, boxes, random, fmt.Sprintf("s%d-%d", caller, n), &history)
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		t.injectFaults(schedule(seed), spec, boxes, &losing)
		cancel()
		callers.Wait()
		watching.Wait()
		found = append(back, violations(t, history.all())...)
		if n := t.overcommitted(); n > 0 {
			found = append(found, fmt.Sprintf("memory overcommitted %d times", n))
		}
		t.until(60*time.Second, func() error { return checkGenerations(t) })
		t.awaitModels("writer", "other")
	})
	return found
}

// injectFaults injects the faults one after the other, or two at once.
func (t *testFleet) injectFaults(faults []fault, spec fleetSpec, boxes *boxPicker, losing *sync.Map) {
	version := 1
	for i, f := range faults {
		var together sync.WaitGroup
		together.Go(func() { t.injectFault(f, spec, boxes, losing, &version) })
		if f.concurrent && i+1 < len(faults) && faults[i+1].kind != "roll" && f.kind != "roll" {
			next := faults[i+1]
			together.Go(func() { t.injectFault(next, spec, boxes, losing, &version) })
		}
		together.Wait()
		time.Sleep(f.pauseAfter)
	}
}

// injectFault injects one fault and undoes it when its duration is over.
func (t *testFleet) injectFault(f fault, spec fleetSpec, boxes *boxPicker, losing *sync.Map, version *int) {
	hall := fmt.Sprintf("h%d", f.hall)
	engine := fmt.Sprintf("%s-e%d", hall, f.number)
	switch f.kind {
	case "kill box":
		boxes.replace(spec)
	case "drain box":
		boxes.drain(spec)
	case "restart engine":
		t.engines[engine].Restart()
		t.net.reset(engine)
	case "reset engine":
		t.net.reset(engine)
	case "platform down":
		t.platform.SetMode(standin.FaultDown)
		time.Sleep(f.duration)
		t.platform.SetMode(standin.FaultNone)
	case "lost answers":
		t.platform.SetMode(standin.FaultLostAnswer)
		time.Sleep(f.duration / 4)
		t.platform.SetMode(standin.FaultNone)
	case "cut hall":
		inside, outside := boxes.hosts(hall)
		t.net.setPartition(true, inside, outside)
		time.Sleep(f.duration)
		t.net.setPartition(false, inside, outside)
	case "cut platform from hall":
		inside, _ := boxes.hosts(hall)
		t.net.setPartition(true, inside, []string{"platform"})
		time.Sleep(f.duration)
		t.net.setPartition(false, inside, []string{"platform"})
	case "cut engine":
		others := boxes.boxHosts()
		t.net.setPartition(true, others, []string{engine})
		t.net.reset(engine)
		time.Sleep(f.duration)
		t.net.setPartition(false, others, []string{engine})
	case "roll":
		*version++
		_, b := boxes.pick()
		t.tryRoll(b, *version)
	case "lose engine orders":
		losing.Store(engine, 3*f.duration)
		time.Sleep(f.duration)
		losing.Delete(engine)
	}
}

// tryRoll rolls a version whose second model has new weights. The roll may fail.
func (t *testFleet) tryRoll(b *testBox, version int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	text := bundleText(version, "a", "10GiB", "writer")
	other := bundleText(version, fmt.Sprintf("w%d", version), "10GiB", "other")
	text = joinModels(text, other)
	client := b.operator(t)
	if _, err := client.SignOffBundle(ctx, authorized(operatorToken, signOffRequest(text))); err != nil {
		return
	}
	_ = rollOnce(t, b, uint64(version))
}

var _ = Describe("All faults together (soak)", func() {
	It("violate no invariant", func() {
		begun := time.Now()
		for seed := *soakSeed; ; seed++ {
			found := soakRun(seed)
			Expect(found).To(BeEmpty(), "replay with -soak-seed=%d", seed)
			if *soak == 0 && seed == *soakSeed+3 || *soak > 0 && time.Since(begun) > *soak {
				GinkgoWriter.Printf("seeds %d to %d\n", *soakSeed, seed)
				return
			}
		}
	})
})
