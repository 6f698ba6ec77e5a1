package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// planInput describes a service's engines and models to the planner. The caller holds the lock.
func (c *Controller) planInput(name string, service *routes.Service, states []*fleet.State, now time.Time) PlanInput {
	input := PlanInput{Megabytes: service.Engines.Megabytes, MoveCost: c.MoveCost, Moves: max(leastMoves, len(states)/enginesPerMove)}
	present := map[string]bool{}
	for _, state := range states {
		present[state.ID] = true
		e := c.engine(state.ID, name)
		if e.shouldLearn(now) {
			e.learn()
		}
		input.Engines = append(input.Engines, e.planView(state, service))
	}
	for id, e := range c.engines {
		if e.service == name && !present[id] {
			delete(c.engines, id)
		}
	}
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

// shouldLearn tells whether the engine should be asked what it holds.
func (e *engine) shouldLearn(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.known && now.After(e.coolUntil) && e.mayOrder()
}

// planView describes an engine to the planner, with what orders under way will change.
func (e *engine) planView(state *fleet.State, service *routes.Service) PlanEngine {
	e.mu.Lock()
	defer e.mu.Unlock()
	view := PlanEngine{
		ID:           state.ID,
		Hall:         state.Hall,
		Usable:       e.known && e.mayOrder() && e.loading == "" && e.unloading == "" && len(e.withdrawn) == 0 && time.Now().After(e.coolUntil),
		Leaving:      state.Leaving,
		Unresponsive: e.controller.silent(state.ID),
	}
	e.reconcile(state)
	for _, model := range e.held(state) {
		e.seen[model] = time.Now()
		if !slices.Contains(e.withdrawn, model) && model != e.loading {
			view.Models = append(view.Models, model)
		}
	}
	view.Loading = e.loading
	view.Fresh = e.fresh(time.Now())
	view.OnDisk = onDisk(service, e.lastHeld(state))
	view.AdapterMegabytes = e.adapterMegabytes(service)
	return view
}

// freshTime is how long a model stays on an engine at least.
const freshTime = 6 * time.Second

// diskShare is the part of an engine's disk that is counted on.
const diskShare = 0.85

// lastHeld is when the engine last held each model, by the list and by its own word. The caller
// holds the lock.
func (e *engine) lastHeld(state *fleet.State) map[string]time.Time {
	last := e.controller.Directory.ModelsOnDisk(state.Upstream)
	if last == nil {
		last = map[string]time.Time{}
	}
	for model, at := range e.seen {
		if at.After(last[model]) {
			last[model] = at
		}
	}
	return last
}

// onDisk are the models that an engine's disk should still have: those held last, as far as
// they fit.
func onDisk(service *routes.Service, last map[string]time.Time) map[string]bool {
	models := slices.SortedFunc(maps.Keys(last), func(a, b string) int {
		return cmp.Or(last[b].Compare(last[a]), cmp.Compare(a, b))
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

// fresh are the models that were loaded lately. The caller holds the lock.
func (e *engine) fresh(now time.Time) map[string]bool {
	fresh := map[string]bool{}
	for model, at := range e.loadedAt {
		if now.Sub(at) < freshTime {
			fresh[model] = true
		}
	}
	return fresh
}

// held lists the models that the engine has, also where the platform's list lags. The caller
// holds the lock.
func (e *engine) held(state *fleet.State) []string {
	held := slices.Clone(e.loaded)
	for _, holding := range state.Models {
		if !slices.Contains(e.dropped, holding.Model) && !slices.Contains(held, holding.Model) {
			held = append(held, holding.Model)
		}
	}
	return held
}

// reconcile forgets what the platform's list has come to tell itself. The caller holds the lock.
func (e *engine) reconcile(state *fleet.State) {
	e.loaded = slices.DeleteFunc(e.loaded, func(model string) bool { return holds(state.Models, model) })
	e.dropped = slices.DeleteFunc(e.dropped, func(model string) bool { return !holds(state.Models, model) })
}
