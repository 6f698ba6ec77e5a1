package residency

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// adapterTime is how long an adapter's load takes; the engine's answers correct it.
	adapterTime = 11 * time.Millisecond
	// unloadTime is how long an idle adapter's unload takes.
	unloadTime = 2 * time.Millisecond
	// idleTime is how long an adapter must not have been used to give way.
	idleTime = 700 * time.Millisecond
	// pageTimeout bounds the paging of one adapter.
	pageTimeout = 2 * time.Second
	// fullCost is the cost, in running requests, of having to evict an adapter first.
	fullCost = 6
	// queueCost is the cost of each job that waits for an engine's turn.
	queueCost = 8
)

// Ensured tells where what was asked for is, or when it will be.
type Ensured struct {
	// Backend has it now; empty if none does yet.
	Backend string `json:"backend,omitempty"`
	// Residency of that engine.
	Residency fleet.Residency `json:"residency,omitzero"`
	Term      int64           `json:"term,omitempty"`
	// Ready is after how long it is probably there; 0 if that is not known.
	Ready time.Duration `json:"ready,omitempty"`
}

// Ensure has an adapter of a model loaded on an engine that holds the model, and returns where.
// For a model that no engine holds it returns at once when the load will be done.
func (c *Controller) Ensure(ctx context.Context, service, model, adapter string) (Ensured, error) {
	term, err := c.mayOrder()
	if err != nil {
		return Ensured{}, err
	}
	pool, described := c.model(service, model)
	if described == nil {
		return Ensured{}, ErrUnknownModel
	}
	if c.copies(service, model) == 0 {
		return Ensured{Ready: c.wantModel(service, model), Term: term}, ErrNoPlace
	}
	if adapter == "" {
		return Ensured{Term: term}, nil
	}
	target, state := c.placeAdapter(service, pool, described, adapterKey{model, adapter})
	if target == nil {
		return Ensured{Ready: idleTime / 2, Term: term}, ErrNoPlace
	}
	select {
	case <-state.ready:
	case <-ctx.Done():
		return Ensured{Ready: adapterTime, Term: term}, ctx.Err()
	}
	target.mu.Lock()
	loaded := state.loaded
	target.mu.Unlock()
	if !loaded {
		return Ensured{Term: term}, ErrFailed
	}
	return Ensured{Backend: target.id, Residency: target.residency(), Term: term}, nil
}

// placeAdapter finds the engine that has or will have an adapter; nil if none can now.
func (c *Controller) placeAdapter(service string, pool *routes.Engines, model *routes.Model, key adapterKey) (*engine, *adapterState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *engine
	var victim adapterKey
	bestCost := 0
	for _, state := range c.Directory.Of(service) {
		if state.Leaving || !state.Holds(key.model) {
			continue
		}
		e := c.engine(state.ID, service)
		if there := e.findAdapter(key); there != nil && e.unloadingModel() != key.model {
			return e, there
		}
		cost, evict, ok := e.adapterCost(pool, model)
		if !ok {
			continue
		}
		cost += c.load(state.ID)
		if best == nil || cost < bestCost {
			best, bestCost, victim = e, cost, evict
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, best.startAdapter(key, victim)
}

func (e *engine) findAdapter(key adapterKey) *adapterState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.adapters[key]
	if state != nil {
		state.used = time.Now()
	}
	return state
}

func (e *engine) unloadingModel() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unloading
}

// adapterCost tells what it costs to load one more adapter here, and which has to give way.
func (e *engine) adapterCost(pool *routes.Engines, model *routes.Model) (cost int, evict adapterKey, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.loading != "" || e.unloading != "" || now.Before(e.coolUntil) {
		return 0, evict, false
	}
	pending := 0
	for _, state := range e.adapters {
		if !state.loaded {
			pending++
		}
	}
	cost = pending * queueCost
	if len(e.adapters) < pool.AdapterSlots && e.fitsAdapter(pool, model) {
		return cost, evict, true
	}
	var oldest time.Time
	for key, state := range e.adapters {
		if !state.loaded || now.Sub(state.used) < idleTime {
			continue
		}
		if evict.model == "" || state.used.Before(oldest) {
			evict, oldest = key, state.used
		}
	}
	return cost + fullCost, evict, evict.model != ""
}

// fitsAdapter tells whether the engine's memory takes one more adapter beside its models. The
// caller holds the lock.
func (e *engine) fitsAdapter(pool *routes.Engines, model *routes.Model) bool {
	used := e.controller.modelMegabytes(e.service, e.id)
	for key := range e.adapters {
		if _, described := e.controller.model(e.service, key.model); described != nil {
			used += described.AdapterMegabytes
		}
	}
	return used+model.AdapterMegabytes <= pool.Megabytes
}

// startAdapter begins the load of an adapter, after the unload of the one that gives way.
func (e *engine) startAdapter(key, evict adapterKey) *adapterState {
	state := &adapterState{ready: make(chan struct{}), used: time.Now()}
	e.mu.Lock()
	e.adapters[key] = state
	if evict.model != "" {
		// Not offered any more, but its place counts as taken until the engine has dropped it.
		e.adapters[evict].loaded = false
		e.sequence++
	}
	e.mu.Unlock()
	if evict.model != "" {
		e.controller.announce(e)
	}
	go e.pageAdapter(key, evict, state)
	return state
}

func (e *engine) pageAdapter(key, evict adapterKey, state *adapterState) {
	ctx, cancel := context.WithTimeout(e.controller.ctx, pageTimeout)
	defer cancel()
	defer close(state.ready)
	loaded := e.page(ctx, key, evict)
	e.change(func() {
		state.loaded = loaded
		state.used = time.Now()
		if !loaded {
			delete(e.adapters, key)
			e.known = false
			e.coolUntil = time.Now().Add(reportLag)
		}
	})
}

// page gives the orders that put one adapter in the place of another.
func (e *engine) page(ctx context.Context, key, evict adapterKey) bool {
	if e.acquire(ctx) != nil {
		return false
	}
	defer e.release()
	if evict.model != "" {
		if !e.unloadAdapter(ctx, evict) {
			return false
		}
	}
	result, _ := e.order(ctx, Order{Operation: Load, Model: key.model, Adapter: key.adapter})
	if result == Accepted {
		return pause(ctx, adapterTime) == nil
	}
	return result == Already
}

func (e *engine) unloadAdapter(ctx context.Context, key adapterKey) bool {
	result, _ := e.order(ctx, Order{Operation: Unload, Model: key.model, Adapter: key.adapter})
	if result != Accepted && result != Already {
		// It may still be there: the next report tells, until then it keeps its place.
		e.unsure()
		return false
	}
	e.mu.Lock()
	delete(e.adapters, key)
	e.mu.Unlock()
	if result == Accepted {
		return pause(ctx, unloadTime) == nil
	}
	return true
}

// Used notes that requests used adapters, so that the one unused longest gives way.
func (c *Controller) Used(uses []Use) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, use := range uses {
		e := c.engines[use.Backend]
		if e == nil {
			continue
		}
		e.mu.Lock()
		if state := e.adapters[adapterKey{use.Model, use.Adapter}]; state != nil {
			state.used = now
		}
		e.mu.Unlock()
	}
}

// Use is one request's use of an adapter on an engine.
type Use struct {
	Backend string `json:"b"`
	Model   string `json:"m"`
	Adapter string `json:"a"`
}
