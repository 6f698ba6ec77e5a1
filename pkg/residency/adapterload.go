package residency

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/pause"
)

const (
	// adapterTime is how long an adapter's load takes on an engine that is not busy. Some 10 ms
	// on the users' bench (docs/FINDINGS.md).
	adapterTime = 11 * time.Millisecond
	// adapterTimeout bounds the load of one adapter with the unloads before it, and one attempt to
	// learn an engine's count of orders.
	adapterTimeout = 2 * time.Second
	// uncertainCooldown is how long an engine gets no adapters after an order that may have been
	// carried out: until its report covers the order.
	uncertainCooldown = reportLag
)

// adapterResult is how an adapter's load ended.
type adapterResult int

const (
	// adapterLoaded: requests may use it.
	adapterLoaded adapterResult = iota
	// adapterNotOrdered: no order to load it was given.
	adapterNotOrdered
	// adapterUncertain: an order to load it may have been carried out.
	adapterUncertain
)

// startAdapterLoad begins the load of an adapter, which takes a place from now on.
func (e *engine) startAdapterLoad(key adapterKey) *adapterState {
	now := time.Now()
	state := &adapterState{ready: make(chan struct{}), begun: now, used: now, phase: phaseLoading}
	e.mu.Lock()
	e.adapters[key] = state
	e.mu.Unlock()
	go e.runAdapterLoad(key, state)
	return state
}

func (e *engine) runAdapterLoad(key adapterKey, state *adapterState) {
	ctx, cancel := context.WithTimeout(e.controller.jobs(), adapterTimeout)
	defer cancel()
	defer close(state.ready)
	result := e.loadAdapter(ctx, key)
	e.update(func() {
		state.used = time.Now()
		switch result {
		case adapterLoaded:
			state.phase = phaseLoaded
		case adapterNotOrdered:
			delete(e.adapters, key)
		case adapterUncertain:
			// It may be loaded, now or later: it keeps its place until the engine's report.
			state.phase = phaseUncertain
			e.orders.known = false
			e.backoff.cooldownUntil = time.Now().Add(uncertainCooldown)
		}
	})
}

// loadAdapter gives the orders that load one adapter, after the unload of others if there is no
// room.
func (e *engine) loadAdapter(ctx context.Context, key adapterKey) adapterResult {
	if e.lockOrders(ctx) != nil {
		return adapterNotOrdered
	}
	defer e.unlockOrders()
	for {
		if e.learnCount(ctx) != nil {
			// No line for each request: learn asks again and logs why it fails.
			return adapterNotOrdered
		}
		fits, victim := e.makeAdapterRoom(key)
		if !fits {
			if victim.model == "" || !e.unloadAdapter(ctx, victim) {
				return adapterNotOrdered
			}
			continue
		}
		// Each sending is logged with its error.
		result, _ := e.giveOrder(ctx, Order{Operation: Load, Model: key.model, Adapter: key.adapter}, e.fitsAdapters)
		switch result {
		case Accepted:
			_ = pause.For(ctx, adapterTime) // The order is under way whether or not the wait is cut short.
			return adapterLoaded
		case Already:
			return adapterLoaded
		case NotAllowed:
			continue
		}
		return adapterUncertain
	}
}

// makeAdapterRoom reports whether the engine has room for one adapter that takes a place already,
// or else which one is evicted: the idle one unused longest; none if all are in use.
func (e *engine) makeAdapterRoom(key adapterKey) (fits bool, victim adapterKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.adaptersFit() {
		return true, victim
	}
	now := time.Now()
	var oldest time.Time
	for other, state := range e.adapters {
		if other == key || !state.idle(now) {
			continue
		}
		if victim.model == "" || state.used.Before(oldest) {
			victim, oldest = other, state.used
		}
	}
	if victim.model != "" {
		e.adapters[victim].phase = phaseUnloading
	}
	return false, victim
}

// unloadAdapter unloads an adapter and reports whether the order was taken; its place is free when
// the next order is accepted.
func (e *engine) unloadAdapter(ctx context.Context, key adapterKey) bool {
	e.controller.publish(e)
	// Each sending is logged with its error.
	result, _ := e.giveOrder(ctx, Order{Operation: Unload, Model: key.model, Adapter: key.adapter}, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	if result != Accepted && result != Already {
		if state := e.adapters[key]; state != nil {
			state.phase = phaseUncertain
		}
		e.orders.known = false
		return false
	}
	delete(e.adapters, key)
	return true
}
