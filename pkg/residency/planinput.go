package residency

import (
	"cmp"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// minMoves is the number of moves that one plan may start in a small fleet.
	minMoves = 4
	// enginesPerMove is the number of engines in a large fleet for each move that one plan may start.
	enginesPerMove = 10
	// maxMoves bounds the moves of one plan in a fleet of any size; the next plan makes the remaining ones.
	maxMoves = 64
	// missedPeriod is how long a model counts as missed after a request for it while no engine held it.
	missedPeriod = 10 * time.Second
)

// planInput builds the planner's input from a service's engines and models, and asks engines for missing
// reports. The caller holds the lock.
func (c *Controller) planInput(name string, service *routes.Service, states []*fleet.State, now time.Time) PlanInput {
	input := PlanInput{
		Megabytes:  service.Engines.MemoryMegabytes,
		MoveCost:   c.MoveCost,
		Moves:      min(maxMoves, max(minMoves, len(states)/enginesPerMove)),
		StoreLoads: c.storeRate.remaining(now),
	}
	running := c.runningModels()
	c.needReports = c.needReports[:0]
	for _, state := range states {
		e := c.engine(state.ID, name)
		if !state.Evacuated && e.needsReport(now) {
			c.needReports = append(c.needReports, e)
		}
		input.Engines = append(input.Engines, e.planEngine(state, service, running[state.ID]))
	}
	c.requestReports()
	c.forgetGone(name, states)
	rates := c.Demand.Rates(now)
	for _, model := range service.Engines.Models {
		key := ModelKey{name, model.Name}
		asked := c.missed[key]
		isMissed := now.Sub(asked.at) < missedPeriod
		input.Models = append(input.Models, PlanModel{
			Name:      model.Name,
			Megabytes: model.Megabytes,
			LoadTime:  model.LoadTime,
			Demand:    rates[key],
			Missed:    isMissed,
			Patient:   c.Demand.Patient(key),

			engineFilter: asked.filterIf(isMissed),
		})
	}
	return input
}

// filterIf returns the engines that the request is restricted to, or all if the model no longer counts as missed.
func (m *missedRequest) filterIf(isMissed bool) engineFilter {
	if !isMissed {
		return engineFilter{}
	}
	return m.engineFilter
}

// forgetGone drops the state of those engines of a service that the directory no longer has. The caller
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

// planEngine describes an engine to the planner, including the changes by orders under way. An engine gets
// its first move only after its first report.
func (e *engine) planEngine(state *fleet.State, service *routes.Service, running map[string]int) PlanEngine {
	e.mu.Lock()
	defer e.mu.Unlock()
	planned := PlanEngine{
		ID:           state.ID,
		Hall:         state.Hall,
		Usable:       e.orders.countKnown && e.move.idle() && e.takesOrders(time.Now()),
		Leaving:      !state.TakesWork(),
		Unresponsive: e.controller.unresponsive(state.ID),

		SoftwareVersion: state.SoftwareVersion,
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

// copyTime returns how long an engine takes to load a model from its own copy, and false if it keeps none.
func copyTime(model *routes.Model, engine *fleet.Upstream) (span time.Duration, ok bool) {
	switch {
	case slices.Contains(engine.InMemory, model.Name):
		return cmp.Or(model.MemoryLoadTime, model.DiskLoadTime, model.LoadTime), true
	case slices.Contains(engine.OnDisk, model.Name):
		return cmp.Or(model.DiskLoadTime, model.LoadTime), true
	}
	return 0, false
}

// copies returns the load times of the models of which an engine keeps a copy.
func copies(service *routes.Service, engine *fleet.Upstream) map[string]time.Duration {
	times := make(map[string]time.Duration, len(engine.OnDisk)+len(engine.InMemory))
	for _, name := range slices.Concat(engine.OnDisk, engine.InMemory) {
		if model := service.Model(name); model != nil {
			times[name], _ = copyTime(model, engine)
		}
	}
	return times
}
