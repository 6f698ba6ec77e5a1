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

// Limits of the loads from the weight store at the rate in storeFleet: 0.95 of 2 loads a second, and four loads
// at once if the rate was not used before.
const (
	storeRate  = 1.9
	storeBurst = 4
)

// storeFleet returns engines that each hold the given models. Their service also has as many models w0, w1
// and so on as wanted, which no engine holds; names lists them.
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

// storeLoads returns the times at which loads of models were ordered.
func storeLoads(sent []sentOrder) []time.Duration {
	var at []time.Duration
	for _, order := range sent {
		if order.Operation == residency.Load && order.Adapter == "" {
			at = append(at, order.at)
		}
	}
	return at
}

// expectRate checks that in every time span, the number of loads is at most a burst plus the rate times the
// span.
func expectRate(at []time.Duration) {
	for first := range at {
		for last := first; last < len(at); last++ {
			span := (at[last] - at[first]).Seconds()
			Expect(float64(last-first+1)).To(BeNumerically("<=", storeBurst+storeRate*span+1e-6), "orders %d to %d", first, last)
		}
	}
}

// notBefore keeps the controller from sending orders for a time.
func notBefore(t *testFleet, span time.Duration) {
	from := time.Now().Add(span)
	t.controller.NotBefore = func(string) time.Time { return from }
}

var _ = Describe("the weight store's rate", func() {
	It("allows a burst after a time without loads, and then loads at the rate", func() {
		spectest.Bubble(func() {
			t, wanted := storeFleet(8, nil, 8)
			notBefore(t, 10*time.Second)
			sent := t.recordOrders()
			t.run(20*time.Second, wanted...)
			at := storeLoads(sent())
			Expect(len(at)).To(BeNumerically(">=", 8))
			Expect(at[storeBurst-1]).To(Equal(at[0]))
			Expect(at[0]).To(BeNumerically("<=", 10*time.Second+600*time.Millisecond))
			expectRate(at)
		})
	})

	It("allows no burst at the start of a new term, though the previous term left one unused", func() {
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
			sent := t.recordOrders()
			t.run(20*time.Second, wanted...)
			at := storeLoads(sent())
			Expect(len(at)).To(BeNumerically(">=", 8))
			for n, loaded := range at {
				Expect(storeRate*(loaded-10*time.Second).Seconds()).To(BeNumerically(">=", float64(n+1)-1e-6), "load %d", n)
			}
		})
	})

	It("is applied when a load is ordered: loads whose unloads end at the same time do not exceed it", func() {
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
			sent := t.recordOrders()
			t.run(20*time.Second, wanted...)
			at := storeLoads(sent())
			Expect(len(at)).To(BeNumerically(">=", 12))
			Expect(at[0]).To(BeNumerically(">=", 3400*time.Millisecond))
			Expect(at[storeBurst-1]-at[0]).To(BeNumerically("<=", 200*time.Millisecond), "the waits of the moves ended together")
			expectRate(at)
		})
	})

	It("gets back a planned load if its move fails before the load is ordered", func() {
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
			sent := t.recordOrders()
			t.run(20*time.Second, wanted...)
			Expect(refused).To(BeNumerically(">", storeBurst))
			at := storeLoads(sent())
			Expect(len(at)).To(BeNumerically(">=", 6))
			expectRate(at)
		})
	})
})
