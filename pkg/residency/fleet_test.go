package residency_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Sizes of the engines in these specs.
const (
	engineMegabytes = 220
	modelMegabytes  = 72
	adapterSlots    = 3
	loadTime        = 2 * time.Second
)

// fakeEngine implements the order protocol of the engines, and records the orders that overfill it.
type fakeEngine struct {
	mu       sync.Mutex
	taken    int64
	busy     bool
	models   map[string][]string
	overfull []string
	terms    []int64
}

// order answers an order. The result is Conflict if another order is under way or the expected count is
// wrong.
func (f *fakeEngine) order(order residency.Order) residency.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy || order.ExpectedCount != f.taken {
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
		// No request uses the adapter here: it is dropped at once, and the order counts as taken.
		f.models[order.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == order.Adapter })
		return residency.Already
	}
	f.busy = true
	f.terms = append(f.terms, order.Term)
	if order.Operation == residency.Load {
		f.checkCapacity(order)
	}
	span := 5 * time.Millisecond
	if order.Adapter == "" && order.Operation == residency.Load {
		span = loadTime
	}
	time.AfterFunc(span, func() { f.finish(order) })
	return residency.Accepted
}

func (f *fakeEngine) checkCapacity(order residency.Order) {
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
	// faults is the fraction of orders that fail.
	faults float64
}

var errLost = errors.New("no answer")

// newTestFleet returns three engines, each with one of seven models that have adapters.
func newTestFleet(seed uint64, faults float64) *testFleet {
	engines := &routes.Engines{
		Slots: 8, MemoryMegabytes: engineMegabytes, AdapterSlots: adapterSlots, LoadsPerSecond: 2,
	}
	for n := range 7 {
		engines.Models = append(engines.Models, testModel(fmt.Sprint("m", n), "a0", "a1", "a2", "a3", "a4"))
	}
	held := map[string][]string{}
	for n := range 3 {
		held[fmt.Sprint("e", n)] = []string{fmt.Sprint("m", n)}
	}
	t := fleetOf(engines, held)
	t.random, t.faults = rand.New(rand.NewPCG(seed, 7)), faults
	return t
}

func testModel(name string, adapters ...string) routes.Model {
	return routes.Model{
		Name: name, Megabytes: modelMegabytes, LoadTime: loadTime, Adapters: adapters, AdapterMegabytes: 0.5,
	}
}

// fleetOf returns a fleet of engines that hold the given models. Its orders never fail.
func fleetOf(engines *routes.Engines, held map[string][]string) *testFleet {
	t := &testFleet{
		engines: map[string]*fakeEngine{}, directory: fleet.New(), demand: &residency.Demand{},
		random: rand.New(rand.NewPCG(1, 7)),
	}
	table := routes.New(1, nil, []routes.Service{{Name: "s", Engines: engines}}, routes.Limits{})
	for id, models := range held {
		t.engines[id] = &fakeEngine{models: map[string][]string{}}
		for _, model := range models {
			t.engines[id].models[model] = nil
		}
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

// list writes what the engines hold to the directory.
func (t *testFleet) list() {
	t.revision++
	var list []fleet.Upstream
	for id, engine := range t.engines {
		list = append(list, fleet.Upstream{ID: id, Service: "s", Hall: id, Slots: 8, Models: engine.report().Models, Revision: t.revision})
	}
	t.directory.SetList(t.revision, list, time.Time{})
}

func (t *testFleet) randomFloat() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64()
}

// order passes an order on to its engine. A fraction of the orders, given by faults, is lost, loses its
// answer, or is carried out late.
func (t *testFleet) order(ctx context.Context, to *fleet.Endpoint, order residency.Order) (residency.Result, error) {
	engine := t.engines[to.ID]
	if t.randomFloat() >= t.faults {
		return engine.order(order), nil
	}
	switch kind := t.randomFloat(); {
	case kind < 0.3:
	case kind < 0.6:
		engine.order(order)
	default:
		time.AfterFunc(time.Duration(2+10*t.randomFloat())*time.Second, func() { engine.order(order) })
	}
	<-ctx.Done()
	return residency.Unanswered, errLost
}

func (t *testFleet) report(_ context.Context, of *fleet.Endpoint) (residency.Report, error) {
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

func (t *testFleet) lockAndList() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list()
}

// sentOrder is an order with the engine that it was sent to and the time when it was sent.
type sentOrder struct {
	residency.Order
	engine string
	at     time.Duration
}

// recordOrders records the orders that are sent from now on. The returned function lists them, each with the
// time since now.
func (t *testFleet) recordOrders() func() []sentOrder {
	begun := time.Now()
	var mu sync.Mutex
	var sent []sentOrder
	order := t.controller.Engines.Order
	t.controller.Engines.Order = func(ctx context.Context, to *fleet.Endpoint, given residency.Order) (residency.Result, error) {
		mu.Lock()
		sent = append(sent, sentOrder{given, to.ID, time.Since(begun)})
		mu.Unlock()
		return order(ctx, to, given)
	}
	return func() []sentOrder {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(sent)
	}
}

// run lets the controller plan for a while, with demand for the given models and a list that is at most
// 100 ms old.
func (t *testFleet) run(span time.Duration, asked ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { t.controller.Run(ctx); close(done) }()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, model := range asked {
			t.demand.Note(map[residency.WorkKey]float64{{ModelKey: residency.ModelKey{Service: "s", Model: model}}: 20}, time.Now())
		}
		t.lockAndList()
	}
	cancel()
	<-done
	time.Sleep(time.Minute)
}
