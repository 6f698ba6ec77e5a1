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

// prefetchFleet is two engines with so many places for adapters: e0 holds m0 and m1, e1 holds m0. No move is worth its cost, so that
// all orders are prefetches.
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
	It("loads those that no engine has, first of the models most asked for, and leaves a place free", func() {
		spectest.Bubble(func() {
			t := prefetchFleet(adapterSlots)
			sent := t.noteOrders()
			t.run(10*time.Second, "m1")
			Expect(prefetched(sent(), "e0")).To(Equal([]string{"m1/v", "m1/w"}))
			Expect(prefetched(sent(), "e1")).To(Equal([]string{"m0/a", "m0/b"}))
			Expect(t.overfull()).To(BeEmpty())
		})
	})

	It("goes by the models' names where none is asked for", func() {
		spectest.Bubble(func() {
			t := prefetchFleet(adapterSlots)
			sent := t.noteOrders()
			t.run(10 * time.Second)
			Expect(prefetched(sent(), "e0")).To(Equal([]string{"m0/a", "m0/c"}))
			Expect(prefetched(sent(), "e1")).To(Equal([]string{"m0/b", "m0/d"}))
		})
	})

	It("leaves one place free however many there are", func() {
		spectest.Bubble(func() {
			for slots := 1; slots <= 5; slots++ {
				t := prefetchFleet(slots)
				sent := t.noteOrders()
				t.run(10 * time.Second)
				Expect(prefetched(sent(), "e0")).To(HaveLen(slots-1), "%d places", slots)
			}
		})
	})

	It("counts the adapters that an engine's report has, for its places and for those of the others", func() {
		spectest.Bubble(func() {
			t := prefetchFleet(adapterSlots)
			t.engines["e0"].models["m0"] = []string{"b"}
			t.engines["e1"].models["m0"] = []string{"a", "c"}
			sent := t.noteOrders()
			t.run(10 * time.Second)
			Expect(prefetched(sent(), "e0")).To(Equal([]string{"m0/d"}))
			Expect(prefetched(sent(), "e1")).To(BeEmpty())
		})
	})

	It("loads at most one at a time on an engine, and does not wait for the other engines", func() {
		spectest.Bubble(func() {
			t := prefetchFleet(adapterSlots)
			// e0 answers an order only after more than a plan's interval.
			order := t.controller.Engines.Order
			t.controller.Engines.Order = func(ctx context.Context, to *fleet.Endpoint, given residency.Order) (residency.Result, error) {
				if to.ID == "e0" {
					time.Sleep(300 * time.Millisecond)
				}
				return order(ctx, to, given)
			}
			sent := t.noteOrders()
			t.run(10*time.Second, "m1")
			at := map[string][]time.Duration{}
			for _, order := range sent() {
				at[order.engine] = append(at[order.engine], order.at)
			}
			// Plans come each 200 ms. A load that only waited for the one before would be sent at 711 ms.
			Expect(at).To(Equal(map[string][]time.Duration{
				"e0": {400 * time.Millisecond, 800 * time.Millisecond},
				"e1": {400 * time.Millisecond, 600 * time.Millisecond},
			}))
		})
	})

	It("leaves alone an engine that leaves, and one that has given no report", func() {
		spectest.Bubble(func() {
			t := prefetchFleet(adapterSlots)
			report := t.controller.Engines.Report
			t.controller.Engines.Report = func(ctx context.Context, of *fleet.Endpoint) (residency.Report, error) {
				if of.ID == "e1" {
					return residency.Report{}, errLost
				}
				return report(ctx, of)
			}
			sent := t.noteOrders()
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
