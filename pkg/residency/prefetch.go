package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// reservedSlots is the number of adapter slots on each engine that prefetches leave free for requested
// adapters.
const reservedSlots = 1

// prefetch loads adapters that no engine has into free slots, on each engine at most one at a time. Requests
// then find them loaded, even while no box may send orders.
func (c *Controller) prefetch(name string, service *routes.Service, now time.Time) {
	rates := c.Demand.Rates(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	states := c.Directory.OfService(name)
	present := c.adaptersPresent(states)
	for _, state := range states {
		e := c.engines[state.ID]
		if e == nil || !state.TakesWork() || !e.canPrefetch(service.Engines, now) {
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

// adaptersPresent returns the adapters that any engine has, in whatever phase. The caller holds the lock.
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

// canPrefetch reports whether the engine has adapter slots to spare and no orders under way.
func (e *engine) canPrefetch(engines *routes.Engines, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orders.countKnown || e.move.loading != "" || e.move.sendingOrders || !e.takesOrders(now) {
		return false
	}
	for _, state := range e.adapters {
		if state.phase != phaseLoaded {
			return false
		}
	}
	return len(e.adapters)+reservedSlots < engines.AdapterSlots
}

// nextAdapter returns the first adapter that no engine has yet, of the models that the engine holds, in the
// order of their demand.
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
