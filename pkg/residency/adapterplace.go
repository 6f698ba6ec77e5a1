package residency

import (
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/routes"
)

// The costs of loading an adapter on an engine are in running requests: they add to the engine's
// own, and the cheapest engine gets the adapter.
const (
	// evictAdapterCost is the cost of having to evict an adapter first.
	evictAdapterCost = 6
	// avoidCost is the cost of an engine that failed an order within avoidTime.
	avoidCost = 40
	// queueCost is the cost of each adapter whose load or unload is under way or waits.
	queueCost = 8
)

// placeAdapter chooses the engine that has or will have an adapter, and begins the load where that
// is needed: an engine that has the adapter or has just begun to load it, else the cheapest one that
// can load it, else one whose load takes longer than hedgeDelay. It is false if no engine but those
// tried can have the adapter now.
func (c *Controller) placeAdapter(engines *routes.Engines, want *Want, tried []string) (adapterLoad, bool) {
	key := adapterKey{want.Model, want.Adapter}
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *engine
	var slow adapterLoad
	bestCost := 0
	for _, state := range c.Directory.Holders(want.Service, want.Model) {
		if !state.TakesWork() || !want.allows(state.Hall) || slices.Contains(tried, state.ID) || c.unresponsive(state.ID) {
			continue
		}
		e := c.engine(state.ID, want.Service)
		if there, isSlow := e.findAdapter(key); there != nil && !isSlow {
			return adapterLoad{e, there}, true
		} else if there != nil {
			slow = adapterLoad{e, there}
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

// findAdapter returns an adapter that the engine has or is loading, nil if it has not, and whether
// its load takes longer than hedgeDelay.
func (e *engine) findAdapter(key adapterKey) (state *adapterState, slow bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state = e.adapters[key]
	if state == nil || (state.phase != phaseLoading && state.phase != phaseLoaded) || e.move.unloading == key.model {
		return nil, false
	}
	state.used = time.Now()
	return state, state.phase == phaseLoading && time.Since(state.begun) > hedgeDelay
}

// adapterCost is what it costs to load one more adapter on the engine, in running requests. It is
// false if that is not possible now, as while the same adapter is being unloaded.
func (e *engine) adapterCost(engines *routes.Engines, key adapterKey) (cost int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.move.ordering || e.adapters[key] != nil || !e.takesOrders(now) {
		return 0, false
	}
	if now.Before(e.backoff.avoidUntil) {
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
