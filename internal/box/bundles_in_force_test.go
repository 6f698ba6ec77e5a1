package box

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/standin"
)

// inForceLimit is the time within which a change must be in force on every box.
const inForceLimit = 7 * time.Second

// rollModel is the sequential model of one customer's table in force: versions only increase.
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

// rollOnce rolls a version at a box and classifies the result.
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

// watchGenerations samples each box's generation until ctx ends and returns every decrease that it saw.
func watchGenerations(ctx context.Context, t *testFleet, boxes *boxPicker) (back []string) {
	highest := map[string]int64{}
	for pause(ctx, 50*time.Millisecond) {
		boxes.mu.Lock()
		for id, b := range t.boxes {
			f := b.inForce.current.Load()
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

// checkGenerations returns an error unless every box serves the generation that the store has.
func checkGenerations(t *testFleet) error {
	record, err := t.platform.Memory.Store().Get(context.Background(), "fleet/inforce")
	if err != nil {
		return err
	}
	for id, b := range t.boxes {
		if f := b.inForce.current.Load(); f == nil || f.generation != record.Revision {
			return fmt.Errorf("box %s does not serve generation %d", id, record.Revision)
		}
	}
	return nil
}

var _ = Describe("Bundles in force", func() {
	It("are linearizable and never revert while operators race and faults are injected", func() {
		for seed := range uint64(5) {
			spec := fleetSpec{halls: 2, boxes: 2, engines: 2, memory: 64 * gib, platformFault: lossyPlatform(seed)}
			withFleet(spec, func(t *testFleet) {
				t.roll(t.boxes["h1-b1"], bundleText(1, "a", "1GiB", "writer"))
				client := t.boxes["h1-b1"].operator(t)
				for version := 2; version <= 16; version++ {
					text := bundleText(version, "a", "1GiB", "writer")
					t.until(30*time.Second, func() error {
						_, err := client.SignOffBundle(context.Background(), authorized(operatorToken, signOffRequest(text)))
						return err
					})
				}
				boxes := newBoxPicker(t, seed)
				ctx, cancel := context.WithCancel(context.Background())
				var back []string
				var watching, operators sync.WaitGroup
				watching.Go(func() { back = watchGenerations(ctx, t, boxes) })
				watching.Go(func() { injectRandomFaults(ctx, t, spec, boxes, seed) })
				history := raceOperators(t, boxes, seed, &operators)
				cancel()
				watching.Wait()
				Expect(back).To(BeEmpty(), "seed %d", seed)
				Expect(porcupine.CheckOperations(rollModel.ToModel(), history)).To(BeTrue(), "seed %d", seed)
				t.platform.SetMode(standin.FaultNone)
				t.until(60*time.Second, func() error { return checkGenerations(t) })
			})
		}
	})

	It("reach all boxes within seconds after a roll is accepted", func() {
		withFleet(fleetSpec{halls: 3, boxes: 3, engines: 1, memory: 64 * gib}, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "a", "1GiB", "writer"))
			time.Sleep(20 * time.Second)
			for version := 2; version <= 10; version++ {
				t.roll(t.boxes[fmt.Sprintf("h%d-b2", 1+version%3)], bundleText(version, "a", "1GiB", "writer"))
				t.until(inForceLimit, func() error { return checkGenerations(t) })
				time.Sleep(time.Duration(version) * 777 * time.Millisecond)
			}
		})
	})

	It("reach a box that starts while the platform is down, from its peers", func() {
		spec := fleetSpec{halls: 2, boxes: 2, engines: 1, memory: 64 * gib}
		withFleet(spec, func(t *testFleet) {
			t.roll(t.boxes["h1-b1"], bundleText(1, "a", "1GiB", "writer"))
			t.awaitModels("writer")
			peer := t.boxes["h1-b2"].config.Peers.Address
			t.platform.SetMode(standin.FaultDown)
			t.kill("h1-b1")
			spec.config = func(c *Config) { c.Peers.Known = []string{peer} }
			host := fmt.Sprint("h1-b1.", t.starts+1)
			t.net.setPartition(true, []string{host}, []string{hostOf(peer)})
			fresh := t.startBox(spec, "h1", "h1-b1")
			Expect(fresh.host).To(Equal(host))
			time.Sleep(2 * time.Second)
			Expect(fresh.Ready()).To(BeFalse())
			t.net.setPartition(false, []string{host}, []string{hostOf(peer)})
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

// raceOperators has concurrent operators roll versions at random boxes and returns the history.
func raceOperators(t *testFleet, boxes *boxPicker, seed uint64, operators *sync.WaitGroup) []porcupine.Operation {
	var history eventLog[porcupine.Operation]
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
