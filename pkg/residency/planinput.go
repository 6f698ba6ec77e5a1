package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// minMoves is how many moves one plan may start in a small fleet. Chosen, not measured.
	minMoves = 4
	// enginesPerMove is how many engines a large fleet has for each move that one plan may start.
	// Chosen with commit 742c248, not measured.
	enginesPerMove = 10
	// missedTime is how long a request for a model that no engine held makes the model missed.
	// Chosen, not measured.
	missedTime = 10 * time.Second
	// diskShare is the part of an engine's disk that is expected to keep the models held last. Chosen
	// with commit c542a72, not measured.
	diskShare = 0.85
)

// planInput describes a service's engines and models to the planner, and has engines asked for the
// reports that are missing. The caller holds the lock.
func (c *Controller) planInput(name string, service *routes.Service, states []*fleet.State, now time.Time) PlanInput {
	input := PlanInput{
		Megabytes:  service.Engines.MemoryMegabytes,
		MoveCost:   c.MoveCost,
		Moves:      max(minMoves, len(states)/enginesPerMove),
		StoreLoads: c.storeRate.left(now),
	}
	for _, state := range states {
		e := c.engine(state.ID, name)
		if e.shouldLearn(now) {
			e.learn()
		}
		input.Engines = append(input.Engines, e.planEngine(state, service))
	}
	c.forgetGone(name, states)
	rates := c.Demand.Rates(now)
	for _, model := range service.Engines.Models {
		key := ModelKey{name, model.Name}
		input.Models = append(input.Models, PlanModel{
			Name:      model.Name,
			Megabytes: model.Megabytes,
			Demand:    rates[key],
			Missed:    now.Sub(c.missed[key]) < missedTime,
		})
	}
	return input
}

// forgetGone drops the state of a service's engines that the directory no longer has. The caller
// holds the lock.
func (c *Controller) forgetGone(service string, states []*fleet.State) {
	present := map[string]bool{}
	for _, state := range states {
		present[state.ID] = true
	}
	for id, e := range c.engines {
		if e.service == service && !present[id] {
			delete(c.engines, id)
		}
	}
}

// planEngine describes an engine to the planner, with what orders under way will change. An engine
// gets its first move only after its first report.
func (e *engine) planEngine(state *fleet.State, service *routes.Service) PlanEngine {
	e.mu.Lock()
	defer e.mu.Unlock()
	planned := PlanEngine{
		ID:           state.ID,
		Hall:         state.Hall,
		Usable:       e.orders.known && e.mayBegin() && e.move.none() && time.Now().After(e.backoff.cooldownUntil),
		Leaving:      state.Leaving,
		Unresponsive: e.controller.unresponsive(state.ID),
	}
	e.models.reconcile(state.Models)
	for _, model := range e.models.held(state.Models) {
		e.models.heldAt[model] = time.Now()
		if !slices.Contains(e.move.withdrawn, model) && model != e.move.loading {
			planned.Models = append(planned.Models, model)
		}
	}
	planned.Loading = e.move.loading
	planned.Fresh = e.models.fresh(time.Now())
	planned.OnDisk = onDisk(service, e.models.lastHeld(e.controller.Directory.ModelsOnDisk(state.Upstream)))
	planned.AdapterMegabytes = e.adapterMegabytes(service)
	return planned
}

// onDisk lists the models that an engine's disk should still have: those held last, as far as they
// fit.
func onDisk(service *routes.Service, lastHeld map[string]time.Time) map[string]bool {
	models := slices.SortedFunc(maps.Keys(lastHeld), func(a, b string) int {
		return cmp.Or(lastHeld[b].Compare(lastHeld[a]), cmp.Compare(a, b))
	})
	kept := map[string]bool{}
	room := diskShare * service.Engines.DiskMegabytes
	for _, name := range models {
		model := service.Model(name)
		if model == nil {
			continue
		}
		if room -= model.Megabytes; room < 0 {
			break
		}
		kept[name] = true
	}
	return kept
}
