package residency_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// runUnderLoad runs the controller for a while under random requests for models and adapters, with a list
// that lags behind the engines. It returns how many requests got an engine, and how many were sent.
func (t *testFleet) runUnderLoad(span time.Duration, lag time.Duration) (served, asked int) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { t.controller.Run(ctx); close(done) }()
	var mu sync.Mutex
	var asking sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		model, adapter := fmt.Sprint("m", int(7*t.randomFloat())), ""
		if t.randomFloat() < 0.6 {
			adapter = fmt.Sprint("a", int(5*t.randomFloat()))
		}
		asking.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			ensured, _ := t.controller.Ensure(callCtx, residency.Want{Service: "s", Model: model, Adapter: adapter})
			mu.Lock()
			defer mu.Unlock()
			asked++
			if ensured.Upstream != "" {
				served++
			}
		})
		t.demand.Note(map[residency.WorkKey]float64{{ModelKey: residency.ModelKey{Service: "s", Model: model}}: 20}, time.Now())
		time.AfterFunc(lag, t.lockAndList)
	}
	asking.Wait()
	cancel()
	<-done
	time.Sleep(time.Minute)
	return served, asked
}

var _ = Describe("a controller", func() {
	It("loads adapters and models, none twice at the same time and never more than fits", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			served, asked := t.runUnderLoad(2*time.Minute, 100*time.Millisecond)
			Expect(t.overfull()).To(BeEmpty())
			Expect(served).To(BeNumerically(">", asked/4))
			all := map[string]bool{}
			for _, engine := range t.engines {
				for model := range engine.models {
					all[model] = true
				}
			}
			Expect(all).To(HaveLen(7))
		})
	})

	It("never overfills an engine while orders are lost, unanswered or carried out late, and the list lags", func() {
		for seed := range uint64(12) {
			spectest.Bubble(func() {
				t := newTestFleet(seed, 0.3)
				t.runUnderLoad(2*time.Minute, time.Duration(seed)*300*time.Millisecond)
				Expect(t.overfull()).To(BeEmpty(), "seed %d", seed)
			})
		}
	})

	It("does not take a list that is older than an order for the order's end", func() {
		spectest.Bubble(func() {
			engines := &routes.Engines{Slots: 8, MemoryMegabytes: engineMegabytes, AdapterSlots: adapterSlots, LoadsPerSecond: 2}
			for n := range 4 {
				engines.Models = append(engines.Models, testModel(fmt.Sprint("m", n)))
			}
			t := fleetOf(engines, map[string][]string{"e0": {"m0", "m1"}})
			By("listing a model that was unloaded by order of a former holder of the lease")
			t.revision++
			stale := []fleet.Holding{{Model: "m0"}, {Model: "m1"}, {Model: "m2"}}
			t.directory.SetList(t.revision, []fleet.Upstream{{ID: "e0", Service: "s", Slots: 8, Models: stale, Revision: t.revision}}, time.Time{})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { t.controller.Run(ctx); close(done) }()
			begun := time.Now()
			for time.Since(begun) < 10*time.Second {
				asked, work := "m2", 20.0
				if time.Since(begun) > time.Second {
					asked, work = "m3", 60.0
				}
				t.demand.Note(map[residency.WorkKey]float64{{ModelKey: residency.ModelKey{Service: "s", Model: asked}}: work}, time.Now())
				// The list shows the load under way, and only long after its end that it is done.
				if at := time.Since(begun); at == 2600*time.Millisecond || at > 5*time.Second {
					t.lockAndList()
				}
				time.Sleep(100 * time.Millisecond)
			}
			cancel()
			<-done
			time.Sleep(time.Minute)
			Expect(t.overfull()).To(BeEmpty())
			Expect(t.engines["e0"].models).To(HaveLen(3))
		})
	})

	It("makes room for an adapter without delay", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			ensure := func(adapter string) time.Duration {
				begun := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				ensured, err := t.controller.Ensure(ctx, residency.Want{Service: "s", Model: "m0", Adapter: adapter})
				Expect(err).NotTo(HaveOccurred())
				Expect(ensured.Upstream).To(Equal("e0"))
				return time.Since(begun)
			}
			for n := range adapterSlots {
				ensure(fmt.Sprint("a", n))
			}
			for n := adapterSlots; n < 5; n++ {
				time.Sleep(time.Second)
				Expect(ensure(fmt.Sprint("a", n))).To(BeNumerically("<", 50*time.Millisecond))
			}
			Expect(t.overfull()).To(BeEmpty())
		})
	})

	It("loads an adapter on another engine when one takes long, and then prefers the engines that answer", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			t.engines["e1"].models["m0"] = nil
			t.list()
			// The stuck engine is chosen first, because it runs no requests and the other one does.
			t.controller.Running = func(upstream string) int { return map[string]int{"e1": 5}[upstream] }
			asked := map[string]int{}
			t.controller.Engines.Order = func(ctx context.Context, to *fleet.Endpoint, order residency.Order) (residency.Result, error) {
				t.mu.Lock()
				asked[to.ID]++
				t.mu.Unlock()
				if to.ID != "e0" {
					return t.engines[to.ID].order(order), nil
				}
				<-ctx.Done()
				return residency.Unanswered, errLost
			}
			ensure := func(adapter string) (string, time.Duration) {
				begun := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				defer cancel()
				ensured, err := t.controller.Ensure(ctx, residency.Want{Service: "s", Model: "m0", Adapter: adapter})
				Expect(err).NotTo(HaveOccurred())
				return ensured.Upstream, time.Since(begun)
			}
			upstream, took := ensure("a0")
			Expect(upstream).To(Equal("e1"))
			Expect(took).To(BeNumerically("<", 150*time.Millisecond))
			askedOf := func(id string) int {
				t.mu.Lock()
				defer t.mu.Unlock()
				return asked[id]
			}
			time.Sleep(500 * time.Millisecond)
			before := askedOf("e0")
			upstream, took = ensure("a1")
			Expect(upstream).To(Equal("e1"))
			Expect(took).To(BeNumerically("<", 50*time.Millisecond))
			Expect(askedOf("e0")).To(BeNumerically("<=", before+1), "only the load that was started there goes on")
			time.Sleep(time.Minute)
		})
	})

	It("does not count the replicas of engines that do not answer", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			t.controller.Unresponsive = func(upstream string) bool { return upstream == "e0" }
			_, err := t.controller.Ensure(context.Background(), residency.Want{Service: "s", Model: "m0", Adapter: "a0"})
			Expect(err).To(MatchError(residency.ErrNoCapacity))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { t.controller.Run(ctx); close(done) }()
			time.Sleep(10 * time.Second)
			t.lockAndList()
			time.Sleep(time.Second)
			cancel()
			<-done
			held := map[string]bool{}
			for _, id := range []string{"e1", "e2"} {
				for model := range t.engines[id].models {
					held[model] = true
				}
			}
			Expect(held).To(HaveKey("m0"))
			time.Sleep(time.Minute)
		})
	})

	It("gives no order without the lease", func() {
		t := newTestFleet(1, 0)
		t.controller.Term = func() (int64, error) { return 0, residency.ErrNotHolder }
		_, err := t.controller.Ensure(context.Background(), residency.Want{Service: "s", Model: "m0", Adapter: "a1"})
		Expect(err).To(MatchError(residency.ErrNotHolder))
		Expect(t.engines["e0"].taken).To(BeZero())
	})

	It("refuses a model that is not in the configuration", func() {
		t := newTestFleet(1, 0)
		_, err := t.controller.Ensure(context.Background(), residency.Want{Service: "s", Model: "nobody"})
		Expect(err).To(MatchError(residency.ErrUnknownModel))
	})
})
