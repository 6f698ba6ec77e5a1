package box

import (
	"context"
	"encoding/json"
	"time"

	"ospreymoor.example/ospreymoor/pkg/lease"
	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/placement"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// settleTime is how long a new copy must be known before another is dropped for it: boxes that do not know of it yet
// would find none.
const settleTime = 5 * time.Second

// hallController connects the controller of a hall's engines (pkg/orders) to this box: what is known of the hall, and
// where its reports go.
type hallController struct {
	self     *self
	lease    *lease.Lease
	fleet    *fleetState
	engines  *engineClients
	follower *storeFollower
}

// controller makes the controller of the box's hall.
func (h *hallController) controller(parts controlParts) *orders.Controller {
	return &orders.Controller{
		Hall:            h.self.hall,
		Address:         h.self.address,
		Term:            h.lease.Term,
		RepairTerm:      h.repairTerm,
		Engines:         h.listEngines,
		TakeOver:        h.takeOver,
		Plan:            h.plan,
		MayUnload:       h.mayUnload,
		Store:           parts.store,
		PublishHoldings: h.publishHoldings,
		PublishLoads:    h.publishLoads,
		OrderLife:       parts.config.OrderLife,
		Metrics:         parts.set,
	}
}

// repairTerm is the term under which the hall's last controller goes on ordering fenced engines while the key-value
// service is away, or 0: a higher term ends it at each engine.
func (h *hallController) repairTerm() int64 {
	if h.self.storeReachable.Load() || h.self.draining.Load() {
		return 0
	}
	return h.lease.LatestTerm()
}

// takeOver reads the latest plan from the store, before the first order of a term.
func (h *hallController) takeOver(ctx context.Context) error {
	_, err := h.follower.read(ctx)
	if err == nil {
		h.fleet.rebuild()
	}
	return err
}

// plan is the plan that this box knows, and whether there is one.
func (h *hallController) plan() (placement.Plan, bool) {
	f := h.fleet.snapshot.Load()
	return f.plan, f.planned
}

// listEngines lists the hall's engines.
func (h *hallController) listEngines() []orders.Engine {
	var list []orders.Engine
	for id, state := range h.fleet.snapshot.Load().engines {
		if state.box.Hall == h.self.hall {
			list = append(list, h.engines.get(id, state.box).Order())
		}
	}
	return list
}

// mayUnload reports whether an item stays reachable without an engine's copy: no unit of the plan has it, or another
// engine that reports its load keeps it.
func (h *hallController) mayUnload(plan placement.Plan, id, item string) bool {
	f := h.fleet.snapshot.Load()
	needed := false
	for _, copies := range plan.Units {
		if copies.Item.Name != item && !hasAdapter(copies.Adapters, item) {
			continue
		}
		needed = true
		for _, place := range copies.Places {
			if place.Engine != id && h.fleet.loads.reporting(place.Engine) && f.keeps(place, copies.Unit) {
				return true
			}
		}
	}
	return !needed
}

// keeps reports whether an engine has confirmed the whole of a unit for settleTime, under a controller that knows that
// it shall stay.
func (f *fleetSnapshot) keeps(place placement.Place, unit placement.Unit) bool {
	state := f.engines[place.Engine]
	if state.holding.Plan < place.Since {
		return false
	}
	for _, item := range append([]placement.Item{unit.Item}, unit.Adapters...) {
		if at, ok := state.since[item.Name]; !ok || time.Since(at) < settleTime {
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

// publishHoldings shares the hall's holdings with all boxes.
func (h *hallController) publishHoldings(term, sequence int64, holdings orders.Holdings) {
	h.publish(holdingsPrefix+holdings.Hall, term, sequence, holdings)
}

// publishLoads shares the hall's loads with all boxes.
func (h *hallController) publishLoads(term, sequence int64, loads orders.Loads) {
	h.publish(loadsPrefix+h.self.hall, term, sequence, loads)
}

// publish puts a record into the cache, from where heartbeats spread it.
func (h *hallController) publish(name string, term, sequence int64, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return // Plain data of the program's own always encode.
	}
	generation := records.Generation{Term: term, Sequence: sequence}
	h.fleet.cache.Put(records.Record{Name: name, Generation: generation, Value: encoded})
}
