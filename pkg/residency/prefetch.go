package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// reservedSlots is how many places for adapters are left free on each engine for those that are asked
// for.
const reservedSlots = 1

// prefetch loads adapters that no engine has into free places, at most one an engine at a time. So
// requests find them, also while no box may give orders.
func (c *Controller) prefetch(name string, service *routes.Service, now time.Time) {
	rates := c.Demand.Rates(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	states := c.Directory.OfService(name)
	present := c.adaptersPresent(states)
	for _, state := range states {
		e := c.engines[state.ID]
		if e == nil || !state.TakesWork() || !e.takesPrefetch(service.Engines, now) {
			continue
		}
		key, ok := nextAdapter(name, service, state, rates, present)
		if !ok {
			continue
		}
		present[key] = true
		e.startAdapterLoad(key)
	}
}

// adaptersPresent lists the adapters that any engine has, in whatever phase. The caller holds the
// lock.
func (c *Controller) adaptersPresent(states []*fleet.State) map[adapterKey]bool {
	present := map[adapterKey]bool{}
	for _, state := range states {
		e := c.engines[state.ID]
		if e == nil {
			continue
		}
		e.mu.Lock()
		for key := range e.adapters {
			present[key] = true
		}
		e.mu.Unlock()
	}
	return present
}

// takesPrefetch reports whether the engine has places to spare and no orders under way.
func (e *engine) takesPrefetch(engines *routes.Engines, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orders.known || e.move.loading != "" || e.move.ordering || !e.takesOrders(now) {
		return false
	}
	for _, state := range e.adapters {
		if state.phase != phaseLoaded {
			return false
		}
	}
	return len(e.adapters)+reservedSlots < engines.AdapterSlots
}

// nextAdapter returns the first adapter that no engine has, of the engine's models by demand.
func nextAdapter(name string, service *routes.Service, state *fleet.State, rates map[ModelKey]float64, present map[adapterKey]bool) (adapterKey, bool) {
	var models []*routes.Model
	for _, holding := range state.Models {
		if model := service.Model(holding.Model); model != nil && state.Holds(holding.Model) {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b *routes.Model) int {
		return cmp.Or(
			cmp.Compare(rates[ModelKey{name, b.Name}], rates[ModelKey{name, a.Name}]),
			strings.Compare(a.Name, b.Name))
	})
	for _, model := range models {
		for _, adapter := range model.Adapters {
			if key := (adapterKey{model.Name, adapter}); !present[key] {
				return key, true
			}
		}
	}
	return adapterKey{}, false
}
