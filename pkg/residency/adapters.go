package residency

import (
	"context"
	"maps"
	"time"

	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// adapterTime is how long an adapter's load takes; the engine's answers correct it.
	adapterTime = 11 * time.Millisecond
	// idleTime is how long an adapter must not have been used to give way.
	idleTime = 250 * time.Millisecond
	// pageTimeout bounds the paging of one adapter.
	pageTimeout = 2 * time.Second
	// crowdedWork is the work, in milliseconds of an engine's time, that is noted for a model each
	// time that its engines have no place for an adapter: another copy brings more places.
	crowdedWork = 60
	// fullCost is the cost, in running requests, of having to evict an adapter first.
	fullCost = 6
	// doubtCost is that of an engine which did not answer its last order.
	doubtCost = 40
	// queueCost is the cost of each job that waits for an engine's turn.
	queueCost = 8
)

// findAdapter returns an adapter that the engine has or is loading, nil if it has not, and whether
// its load takes longer than loads do.
func (e *engine) findAdapter(key adapterKey) (state *adapterState, slow bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state = e.adapters[key]
	if state == nil || (state.phase != phaseLoading && state.phase != phaseLoaded) || e.unloading == key.model {
		return nil, false
	}
	state.used = time.Now()
	return state, state.phase == phaseLoading && time.Since(state.begun) > slowPaging
}

// adapterCost tells what it costs to load one more adapter here; ok is false if that can't be
// now, as where the same adapter is just being unloaded.
func (e *engine) adapterCost(pool *routes.Engines, key adapterKey) (cost int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.ordering || e.adapters[key] != nil || now.Before(e.coolUntil) || !e.mayOrder() {
		return 0, false
	}
	if now.Before(e.doubtUntil) {
		cost += doubtCost
	}
	idle := 0
	for _, state := range e.adapters {
		switch {
		case state.phase != phaseLoaded:
			cost += queueCost
		case e.idle(state, now):
			idle++
		}
	}
	if len(e.adapters) < pool.AdapterSlots {
		return cost, true
	}
	return cost + fullCost, len(e.adapters)-idle < pool.AdapterSlots
}

// idle tells whether an adapter may give way. The caller holds the lock.
func (e *engine) idle(state *adapterState, now time.Time) bool {
	return state.phase == phaseLoaded && state.running == 0 && now.Sub(state.used) >= idleTime
}

// startAdapter begins the load of an adapter.
func (e *engine) startAdapter(key adapterKey) *adapterState {
	now := time.Now()
	state := &adapterState{ready: make(chan struct{}), begun: now, used: now, phase: phaseLoading}
	e.mu.Lock()
	e.adapters[key] = state
	e.mu.Unlock()
	go e.pageAdapter(key, state)
	return state
}

func (e *engine) pageAdapter(key adapterKey, state *adapterState) {
	ctx, cancel := context.WithTimeout(e.controller.jobs(), pageTimeout)
	defer cancel()
	defer close(state.ready)
	result := e.page(ctx, key)
	e.change(func() {
		state.used = time.Now()
		switch result {
		case pageDone:
			state.phase = phaseLoaded
		case pageNotBegun:
			delete(e.adapters, key)
		case pageUnsure:
			// It may be there, now or later: it keeps its place until the engine tells.
			state.phase = phaseUnsure
			e.known = false
			e.coolUntil = time.Now().Add(reportLag)
		}
	})
}

// pageResult is how the paging of an adapter ended.
type pageResult int

const (
	pageDone pageResult = iota
	pageNotBegun
	pageUnsure
)

// page gives the orders that load one adapter, after the unload of others if there is no room.
func (e *engine) page(ctx context.Context, key adapterKey) pageResult {
	if e.acquire(ctx) != nil {
		return pageNotBegun
	}
	defer e.release()
	for {
		if e.sync(ctx) != nil {
			return pageNotBegun
		}
		fits, victim := e.makeRoom(key)
		if !fits {
			if victim.model == "" || !e.unloadAdapter(ctx, victim) {
				return pageNotBegun
			}
			continue
		}
		result, _ := e.order(ctx, Order{Operation: Load, Model: key.model, Adapter: key.adapter}, e.hasRoom)
		switch result {
		case Accepted:
			_ = pause.For(ctx, adapterTime)
			return pageDone
		case Already:
			return pageDone
		case NotAllowed:
			continue
		}
		return pageUnsure
	}
}

// hasRoom tells whether all adapters that are counted fit.
func (e *engine) hasRoom() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.adaptersFit()
}

// adaptersFit tells whether all adapters that are counted fit. The caller holds the lock.
func (e *engine) adaptersFit() bool {
	table := e.controller.Table()
	if table == nil || table.Services[e.service] == nil || table.Services[e.service].Engines == nil {
		return false
	}
	service := table.Services[e.service]
	used := e.modelMegabytes() + e.adapterMegabytes(service)
	return len(e.adapters) <= service.Engines.AdapterSlots && used <= service.Engines.Megabytes
}

// adapterMegabytes is the memory that the adapters take which are counted. The caller holds the
// lock.
func (e *engine) adapterMegabytes(service *routes.Service) float64 {
	used := 0.0
	for key := range e.adapters {
		if model := service.Model(key.model); model != nil {
			used += model.AdapterMegabytes
		}
	}
	return used
}

// makeRoom tells whether the engine has room for one adapter that is counted already, or else
// which one gives way; none if all are in use.
func (e *engine) makeRoom(key adapterKey) (fits bool, victim adapterKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.adaptersFit() {
		return true, victim
	}
	now := time.Now()
	var oldest time.Time
	for other, state := range e.adapters {
		if other == key || !e.idle(state, now) {
			continue
		}
		if victim.model == "" || state.used.Before(oldest) {
			victim, oldest = other, state.used
		}
	}
	if victim.model != "" {
		e.adapters[victim].phase = phaseLeaving
	}
	return false, victim
}

// unloadAdapter has an adapter dropped; its place is free when the next order is accepted.
func (e *engine) unloadAdapter(ctx context.Context, key adapterKey) bool {
	e.controller.announce(e)
	result, _ := e.order(ctx, Order{Operation: Unload, Model: key.model, Adapter: key.adapter}, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	if result != Accepted && result != Already {
		if state := e.adapters[key]; state != nil {
			state.phase = phaseUnsure
		}
		e.known = false
		return false
	}
	delete(e.adapters, key)
	return true
}

// AdapterUse is what runs with an adapter on an engine.
type AdapterUse struct {
	Upstream string `json:"b"`
	Model    string `json:"m"`
	Adapter  string `json:"a"`
	// Running requests.
	Running int `json:"r,omitempty"`
}

// runningModel counts the requests of a model that run on an engine, on all machines.
func (c *Controller) runningModel(backend, model string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for use, running := range c.uses {
		if use.Upstream == backend && use.Model == model {
			total += running
		}
	}
	return total
}

// SetAdapterUses takes what all machines have running with adapters, so that the one unused longest gives
// way and none that is in use.
func (c *Controller) SetAdapterUses(uses []AdapterUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	running := make(map[AdapterUse]int, len(uses))
	for _, use := range uses {
		running[AdapterUse{Upstream: use.Upstream, Model: use.Model, Adapter: use.Adapter}] += use.Running
	}
	changed := maps.Clone(running)
	maps.Copy(changed, c.uses)
	c.uses = running
	for use := range changed {
		if e := c.engines[use.Upstream]; e != nil {
			e.use(use, running[use], now)
		}
	}
}

func (e *engine) use(use AdapterUse, running int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state := e.adapters[adapterKey{use.Model, use.Adapter}]; state != nil {
		state.used, state.running = now, running
	}
}
