package policy

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

const (
	// entryBoxes share the requests.
	entryBoxes = 7
	// reportLag is how old a load report is when boxes get it.
	reportLag = 700 * time.Millisecond
	// comeBacks is how often a refused caller comes back when told to.
	comeBacks = 2
)

// ours is the fleet's decisions as they are, with the network left out.
type ours struct {
	world *world
	boxes []*entryBox
	meter *placement.Meter

	mu       sync.Mutex
	plan     placement.Plan
	holdings map[string]orders.Holding
	since    map[string]map[string]time.Time
	loads    map[string]orders.Load
	reported time.Time
	// sent are all boxes' dispatches, and base those that the last report covers.
	sent, base map[string]int
}

// entryBox is one box's routing and admission.
type entryBox struct {
	router    *routing.Router
	admission *admission.Controller
}

func startOurs(ctx context.Context, w *world, moveCost float64, running *sync.WaitGroup) *ours {
	o := &ours{
		world: w, meter: placement.NewMeter(),
		holdings: map[string]orders.Holding{}, since: map[string]map[string]time.Time{}, loads: map[string]orders.Load{},
		sent: map[string]int{}, base: map[string]int{},
	}
	for range entryBoxes {
		o.boxes = append(o.boxes, &entryBox{
			router:    routing.New(routing.Config{}),
			admission: admission.New(func() int { return entryBoxes }),
		})
	}
	halls := map[string][]*engine{}
	for _, e := range w.engines {
		halls[e.hall] = append(halls[e.hall], e)
	}
	for hall, engines := range halls {
		controller := o.controller(hall, engines)
		running.Go(func() { controller.Run(ctx) })
	}
	running.Go(func() { o.planLoop(ctx, moveCost) })
	return o
}

// controller is a hall's controller with seams to the engine stand-ins.
func (o *ours) controller(hall string, engines []*engine) *orders.Controller {
	return &orders.Controller{
		Hall: hall,
		Term: func() (int64, error) { return 1, nil },
		Engines: func() []orders.Engine {
			var list []orders.Engine
			for _, e := range engines {
				list = append(list, orders.Engine{
					ID: e.id, Fenced: true, State: e.state,
					Fence: func(ctx context.Context, _ orders.Authority) (orders.State, error) { return e.state(ctx) },
					Load: func(_ context.Context, _ orders.Authority, item placement.Item) error {
						e.load(item, func() {})
						return nil
					},
					Unload: func(_ context.Context, _ orders.Authority, name string) error {
						e.unload(name)
						return nil
					},
				})
			}
			return list
		},
		TakeOver: func(context.Context) error { return nil },
		Plan: func() (placement.Plan, bool) {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.plan, true
		},
		MayUnload:       func(placement.Plan, string, string) bool { return true },
		PublishHoldings: func(_, _ int64, h orders.Holdings) { o.takeHoldings(h) },
		PublishLoads:    func(_, _ int64, l orders.Loads) { o.takeLoads(l) },
		Set:             metrics.NewSet(),
	}
}

func (o *ours) takeHoldings(h orders.Holdings) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, holding := range h.Engines {
		since := map[string]time.Time{}
		for _, item := range holding.Resident {
			since[item] = time.Now()
			if at, ok := o.since[id][item]; ok {
				since[item] = at
			}
		}
		o.holdings[id], o.since[id] = holding, since
	}
}

func (o *ours) takeLoads(l orders.Loads) {
	covered := map[string]int{}
	o.mu.Lock()
	for id := range l.Engines {
		covered[id] = o.sent[id]
	}
	o.mu.Unlock()
	made := time.Now()
	time.AfterFunc(reportLag, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.reported = made
		for id, load := range l.Engines {
			o.loads[id], o.base[id] = load, covered[id]
		}
	})
}

func (o *ours) planLoop(ctx context.Context, moveCost float64) {
	for ctx.Err() == nil {
		o.meter.Sample()
		o.replan(moveCost)
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func (o *ours) replan(moveCost float64) {
	demand := o.meter.Demand()
	o.mu.Lock()
	defer o.mu.Unlock()
	in := placement.Input{
		Last: o.plan, Now: time.Now(),
		Settings: placement.Settings{MoveCost: moveCost, Settle: 5 * time.Second, RetireAfter: 10 * time.Second},
	}
	for _, m := range o.world.models {
		unit := m.unit
		unit.Demand = demand[unit.Model]
		in.Wanted = append(in.Wanted, unit)
	}
	for _, e := range o.world.engines {
		condition := placement.Usable
		if e.isDead() {
			condition = placement.Gone
		}
		in.Engines = append(in.Engines, placement.Engine{
			ID: e.id, Hall: e.hall, Pool: "llm", Condition: condition, Memory: engineMemory, Slots: slots,
			Resident: o.since[e.id], Plan: o.holdings[e.id].Plan,
		})
	}
	if next := placement.Next(in); !next.Equal(o.plan) {
		o.plan = next
	}
}

func (e *engine) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// take serves one request; a caller who is refused comes back when told to.
func (o *ours) take(r *request) {
	for try := 0; ; try++ {
		after := o.try(r, o.boxes[(r.tokens+try)%entryBoxes], try)
		if after == 0 {
			return
		}
		if try == comeBacks {
			o.world.refuse(r)
			return
		}
		time.Sleep(after)
	}
}

// try sends a request to a box; it returns when to come back, 0 if it ran.
func (o *ours) try(r *request, box *entryBox, try int) time.Duration {
	item := r.model.unit.Item.Name
	asked := time.Now()
	candidates := o.candidates(item)
	choice, err := box.router.Pick(item, r.prompt, candidates)
	if err != nil {
		o.meter.Miss(r.model.unit.Model, box.router.Service(item))
		return time.Second
	}
	done, refusal := box.admission.Admit(admission.Request{
		Customer: customerOf(r.model), Wait: choice.Wait, Target: r.model.target, Slots: slots * len(o.world.engines),
	})
	if refusal != nil {
		o.meter.Miss(r.model.unit.Model, box.router.Service(item))
		return refusal.RetryAfter
	}
	defer done()
	defer o.meter.Begin(r.model.unit.Model)()
	ended := box.router.Sent(item, r.prompt, choice.ID)
	defer ended()
	o.mu.Lock()
	o.sent[choice.ID]++
	o.mu.Unlock()
	first, ok := o.world.engine(choice.ID).run(r)
	if ok {
		box.router.Served(item, time.Since(asked)-first+prefill)
	}
	if !ok && first == 0 {
		box.router.Failed(choice.ID, time.Second)
		return 200 * time.Millisecond
	}
	if try > 0 {
		o.world.cameBackTo(r, ok && first <= r.model.target)
	}
	o.world.ended(r, first, ok)
	return 0
}

// candidates lists the engines that hold an item, by the last reports.
func (o *ours) candidates(item string) []routing.Candidate {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []routing.Candidate
	for _, e := range o.world.engines {
		if _, ok := o.since[e.id][item]; !ok {
			continue
		}
		load := o.loads[e.id]
		list = append(list, routing.Candidate{
			ID: e.id, Slots: slots, Running: load.Running, Queued: load.Queued, Reported: o.reported,
			PeersSent: max(0, o.sent[e.id]-o.base[e.id]) * (entryBoxes - 1) / entryBoxes,
		})
	}
	return list
}

func (w *world) engine(id string) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *world) refuse(r *request) {
	if !r.arrived.IsZero() {
		w.note(func() { w.refused++ })
	}
}

func (w *world) cameBackTo(r *request, served bool) {
	if r.arrived.IsZero() {
		return
	}
	w.note(func() {
		w.cameBack++
		if served {
			w.cameBackServed++
		}
	})
}

// customerOf divides the models among ten customers.
func customerOf(m *model) string { return "c" + m.unit.Model[len(m.unit.Model)-1:] }
