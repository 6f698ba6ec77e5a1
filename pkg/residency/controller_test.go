package residency_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// Sizes of the engines in these specs.
const (
	engineMegabytes = 220
	modelMegabytes  = 72
	adapterSlots    = 3
	loadTime        = 2 * time.Second
)

// fakeEngine carries orders out as the engines' protocol says, and notes when it was overfilled.
type fakeEngine struct {
	mu       sync.Mutex
	taken    int64
	busy     bool
	models   map[string][]string
	overfull []string
	terms    []int64
}

// order answers an order: the sequence first, then whether another is under way.
func (f *fakeEngine) order(order residency.Order) residency.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy || order.Expected != f.taken {
		return residency.Conflict
	}
	adapters, held := f.models[order.Model]
	if order.Adapter != "" {
		held = slices.Contains(adapters, order.Adapter)
	}
	if held == (order.Operation == residency.Load) {
		return residency.Already
	}
	f.taken++
	if order.Adapter != "" && order.Operation == residency.Unload {
		// Nobody uses it here: it is dropped at once, and the order counts.
		f.models[order.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == order.Adapter })
		return residency.Already
	}
	f.busy = true
	f.terms = append(f.terms, order.Term)
	if order.Operation == residency.Load {
		f.check(order)
	}
	span := 5 * time.Millisecond
	if order.Adapter == "" && order.Operation == residency.Load {
		span = loadTime
	}
	time.AfterFunc(span, func() { f.finish(order) })
	return residency.Accepted
}

func (f *fakeEngine) check(order residency.Order) {
	used, adapters := 0, 0
	for _, list := range f.models {
		used += modelMegabytes
		adapters += len(list)
	}
	if order.Adapter == "" {
		used += modelMegabytes
	} else {
		adapters++
	}
	if used > engineMegabytes || adapters > adapterSlots {
		f.overfull = append(f.overfull, fmt.Sprintf("%+v on %v", order, f.models))
	}
}

func (f *fakeEngine) finish(order residency.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy = false
	switch {
	case order.Adapter == "" && order.Operation == residency.Load:
		f.models[order.Model] = nil
	case order.Adapter == "":
		delete(f.models, order.Model)
	case order.Operation == residency.Load:
		f.models[order.Model] = append(f.models[order.Model], order.Adapter)
	default:
		f.models[order.Model] = slices.DeleteFunc(f.models[order.Model], func(a string) bool { return a == order.Adapter })
	}
}

func (f *fakeEngine) report() residency.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := residency.Report{Busy: f.busy, OrderCount: f.taken}
	for model, adapters := range f.models {
		report.Models = append(report.Models, fleet.Holding{Model: model, Adapters: slices.Clone(adapters)})
	}
	return report
}

// testFleet is a few fake engines with a controller.
type testFleet struct {
	engines    map[string]*fakeEngine
	directory  *fleet.Directory
	controller *residency.Controller
	demand     *residency.Demand
	revision   int64
	random     *rand.Rand
	mu         sync.Mutex
	// faults is the share of orders that go wrong.
	faults float64
}

var errLost = errors.New("no answer")

func newTestFleet(seed uint64, faults float64) *testFleet {
	t := &testFleet{
		engines: map[string]*fakeEngine{}, directory: fleet.New(), demand: &residency.Demand{},
		random: rand.New(rand.NewPCG(seed, 7)), faults: faults,
	}
	service := routes.Service{Name: "s", Engines: &routes.Engines{
		Slots: 8, Megabytes: engineMegabytes, AdapterSlots: adapterSlots, LoadsPerSecond: 2, DiskMegabytes: 500,
	}}
	for n := range 7 {
		service.Engines.Models = append(service.Engines.Models, routes.Model{
			Name: fmt.Sprint("m", n), Megabytes: modelMegabytes, LoadTime: loadTime, Adapters: []string{"a0", "a1", "a2", "a3", "a4"}, AdapterMegabytes: 0.5,
		})
	}
	table := routes.New(1, nil, []routes.Service{service}, routes.Limits{})
	for n := range 3 {
		t.engines[fmt.Sprint("e", n)] = &fakeEngine{models: map[string][]string{fmt.Sprint("m", n): nil}}
	}
	t.controller = residency.New(residency.Config{
		Holder: "n", Directory: t.directory, Table: func() *routes.Table { return table },
		Engines: residency.Engines{Order: t.order, Report: t.report},
		Term:    func() (int64, error) { return 4, nil },
		Demand:  t.demand, MoveCost: 0.03, Log: zap.NewNop(),
	})
	t.list()
	return t
}

// list puts what the engines hold into the directory.
func (t *testFleet) list() {
	t.revision++
	var list []fleet.Upstream
	for id, engine := range t.engines {
		list = append(list, fleet.Upstream{ID: id, Service: "s", Hall: id, Slots: 8, Models: engine.report().Models, Revision: t.revision})
	}
	t.directory.SetList(t.revision, list, time.Time{})
}

func (t *testFleet) draw() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64()
}

// order passes an order on, or loses it, its answer, or has it done late.
func (t *testFleet) order(ctx context.Context, to fleet.Upstream, order residency.Order) (residency.Result, error) {
	engine := t.engines[to.ID]
	if t.draw() >= t.faults {
		return engine.order(order), nil
	}
	switch kind := t.draw(); {
	case kind < 0.3:
	case kind < 0.6:
		engine.order(order)
	default:
		time.AfterFunc(time.Duration(2+10*t.draw())*time.Second, func() { engine.order(order) })
	}
	<-ctx.Done()
	return residency.Unanswered, errLost
}

func (t *testFleet) report(_ context.Context, of fleet.Upstream) (residency.Report, error) {
	return t.engines[of.ID].report(), nil
}

func (t *testFleet) overfull() []string {
	var all []string
	for _, engine := range t.engines {
		engine.mu.Lock()
		all = append(all, engine.overfull...)
		engine.mu.Unlock()
	}
	return all
}

// live has requests for models and adapters come for a while, the list lagging behind.
func (t *testFleet) live(span time.Duration, lag time.Duration) (served, asked int) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { t.controller.Run(ctx); close(done) }()
	var mu sync.Mutex
	var asking sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		model, adapter := fmt.Sprint("m", int(7*t.draw())), ""
		if t.draw() < 0.6 {
			adapter = fmt.Sprint("a", int(5*t.draw()))
		}
		asking.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			ensured, _ := t.controller.Ensure(callCtx, "s", model, adapter)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if ensured.Upstream != "" {
				served++
			}
		})
		t.demand.Note(map[residency.ModelKey]float64{{Service: "s", Model: model}: 20}, time.Now())
		time.AfterFunc(lag, t.listSafely)
	}
	asking.Wait()
	cancel()
	<-done
	time.Sleep(time.Minute)
	return served, asked
}

func (t *testFleet) listSafely() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list()
}

var _ = Describe("a controller", func() {
	It("pages adapters and loads models, none twice at once and never more than fits", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			served, asked := t.live(2*time.Minute, 100*time.Millisecond)
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

	It("keeps to what fits while orders are lost, unanswered or carried out late, and the list lags", func() {
		for seed := range uint64(12) {
			spectest.Bubble(func() {
				t := newTestFleet(seed, 0.3)
				t.live(2*time.Minute, time.Duration(seed)*300*time.Millisecond)
				Expect(t.overfull()).To(BeEmpty(), "seed %d", seed)
			})
		}
	})

	It("makes room for an adapter without delay", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			ensure := func(adapter string) time.Duration {
				begun := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				ensured, err := t.controller.Ensure(ctx, "s", "m0", adapter)
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

	It("pages an adapter on another engine when one takes long, and prefers those that answer", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			t.engines["e1"].models["m0"] = nil
			t.list()
			// The stuck engine has nothing running, the other one does: it is chosen first.
			t.controller.Running = func(upstream string) int { return map[string]int{"e1": 5}[upstream] }
			asked := map[string]int{}
			t.controller.Engines.Order = func(ctx context.Context, to fleet.Upstream, order residency.Order) (residency.Result, error) {
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
				ensured, err := t.controller.Ensure(ctx, "s", "m0", adapter)
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
			Expect(askedOf("e0")).To(BeNumerically("<=", before+1), "only what was begun there goes on")
			time.Sleep(time.Minute)
		})
	})

	It("does not count the replicas of engines that do not answer", func() {
		spectest.Bubble(func() {
			t := newTestFleet(1, 0)
			t.controller.Unresponsive = func(upstream string) bool { return upstream == "e0" }
			_, err := t.controller.Ensure(context.Background(), "s", "m0", "a0")
			Expect(err).To(MatchError(residency.ErrNoPlace))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { t.controller.Run(ctx); close(done) }()
			time.Sleep(10 * time.Second)
			t.listSafely()
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
		_, err := t.controller.Ensure(context.Background(), "s", "m0", "a1")
		Expect(err).To(MatchError(residency.ErrNotHolder))
		Expect(t.engines["e0"].taken).To(BeZero())
	})

	It("refuses a model that is not in the configuration", func() {
		t := newTestFleet(1, 0)
		_, err := t.controller.Ensure(context.Background(), "s", "nobody", "")
		Expect(err).To(MatchError(residency.ErrUnknownModel))
	})
})
