package box

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/lease"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// Places of the leases.
const (
	hallLeasePrefix = "leases/hall/"
	plannerLease    = "leases/planner"
)

// candidates is how many boxes contend for a lease at a time.
const leaseCandidates = 2

// control is this box's part in the control of the fleet: any box may hold its hall's
// lease, the planner's, both or none.
type control struct {
	box        *Box
	hall       *lease.Lease
	planner    *lease.Lease
	controller *orders.Controller
}

func newControl(b *Box) *control {
	c := &control{box: b}
	c.hall = c.lease(hallLeasePrefix+b.config.Hall, b.members.inHall)
	c.planner = c.lease(plannerLease, b.members.inFleet)
	c.controller = &orders.Controller{
		Hall:            b.config.Hall,
		Address:         b.config.PeerAddress,
		Term:            c.hall.Term,
		RepairTerm:      c.repairTerm,
		Engines:         c.engines,
		TakeOver:        c.takeOver,
		Plan:            func() (placement.Plan, bool) { f := b.fleet.snapshot.Load(); return f.plan, f.planned },
		MayUnload:       c.mayUnload,
		Store:           b.store,
		PublishHoldings: c.publishHoldings,
		PublishLoads:    c.publishLoads,
		OrderLife:       b.config.OrderLife,
		Set:             b.set,
	}
	return c
}

func (c *control) lease(key string, boxes func() []string) *lease.Lease {
	b := c.box
	return lease.New(lease.Config{
		Store:  b.store,
		Key:    key,
		Holder: b.config.ID,
		TTL:    b.config.LeaseTTL,
		Candidate: func() bool {
			return !b.self.draining.Load() && membership.Among(key, boxes(), b.config.ID, leaseCandidates)
		},
		Changed: func(term int64) {
			b.log.Info("lease", zap.String("key", key), zap.Bool("held", term != 0), zap.Int64("term", term))
		},
	})
}

// start runs the leases, the controller and the planner until ctx ends.
func (c *control) start(ctx context.Context) *sync.WaitGroup {
	var running sync.WaitGroup
	for _, run := range []func(context.Context){c.hall.Run, c.planner.Run, c.controller.Run, c.plan} {
		running.Add(1)
		go func() {
			defer running.Done()
			run(ctx)
		}()
	}
	return &running
}

// repairTerm lets the hall's last controller go on ordering fenced engines while the
// key-value service is away: a higher term ends it at each engine.
func (c *control) repairTerm() int64 {
	if c.box.self.storeReachable.Load() || c.box.self.draining.Load() {
		return 0
	}
	return c.hall.LatestTerm()
}

// takeOver reads the latest plan from the store, before the first order of a term.
func (c *control) takeOver(ctx context.Context) error {
	_, err := c.box.readStore(ctx)
	if err == nil {
		c.box.fleet.rebuild()
	}
	return err
}

// engines lists the hall's engines.
func (c *control) engines() []orders.Engine {
	var list []orders.Engine
	for id, info := range c.box.fleet.snapshot.Load().engines {
		if info.box.Hall == c.box.config.Hall {
			list = append(list, c.box.engines.get(id, info.box).Order())
		}
	}
	return list
}

// mayUnload tells whether an item stays reachable without an engine's copy: nobody needs
// it, or another engine confirmed it that the plan wants to keep it.
func (c *control) mayUnload(plan placement.Plan, id, item string) bool {
	f := c.box.fleet.snapshot.Load()
	needed := false
	for _, copies := range plan.Units {
		if copies.Item.Name != item && !hasAdapter(copies.Adapters, item) {
			continue
		}
		needed = true
		for _, place := range copies.Places {
			if place.Engine != id && c.box.fleet.loads.reporting(place.Engine) && f.keeps(place, copies.Unit) {
				return true
			}
		}
	}
	return !needed
}

func (c *control) publishHoldings(term, sequence int64, holdings orders.Holdings) {
	c.publish(holdingsPrefix+holdings.Hall, term, sequence, holdings)
}

func (c *control) publishLoads(term, sequence int64, loads orders.Loads) {
	c.publish(loadsPrefix+c.box.config.Hall, term, sequence, loads)
}

func (c *control) publish(name string, term, sequence int64, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return
	}
	generation := records.Generation{Term: term, Sequence: sequence}
	c.box.cache.Put(records.Record{Name: name, Generation: generation, Value: encoded})
}

// keeps tells whether an engine has confirmed the whole of a unit, its controller knows
// that it shall stay, and all boxes have had the time to hear of it.
func (f *fleetSnapshot) keeps(place placement.Place, unit placement.Unit) bool {
	info := f.engines[place.Engine]
	if info.holding.Plan < place.Since {
		return false
	}
	for _, item := range append([]placement.Item{unit.Item}, unit.Adapters...) {
		if at, ok := info.since[item.Name]; !ok || time.Since(at) < settleTime {
			return false
		}
	}
	return true
}

func hasAdapter(adapters []placement.Item, name string) bool {
	for _, adapter := range adapters {
		if adapter.Name == name {
			return true
		}
	}
	return false
}

// putPlan takes a plan that this box wrote into what it serves by.
func (b *Box) putPlan(document kv.Versioned[placement.Plan]) {
	value, err := json.Marshal(kv.Document[placement.Plan]{Body: document.Body})
	if err != nil {
		return
	}
	b.cache.Put(records.Record{
		Name:       planRecord,
		Generation: records.Generation{Term: document.Revision},
		Value:      value,
	})
}
