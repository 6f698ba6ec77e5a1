package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// keptFree is how many places for adapters are left free on each engine for those asked for.
const keptFree = 1

// prefetch loads adapters that no engine has into places that are free, at most one an engine at a
// time: they are there when they are asked for, also while nobody may give orders.
func (c *Controller) prefetch(name string, service *routes.Service, now time.Time) {
	rates := c.Demand.Rates(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	states := c.Directory.Of(name)
	there := c.adaptersThere(states)
	for _, state := range states {
		e := c.engines[state.ID]
		if e == nil || state.Leaving || !e.takesPrefetch(service.Engines, now) {
			continue
		}
		key, ok := nextAdapter(name, service, state, rates, there)
		if !ok {
			continue
		}
		there[key] = true
		e.startAdapter(key)
	}
}

// adaptersThere are the adapters that any engine has or is loading. The caller holds the lock.
func (c *Controller) adaptersThere(states []*fleet.State) map[adapterKey]bool {
	there := map[adapterKey]bool{}
	for _, state := range states {
		e := c.engines[state.ID]
		if e == nil {
			continue
		}
		e.mu.Lock()
		for key := range e.adapters {
			there[key] = true
		}
		e.mu.Unlock()
	}
	return there
}

// takesPrefetch tells whether the engine has places to spare and nothing else to do.
func (e *engine) takesPrefetch(pool *routes.Engines, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || e.loading != "" || e.ordering || now.Before(e.coolUntil) || !e.mayOrder() {
		return false
	}
	for _, state := range e.adapters {
		if state.phase != phaseLoaded {
			return false
		}
	}
	return len(e.adapters)+keptFree < pool.AdapterSlots
}

// nextAdapter is the adapter of the engine's models that is most likely to be asked for and that
// no engine has.
func nextAdapter(name string, service *routes.Service, state *fleet.State, rates map[ModelKey]float64, there map[adapterKey]bool) (adapterKey, bool) {
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
			if key := (adapterKey{model.Name, adapter}); !there[key] {
				return key, true
			}
		}
	}
	return adapterKey{}, false
}
