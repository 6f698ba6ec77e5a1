package residency_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// What the weight store's rate allows with the rate in storeFleet: 0.95 of 2 loads a second, and four
// at once if the rate was not used before.
const (
	storeRate  = 1.9
	storeBurst = 4
)

// storeFleet is engines with the models given, and a service of models that are wanted, w0 and so
// on, beside those held.
func storeFleet(engines int, held []string, wanted int) (t *testFleet, names []string) {
	described := &routes.Engines{Slots: 8, MemoryMegabytes: engineMegabytes, AdapterSlots: adapterSlots, LoadsPerSecond: 2}
	for _, name := range held {
		described.Models = append(described.Models, testModel(name))
	}
	for n := range wanted {
		names = append(names, fmt.Sprint("w", n))
		described.Models = append(described.Models, testModel(names[n]))
	}
	all := map[string][]string{}
	for n := range engines {
		all[fmt.Sprintf("e%02d", n)] = held
	}
	return fleetOf(described, all), names
}

// storeLoads are the times at which loads of models were ordered.
func storeLoads(sent []sentOrder) []time.Duration {
	var at []time.Duration
	for _, order := range sent {
		if order.Operation == residency.Load && order.Adapter == "" {
			at = append(at, order.at)
		}
	}
	return at
}

// expectRate checks that the loads in every span are at most a burst and what the rate brings in it.
func expectRate(at []time.Duration) {
	for first := range at {
		for last := first; last < len(at); last++ {
			span := (at[last] - at[first]).Seconds()
			Expect(float64(last-first+1)).To(BeNumerically("<=", storeBurst+storeRate*span+1e-6), "orders %d to %d", first, last)
		}
	}
}

// notBefore keeps the controller from giving orders for a time.
func notBefore(t *testFleet, span time.Duration) {
	from := time.Now().Add(span)
	t.controller.NotBefore = func(string) time.Time { return from }
}

var _ = Describe("the weight store's rate", func() {
	It("allows a burst that was saved up, and then loads at the rate", func() {
		spectest.Bubble(func() {
			t, wanted := storeFleet(8, nil, 8)
			notBefore(t, 10*time.Second)
			sent := t.noteOrders()
			t.run(20*time.Second, wanted...)
			at := storeLoads(sent())
			Expect(len(at)).To(BeNumerically(">=", 8))
			Expect(at[storeBurst-1]).To(Equal(at[0]))
			Expect(at[0]).To(BeNumerically("<=", 10*time.Second+600*time.Millisecond))
			expectRate(at)
		})
	})

	It("begins with none under a new term, though loads were saved up under the one before", func() {
		spectest.Bubble(func() {
			t, wanted := storeFleet(8, nil, 8)
			notBefore(t, 10*time.Second)
			begun := time.Now()
			t.controller.Term = func() (int64, error) {
				if time.Since(begun) < 10*time.Second {
					return 4, nil
				}
				return 5, nil
			}
			sent := t.noteOrders()
			t.run(20*time.Second, wanted...)
			at := storeLoads(sent())
			Expect(len(at)).To(BeNumerically(">=", 8))
			for n, loaded := range at {
				Expect(storeRate*(loaded-10*time.Second).Seconds()).To(BeNumerically(">=", float64(n+1)-1e-6), "load %d", n)
			}
		})
	})

	It("is drawn upon at the order: loads whose unloads end at one time are not ordered beyond it", func() {
		spectest.Bubble(func() {
			t, wanted := storeFleet(16, []string{"h0", "h1", "h2"}, 12)
			t.controller.MoveCost = 0.001
			var uses []residency.ModelUse
			for id := range t.engines {
				for _, model := range []string{"h0", "h1", "h2"} {
					uses = append(uses, residency.ModelUse{Upstream: id, Model: model, Running: 1})
				}
			}
			// Requests of the models to evict run until 3.4 s: all moves planned until then wait.
			time.AfterFunc(150*time.Millisecond, func() { t.controller.SetModelUses(uses) })
			for at := 200 * time.Millisecond; at < 3400*time.Millisecond; at += 50 * time.Millisecond {
				time.AfterFunc(at, func() { t.controller.SetModelUses(uses) })
			}
			time.AfterFunc(3400*time.Millisecond, func() { t.controller.SetModelUses(nil) })
			sent := t.noteOrders()
			t.run(20*time.Second, wanted...)
			at := storeLoads(sent())
			Expect(len(at)).To(BeNumerically(">=", 12))
			Expect(at[0]).To(BeNumerically(">=", 3400*time.Millisecond))
			Expect(at[storeBurst-1]-at[0]).To(BeNumerically("<=", 200*time.Millisecond), "moves did end their waits together")
			expectRate(at)
		})
	})

	It("gets back a planned load whose move fails before its order", func() {
		spectest.Bubble(func() {
			t, wanted := storeFleet(8, []string{"h0", "h1", "h2"}, 6)
			begun := time.Now()
			order := t.controller.Engines.Order
			refused := 0
			t.controller.Engines.Order = func(ctx context.Context, to *fleet.Endpoint, given residency.Order) (residency.Result, error) {
				if given.Operation == residency.Unload && time.Since(begun) < 10*time.Second {
					t.mu.Lock()
					defer t.mu.Unlock()
					refused++
					return residency.Refused, nil
				}
				return order(ctx, to, given)
			}
			sent := t.noteOrders()
			t.run(20*time.Second, wanted...)
			Expect(refused).To(BeNumerically(">", storeBurst))
			at := storeLoads(sent())
			Expect(len(at)).To(BeNumerically(">=", 6))
			expectRate(at)
		})
	})
})
