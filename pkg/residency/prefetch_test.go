package residency_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// prefetchFleet returns two engines with the given number of adapter slots: e0 holds m0 and m1, e1 holds m0.
// The cost of moves is so high that all orders are prefetches.
func prefetchFleet(slots int) *testFleet {
	t := fleetOf(&routes.Engines{
		Slots: 8, MemoryMegabytes: engineMegabytes, AdapterSlots: slots, LoadsPerSecond: 2,
		Models: []routes.Model{testModel("m0", "a", "b", "c", "d"), testModel("m1", "v", "w")},
	}, map[string][]string{"e0": {"m0", "m1"}, "e1": {"m0"}})
	t.controller.MoveCost = 1000
	// A report takes longer than a plan: the first prefetch comes with the second plan.
	t.controller.Engines.Report = func(ctx context.Context, of *fleet.Endpoint) (residency.Report, error) {
		time.Sleep(time.Millisecond)
		return t.report(ctx, of)
	}
	return t
}

// prefetched lists the adapters loaded on an engine, in the order of their orders.
func prefetched(sent []sentOrder, engine string) []string {
	list := []string{}
	for _, order := range sent {
		Expect(order.Operation).To(Equal(residency.Load))
		if order.engine == engine {
			list = append(list, order.Model+"/"+order.Adapter)
		}
	}
	return list
}

var _ = Describe("the prefetch of adapters", func() {
	It("loads adapters that no engine has, those of the most requested models first, and leaves a slot free", func() {
		spectest.Bubble(func() {
			t := prefetchFleet(adapterSlots)
			sent := t.recordOrders()
			t.run(10*time.Second, "m1")
			Expect(prefetched(sent(), "e0")).To(Equal([]string{"m1/v", "m1/w"}))
			Expect(prefetched(sent(), "e1")).To(Equal([]string{"m0/a", "m0/b"}))
			Expect(t.overfull()).To(BeEmpty())
		})
	})

	It("goes in the order of the models' names if none is requested", func() {
		spectest.Bubble(func() {
			t := prefetchFleet(adapterSlots)
			sent := t.recordOrders()
			t.run(10 * time.Second)
			Expect(prefetched(sent(), "e0")).To(Equal([]string{"m0/a", "m0/c"}))
			Expect(prefetched(sent(), "e1")).To(Equal([]string{"m0/b", "m0/d"}))
		})
	})

	It("leaves one slot free, however many there are", func() {
		spectest.Bubble(func() {
			for slots := 1; slots <= 5; slots++ {
				t := prefetchFleet(slots)
				sent := t.recordOrders()
				t.run(10 * time.Second)
				Expect(prefetched(sent(), "e0")).To(HaveLen(slots-1), "%d slots", slots)
			}
		})
	})

	It("counts the adapters in an engine's report, for its own slots and for the choice on other engines", func() {
		spectest.Bubble(func() {
			t := prefetchFleet(adapterSlots)
			t.engines["e0"].models["m0"] = []string{"b"}
			t.engines["e1"].models["m0"] = []string{"a", "c"}
			sent := t.recordOrders()
			t.run(10 * time.Second)
			Expect(prefetched(sent(), "e0")).To(Equal([]string{"m0/d"}))
			Expect(prefetched(sent(), "e1")).To(BeEmpty())
		})
	})

	It("loads at most one at a time on an engine, and does not wait for the other engines", func() {
		spectest.Bubble(func() {
			t := prefetchFleet(adapterSlots)
			// e0 takes longer than the interval between plans to answer an order.
			order := t.controller.Engines.Order
			t.controller.Engines.Order = func(ctx context.Context, to *fleet.Endpoint, given residency.Order) (residency.Result, error) {
				if to.ID == "e0" {
					time.Sleep(300 * time.Millisecond)
				}
				return order(ctx, to, given)
			}
			sent := t.recordOrders()
			t.run(10*time.Second, "m1")
			at := map[string][]time.Duration{}
			for _, order := range sent() {
				at[order.engine] = append(at[order.engine], order.at)
			}
			// A plan is made every 200 ms. A load that waited only for the previous one would be sent at 711 ms.
			Expect(at).To(Equal(map[string][]time.Duration{
				"e0": {400 * time.Millisecond, 800 * time.Millisecond},
				"e1": {400 * time.Millisecond, 600 * time.Millisecond},
			}))
		})
	})

	It("loads nothing on an engine that leaves, or on one that has given no report", func() {
		spectest.Bubble(func() {
			t := prefetchFleet(adapterSlots)
			report := t.controller.Engines.Report
			t.controller.Engines.Report = func(ctx context.Context, of *fleet.Endpoint) (residency.Report, error) {
				if of.ID == "e1" {
					return residency.Report{}, errLost
				}
				return report(ctx, of)
			}
			sent := t.recordOrders()
			t.revision++
			var list []fleet.Upstream
			for _, state := range t.directory.OfService("s") {
				upstream := *state.Upstream
				upstream.Leaving, upstream.Revision = upstream.ID == "e0", t.revision
				list = append(list, upstream)
			}
			t.directory.SetList(t.revision, list, time.Time{})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { t.controller.Run(ctx); close(done) }()
			time.Sleep(10 * time.Second)
			cancel()
			<-done
			time.Sleep(time.Minute)
			Expect(sent()).To(BeEmpty())
		})
	})
})
