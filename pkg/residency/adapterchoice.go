package residency

import (
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/routes"
)

// The costs of loading an adapter on an engine are counted in running requests. They are added to the
// engine's running requests, and the engine with the lowest sum gets the adapter.
const (
	// evictAdapterCost is the cost of evicting another adapter first.
	evictAdapterCost = 6
	// avoidCost is the cost of using an engine that failed an order within avoidTime.
	avoidCost = 40
	// queueCost is the cost of each adapter on the engine whose load or unload is waiting or under way.
	queueCost = 8
)

// placeAdapter chooses the engine for an adapter and starts the load if needed. It prefers, in this order:
// an engine that has the adapter or has just started to load it; the cheapest engine that can load it; an
// engine whose load takes longer than hedgeDelay. It returns false if no engine outside of tried can have
// the adapter now.
func (c *Controller) placeAdapter(engines *routes.Engines, want *Want, tried []string) (adapterLoad, bool) {
	key := adapterKey{want.Model, want.Adapter}
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *engine
	var slow adapterLoad
	bestCost := 0
	for _, state := range c.Directory.Holders(want.Service, want.Model) {
		if !state.TakesWork() || !want.allows(state) || slices.Contains(tried, state.ID) || c.unresponsive(state.ID) {
			continue
		}
		e := c.engine(state.ID, want.Service)
		if existing, isSlow := e.findAdapter(key); existing != nil && !isSlow {
			return adapterLoad{e, existing}, true
		} else if existing != nil {
			slow = adapterLoad{e, existing}
			continue
		}
		cost, ok := e.adapterCost(engines, key)
		if !ok {
			continue
		}
		cost += c.running(state.ID)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best != nil {
		return adapterLoad{best, best.startAdapterLoad(key)}, true
	}
	return slow, slow.engine != nil
}

// findAdapter returns the state of an adapter that the engine has or is loading, or nil, and whether its
// load takes longer than hedgeDelay.
func (e *engine) findAdapter(key adapterKey) (state *adapterState, slow bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state = e.adapters[key]
	if state == nil || (state.phase != phaseLoading && state.phase != phaseLoaded) || e.move.unloading == key.model {
		return nil, false
	}
	state.lastUsed = time.Now()
	return state, state.phase == phaseLoading && time.Since(state.requestedAt) > hedgeDelay
}

// adapterCost returns the cost of loading one more adapter on the engine, in running requests. It returns
// false if that is not possible now, for example while the same adapter is being unloaded.
func (e *engine) adapterCost(engines *routes.Engines, key adapterKey) (cost int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.move.sendingOrders || e.adapters[key] != nil || !e.takesOrders(now) {
		return 0, false
	}
	if now.Before(e.deferral.avoidUntil) {
		cost += avoidCost
	}
	idle := 0
	for _, state := range e.adapters {
		switch {
		case state.phase != phaseLoaded:
			cost += queueCost
		case state.idle(now):
			idle++
		}
	}
	if len(e.adapters) < engines.AdapterSlots {
		return cost, true
	}
	return cost + evictAdapterCost, len(e.adapters)-idle < engines.AdapterSlots
}
