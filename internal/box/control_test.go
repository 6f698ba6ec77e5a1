package box

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/standin"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// inForceLimit is the time within which a change must be in force everywhere.
const inForceLimit = 7 * time.Second

// rollModel is the table in force for one customer: versions only grow.
var rollModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		current, version := state.(uint64), input.(uint64)
		switch output {
		case "done":
			if version > current {
				return []any{version}
			}
		case "older":
			if version <= current {
				return []any{current}
			}
		case "unknown":
			if version > current {
				return []any{current, version}
			}
			return []any{current}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// rollOnce rolls a version at a box and sorts what came of it.
func rollOnce(t *testFleet, b *testBox, version uint64) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request := authorized(operatorToken, &ospreymoorv1.RollBundleRequest{Version: version})
	_, err := b.operator(t).RollBundle(ctx, request)
	switch {
	case err == nil:
		return "done"
	case connect.CodeOf(err) == connect.CodeFailedPrecondition && strings.Contains(err.Error(), "not above the one in force"):
		return "older"
	default:
		return "unknown"
	}
}

// generations samples each box's generation until ctx ends and reports any that went back.
func watchGenerations(ctx context.Context, t *testFleet, boxes *boxPicker) (back []string) {
	highest := map[string]int64{}
	for pause(ctx, 50*time.Millisecond) {
		boxes.mu.Lock()
		for id, b := range t.boxes {
			f := b.inForce.Load()
			if f == nil {
				continue
			}
			if f.generation < highest[b.host] {
				back = append(back, fmt.Sprintf("%s from %d to %d", id, highest[b.host], f.generation))
			}
			highest[b.host] = f.generation
		}
		boxes.mu.Unlock()
	}
	return back
}

// settled tells whether every box serves the generation that the store holds.
func settled(t *testFleet) error {
	record, err := t.platform.Memory.Store().Get(context.Background(), "fleet/inforce")
	if err != nil {
		return err
	}
	for id, b := range t.boxes {
		if f := b.inForce.Load(); f == nil || f.generation != record.Revision {
			return fmt.Errorf("box %s does not serve generation %d", id, record.Revision)
		}
	}
	return nil
}

var _ = Describe("Bundles in force", func() {
	It("are linearizable and never revert while operators race and everything fails", func() {
		for seed := range uint64(5) {
			spec := fleetSpec{halls: 2, boxes: 2, engines: 2, memory: 64 * gib, fault: lossyPlatform(seed)}
			withFleet(spec, func(t *testFleet) {
				t.roll(t.boxes["h1-b1"], bundleText(1, "a", "1GiB", "writer"))
				client := t.boxes["h1-b1"].operator(t)
				for version := 2; version <= 16; version++ {
					text := bundleText(version, "a", "1GiB", "writer")
					t.until(30*time.Second, func() error {
						_, err := client.SignOffBundle(context.Background(), authorized(operatorToken, &ospreymoorv1.SignOffBundleRequest{Yaml: text}))
						return err
					})
				}
				boxes := newBoxPicker(t, seed)
				ctx, cancel := context.WithCancel(context.Background())
				var back []string
				var watching, operators sync.WaitGroup
				watching.Go(func() { back = watchGenerations(ctx, t, boxes) })
				watching.Go(func() { breakThings(ctx, t, spec, boxes, seed) })
				history := raceOperators(t, boxes, seed, &operators)
				cancel()
				watching.Wait()
				Expect(back).To(BeEmpty(), "seed %d", seed)
				Expect(porcupine.CheckOperations(rollModel.ToModel(), history)).To(BeTrue(), "seed %d", seed)
				t.platform.SetMode(standin.FaultNone)
				t.until(60*time.Second, func() error { return settled(t) })
			})
		}
	})

	It("is everywhere within seconds of being accepted", func() {
		withFleet(fleetSpec{halls: 3, boxes: 3, engines: 1, memory: 64 * gib}, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "a", "1GiB", "writer"))
			time.Sleep(20 * time.Second)
			for version := 2; version <= 10; version++ {
				t.roll(t.boxes[fmt.Sprintf("h%d-b2", 1+version%3)], bundleText(version, "a", "1GiB", "writer"))
				t.until(inForceLimit, func() error { return settled(t) })
				time.Sleep(time.Duration(version) * 777 * time.Millisecond)
			}
		})
	})

	It("reaches a box that starts while the platform is down, from its peers", func() {
		spec := fleetSpec{halls: 2, boxes: 2, engines: 1, memory: 64 * gib}
		withFleet(spec, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "a", "1GiB", "writer"))
			t.awaitModels("writer")
			peer := t.boxes["h1-b2"].config.PeerAddress
			t.platform.SetMode(standin.FaultDown)
			t.kill("h1-b1")
			spec.config = func(c *Config) { c.Peers = []string{peer} }
			fresh := t.startBox(spec, "h1", "h1-b1")
			Expect(fresh.Ready()).To(BeFalse())
			t.until(10*time.Second, func() error {
				if !fresh.Ready() {
					return errors.New("not ready")
				}
				_, err := t.complete(context.Background(), fresh, &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: "x"})
				return err
			})
			t.platform.SetMode(standin.FaultNone)
		})
	})
})

// raceOperators has operators roll versions at random boxes and returns the history.
func raceOperators(t *testFleet, boxes *boxPicker, seed uint64, operators *sync.WaitGroup) []porcupine.Operation {
	var history histories[porcupine.Operation]
	begun := time.Now()
	for operator := range 3 {
		random := rand.New(rand.NewPCG(seed, 200+uint64(operator)))
		operators.Go(func() {
			for range 6 {
				version := uint64(2 + random.IntN(15))
				_, b := boxes.pick()
				called := time.Since(begun)
				outcome := rollOnce(t, b, version)
				end := time.Since(begun)
				if outcome == "unknown" {
					end = time.Hour
				}
				history.add(porcupine.Operation{ClientId: operator, Input: version, Call: int64(called), Output: outcome, Return: int64(end)})
				time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			}
		})
	}
	operators.Wait()
	return history.all()
}

// probe asks for each model at a box again and again until ctx ends; it returns the refusals.
func probe(ctx context.Context, t *testFleet, b *testBox, models []string) (refused []string) {
	var history histories[string]
	var probes sync.WaitGroup
	begun := time.Now()
	for _, model := range models {
		probes.Go(func() {
			for n := 0; pause(ctx, 100*time.Millisecond); n++ {
				request := &ospreymoorv1.GenerateRequest{Model: model, Prompt: fmt.Sprintf("%s %d", model, n), MaxTokens: 2}
				if _, err := t.complete(context.Background(), b, request); err != nil {
					history.add(fmt.Sprintf("%s at %s: %s", model, time.Since(begun), err))
				}
			}
		})
	}
	probes.Wait()
	return history.all()
}

var _ = Describe("Every model of a bundle in force", func() {
	models := []string{"m1", "m2", "m3", "m4"}

	It("stays reachable while new weights are rolled and models move", func() {
		spec := fleetSpec{halls: 2, boxes: 2, engines: 2, memory: 50 * gib, weightSpeed: 5 * gib}
		withFleet(spec, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "w1", "15GiB", models...))
			t.awaitModels(models...)
			ctx, cancel := context.WithCancel(context.Background())
			var probing sync.WaitGroup
			var refused []string
			probing.Go(func() { refused = probe(ctx, t, t.boxes["h2-b1"], models) })
			for version := 2; version <= 4; version++ {
				t.roll(t.boxes["h1-b1"], bundleText(version, fmt.Sprintf("w%d", version), "15GiB", models...))
				time.Sleep(60 * time.Second)
			}
			cancel()
			probing.Wait()
			Expect(refused).To(BeEmpty())
			plan := t.boxes["h2-b1"].fleet.Load().plan
			Expect(plan.Serving).To(HaveKeyWithValue("acme/m1", "acme/m1@w4"), "the roll got through")
		})
	})

	It("stays reachable when an engine dies, and when the hall's controller dies too", func() {
		spec := fleetSpec{halls: 2, boxes: 2, engines: 2, memory: 64 * gib, weightSpeed: 5 * gib}
		withFleet(spec, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "w1", "15GiB", models...))
			t.awaitModels(models...)
			time.Sleep(60 * time.Second) // Second copies are loaded.
			t.net.kill("h1-e1")
			for id, b := range t.boxes {
				if _, err := b.control.hall.Term(); err == nil && b.config.Hall == "h1" {
					t.kill(id)
					t.startBox(spec, "h1", id)
				}
			}
			time.Sleep(10 * time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
			defer cancel()
			Expect(probe(ctx, t, t.boxes["h2-b1"], models)).To(BeEmpty())
			for _, copies := range t.boxes["h2-b1"].fleet.Load().plan.Units {
				alive := slices.DeleteFunc(slices.Clone(copies.Places), func(p placement.Place) bool { return p.Engine == "h1-e1" })
				Expect(len(alive)).To(BeNumerically(">=", 2), "the lost copy of %s was made anew", copies.Model)
			}
		})
	})

	It("is served on by a hall that is cut off from everything, as far as the hall holds it", func() {
		spec := fleetSpec{halls: 2, boxes: 2, engines: 2, memory: 64 * gib}
		withFleet(spec, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "w1", "15GiB", "m1"))
			t.awaitModels("m1")
			time.Sleep(30 * time.Second)
			inside, outside := t.hosts("h2")
			t.net.setCut(true, inside, outside)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
			defer cancel()
			for _, id := range []string{"h1-b1", "h2-b1"} {
				t.until(15*time.Second, func() error {
					_, err := t.complete(context.Background(), t.boxes[id], &ospreymoorv1.GenerateRequest{Model: "m1", Prompt: "x", MaxTokens: 2})
					return err
				})
			}
			Expect(probe(ctx, t, t.boxes["h2-b1"], []string{"m1"})).To(BeEmpty())
			t.net.setCut(false, inside, outside)
			t.until(60*time.Second, func() error { return settled(t) })
		})
	})
})

var _ = Describe("While the platform is down", func() {
	// refusedLater has engines busy when the platform goes down for minutes, and returns the
	// refusals long after the rush is over. killed has the hall's controller die meanwhile.
	refusedLater := func(killed bool) (refused []string) {
		withFleet(fleetSpec{halls: 1, boxes: 3, engines: 2, memory: 64 * gib}, func(t *testFleet) {
			text := strings.Replace(bundleText(1, "w1", "15GiB", "m1"), "first-token: 30s", "first-token: 2s", 1)
			t.roll(t.boxes["h1-b1"], text)
			t.awaitModels("m1")
			time.Sleep(20 * time.Second)
			t.platform.SetMode(standin.FaultDown)
			var rush sync.WaitGroup
			for n := range 600 {
				rush.Go(func() {
					request := &ospreymoorv1.GenerateRequest{Model: "m1", Prompt: fmt.Sprintf("rush %d", n), MaxTokens: 100}
					_, _ = t.complete(context.Background(), t.boxes[fmt.Sprintf("h1-b%d", 1+n%3)], request)
				})
				time.Sleep(50 * time.Millisecond)
			}
			if killed {
				for id, b := range t.boxes {
					if b.control.hall.LatestTerm() > 0 {
						t.kill(id)
					}
				}
			}
			rush.Wait()
			time.Sleep(time.Minute)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			for _, b := range t.boxes {
				refused = append(refused, probe(ctx, t, b, []string{"m1"})...)
				break
			}
			t.platform.SetMode(standin.FaultNone)
		})
		return refused
	}

	It("a rush is forgotten when it is over", func() {
		Expect(refusedLater(false)).To(BeEmpty())
	})

	It("a rush is forgotten also when the hall's controller has died", func() {
		Expect(refusedLater(true)).To(BeEmpty())
	})
})

var _ = Describe("An upstream that is leaving", func() {
	// lateRequests has an engine leave while the box list goes on naming it, and counts the
	// requests that still reach it more than seconds later.
	lateRequests := func(guard bool) (late int) {
		withFleet(fleetSpec{halls: 1, boxes: 3, engines: 2, memory: 64 * gib}, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "w1", "15GiB", "m1"))
			t.awaitModels("m1")
			time.Sleep(20 * time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			var probing sync.WaitGroup
			for _, b := range t.boxes {
				probing.Go(func() {
					defer GinkgoRecover()
					refused := probe(ctx, t, b, []string{"m1"})
					Expect(guard && len(refused) > 0).To(BeFalse(), "%v", refused)
				})
				if !guard {
					probing.Go(func() {
						for pause(ctx, 10*time.Millisecond) {
							b.view.MarkStaying("h1-e1")
							b.forgetLeaving("h1-e1")
						}
					})
				}
			}
			time.Sleep(5 * time.Second)
			t.engines["h1-e1"].Leave()
			time.Sleep(3 * time.Second)
			before := t.engines["h1-e1"].Record().StartedLeaving
			probing.Wait()
			late = t.engines["h1-e1"].Record().StartedLeaving - before
		})
		return late
	}

	It("gets nothing new after three seconds, though the box list lags, and no caller notices", func() {
		Expect(lateRequests(true)).To(BeZero())
	})

	It("would get more if boxes went by the box list alone (guard off)", func() {
		Expect(lateRequests(false)).To(BeNumerically(">", 0))
	})
})

// forgetLeaving makes a box believe that an engine stays.
func (b *testBox) forgetLeaving(id string) {
	old := b.fleet.Load()
	next := *old
	next.engines = map[string]engineInfo{}
	for name, info := range old.engines {
		if name == id {
			info.holding.Leaving = false
		}
		next.engines[name] = info
	}
	b.fleet.Store(&next)
}

var _ = Describe("A planned stop", func() {
	// cutOff stops every box in turn under load and returns what callers lost. The balancer
	// notices a box's readiness half a second late.
	cutOff := func(notice time.Duration) (lost []string) {
		spec := fleetSpec{halls: 1, boxes: 3, engines: 2, memory: 64 * gib}
		spec.config = func(c *Config) { c.DrainNotice = notice }
		withFleet(spec, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "w1", "15GiB", "m1"))
			t.awaitModels("m1")
			balancer := &balancer{fleet: t}
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { balancer.follow(ctx) })
			var history histories[string]
			for caller := range 4 {
				running.Go(func() { callThrough(ctx, t, balancer, caller, &history) })
			}
			time.Sleep(2 * time.Second)
			for n := 1; n <= 3; n++ {
				id := fmt.Sprintf("h1-b%d", n)
				b := balancer.box(id)
				b.stop()
				<-b.stopped
				balancer.replace(spec, id)
				time.Sleep(3 * time.Second)
			}
			cancel()
			running.Wait()
			lost = history.all()
		})
		return lost
	}

	It("cuts off no request, streams and claims included", func() {
		Expect(cutOff(time.Second)).To(BeEmpty())
	})

	It("would lose requests without waiting for the balancer (guard off)", func() {
		Expect(cutOff(0)).NotTo(BeEmpty())
	})
})

// balancer hands callers a box that was ready half a second ago.
type balancer struct {
	mu    sync.Mutex
	fleet *testFleet
	ready []*testBox
	next  int
}

func (l *balancer) follow(ctx context.Context) {
	const lag = 500 * time.Millisecond
	for ctx.Err() == nil {
		l.mu.Lock()
		var ready []*testBox
		for _, b := range l.fleet.boxes {
			if b.Ready() {
				ready = append(ready, b)
			}
		}
		l.mu.Unlock()
		pause(ctx, lag)
		l.mu.Lock()
		l.ready = ready
		l.mu.Unlock()
	}
}

func (l *balancer) pick() *testBox {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return nil
	}
	l.next++
	return l.ready[l.next%len(l.ready)]
}

func (l *balancer) box(id string) *testBox {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.boxes[id]
}

func (l *balancer) replace(spec fleetSpec, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.dead = append(l.fleet.dead, l.fleet.boxes[id])
	l.fleet.startBox(spec, "h1", id)
}

// callThrough streams answers through the balancer and notes each that is not whole.
func callThrough(ctx context.Context, t *testFleet, l *balancer, caller int, lost *histories[string]) {
	for n := 0; pause(ctx, 50*time.Millisecond); n++ {
		b := l.pick()
		if b == nil {
			continue
		}
		prompt := fmt.Sprintf("%d-%d", caller, n)
		request := &ospreymoorv1.GenerateRequest{Model: "m1", Prompt: prompt, MaxTokens: 100}
		if caller == 0 {
			request.NotRepeatable, request.RequestKey, request.FirstAttempt = true, newKey(), true
		}
		stream, err := b.inference(t).Generate(context.Background(), authorized(callerToken, request))
		if err != nil {
			lost.add(fmt.Sprintf("%s: %s", prompt, err))
			continue
		}
		pieces, ended := 0, false
		for stream.Receive() {
			if stream.Msg().GetEnd() != nil {
				ended = true
				continue
			}
			pieces++
		}
		if !ended || pieces != 100 || stream.Err() != nil {
			lost.add(fmt.Sprintf("%s: %d pieces, %v", prompt, pieces, stream.Err()))
		}
		_ = stream.Close()
	}
}
