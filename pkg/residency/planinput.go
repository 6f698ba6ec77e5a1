package residency

import (
	"cmp"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// minMoves is how many moves one plan may start in a small fleet.
	minMoves = 4
	// enginesPerMove is how many engines a large fleet has for each move that one plan may start.
	enginesPerMove = 10
	// maxMoves bounds the moves of one plan in a fleet of any size: what is left comes with the next one.
	maxMoves = 64
	// missedTime is how long a request for a model that no engine held makes the model missed.
	missedTime = 10 * time.Second
)

// planInput describes a service's engines and models to the planner, and has engines asked for the
// reports that are missing. The caller holds the lock.
func (c *Controller) planInput(name string, service *routes.Service, states []*fleet.State, now time.Time) PlanInput {
	input := PlanInput{
		Megabytes:  service.Engines.MemoryMegabytes,
		MoveCost:   c.MoveCost,
		Moves:      min(maxMoves, max(minMoves, len(states)/enginesPerMove)),
		StoreLoads: c.storeRate.left(now),
	}
	running := c.runningModels()
	c.toLearn = c.toLearn[:0]
	for _, state := range states {
		e := c.engine(state.ID, name)
		if !state.Evacuated && e.shouldLearn(now) {
			c.toLearn = append(c.toLearn, e)
		}
		input.Engines = append(input.Engines, e.planEngine(state, service, running[state.ID]))
	}
	c.learnNext()
	c.forgetGone(name, states)
	rates := c.Demand.Rates(now)
	for _, model := range service.Engines.Models {
		key := ModelKey{name, model.Name}
		asked := c.missed[key]
		isMissed := now.Sub(asked.at) < missedTime
		input.Models = append(input.Models, PlanModel{
			Name:      model.Name,
			Megabytes: model.Megabytes,
			LoadTime:  model.LoadTime,
			Demand:    rates[key],
			Missed:    isMissed,
			Halls:     asked.hallsWhile(isMissed),
			Patient:   c.Demand.Patient(key),
		})
	}
	return input
}

// hallsWhile returns the halls that the latest request for a missed model was bound to.
func (m *missed) hallsWhile(isMissed bool) []string {
	if !isMissed {
		return nil
	}
	return m.halls
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
func (e *engine) planEngine(state *fleet.State, service *routes.Service, running map[string]int) PlanEngine {
	e.mu.Lock()
	defer e.mu.Unlock()
	planned := PlanEngine{
		ID:           state.ID,
		Hall:         state.Hall,
		Usable:       e.orders.known && e.move.none() && e.takesOrders(time.Now()),
		Leaving:      !state.TakesWork(),
		Unresponsive: e.controller.unresponsive(state.ID),
	}
	e.models.reconcile(state.Models, state.Revision)
	for _, model := range e.models.held(state.Models) {
		if !slices.Contains(e.move.withdrawn, model) && model != e.move.loading {
			planned.Models = append(planned.Models, model)
		}
	}
	planned.Loading = e.move.loading
	planned.Running = running
	planned.Fresh = e.models.fresh(time.Now())
	planned.Copies = copies(service, state.Upstream)
	planned.AdapterMegabytes = e.adapterMegabytes(service)
	return planned
}

// copyTime is how long an engine takes to load a model of which it keeps a copy; ok is false if it keeps none.
func copyTime(model *routes.Model, engine *fleet.Upstream) (span time.Duration, ok bool) {
	switch {
	case slices.Contains(engine.InMemory, model.Name):
		return cmp.Or(model.MemoryLoadTime, model.DiskLoadTime, model.LoadTime), true
	case slices.Contains(engine.OnDisk, model.Name):
		return cmp.Or(model.DiskLoadTime, model.LoadTime), true
	}
	return 0, false
}

// copies are the load times of the models of which an engine keeps a copy.
func copies(service *routes.Service, engine *fleet.Upstream) map[string]time.Duration {
	times := make(map[string]time.Duration, len(engine.OnDisk)+len(engine.InMemory))
	for _, name := range slices.Concat(engine.OnDisk, engine.InMemory) {
		if model := service.Model(name); model != nil {
			times[name], _ = copyTime(model, engine)
		}
	}
	return times
}
