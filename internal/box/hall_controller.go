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

// replicaSettleDelay is how long a new replica must be known before another is dropped for it. Boxes that do not
// know of the new replica yet would find none.
const replicaSettleDelay = 5 * time.Second

// hallController connects this box to the controller of its hall's engines (pkg/orders): it supplies what is known of
// the hall and publishes the controller's reports.
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

// repairTerm returns the term under which the hall's last controller goes on ordering fenced engines while the
// key-value service is unreachable, or 0 if this box may not. Each engine stops taking these orders once it has
// seen a higher term.
func (h *hallController) repairTerm() int64 {
	if h.self.storeReachable.Load() || h.self.draining.Load() {
		return 0
	}
	return h.lease.LatestTerm()
}

// takeOver reads the latest plan from the store before the first order of a term.
func (h *hallController) takeOver(ctx context.Context) error {
	_, err := h.follower.read(ctx)
	if err == nil {
		h.fleet.rebuild()
	}
	return err
}

// plan returns the plan that this box knows and whether there is one.
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

// mayUnload reports whether an item stays reachable without its replica on the engine id. It does if no unit of the
// plan contains the item, or if another engine that reports its load holds a settled replica.
func (h *hallController) mayUnload(plan placement.Plan, id, item string) bool {
	f := h.fleet.snapshot.Load()
	needed := false
	for _, copies := range plan.Units {
		if copies.Item.Name != item && !hasAdapter(copies.Adapters, item) {
			continue
		}
		needed = true
		for _, place := range copies.Places {
			if place.Engine != id && h.fleet.loads.hasRecentReport(place.Engine) && f.hasSettledReplica(place, copies.Unit) {
				return true
			}
		}
	}
	return !needed
}

// hasSettledReplica reports whether an engine has held the whole unit for replicaSettleDelay, under a controller
// whose plan already keeps the unit there.
func (f *fleetSnapshot) hasSettledReplica(place placement.Place, unit placement.Unit) bool {
	state := f.engines[place.Engine]
	if state.holding.Plan < place.Since {
		return false
	}
	for _, item := range append([]placement.Item{unit.Item}, unit.Adapters...) {
		if at, ok := state.since[item.Name]; !ok || time.Since(at) < replicaSettleDelay {
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

// publishHoldings shares the holdings of the hall's engines with all boxes.
func (h *hallController) publishHoldings(term, sequence int64, holdings orders.Holdings) {
	h.publish(holdingsPrefix+holdings.Hall, term, sequence, holdings)
}

// publishLoads shares the loads of the hall's engines with all boxes.
func (h *hallController) publishLoads(term, sequence int64, loads orders.Loads) {
	h.publish(loadsPrefix+h.self.hall, term, sequence, loads)
}

// publish puts a record into the cache, from which heartbeats spread it.
func (h *hallController) publish(name string, term, sequence int64, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return // Cannot happen: these types always encode.
	}
	generation := records.Generation{Term: term, Sequence: sequence}
	h.fleet.cache.Put(records.Record{Name: name, Generation: generation, Value: encoded})
}
