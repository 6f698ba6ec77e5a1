package residency

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/pause"
)

const (
	// adapterLoadTime is how long an adapter takes to load on an engine that is not busy: some 10 ms.
	adapterLoadTime = 11 * time.Millisecond
	// adapterTimeout bounds the load of one adapter including the unloads before it. It also bounds one
	// attempt to read an engine's order count.
	adapterTimeout = 2 * time.Second
	// uncertainCooldown is how long an engine gets no adapters after an order whose outcome is unknown: by
	// then its report covers the order.
	uncertainCooldown = reportLag
)

// adapterResult is the outcome of an adapter's load.
type adapterResult int

const (
	// adapterLoaded: requests may use the adapter.
	adapterLoaded adapterResult = iota
	// adapterNotOrdered: no order to load the adapter was sent.
	adapterNotOrdered
	// adapterUncertain: an order to load the adapter was sent and may have been carried out.
	adapterUncertain
)

// startAdapterLoad starts loading an adapter in the background. The adapter occupies a slot from now on.
func (e *engine) startAdapterLoad(key adapterKey) *adapterState {
	now := time.Now()
	state := &adapterState{ready: make(chan struct{}), requestedAt: now, lastUsed: now, phase: phaseLoading}
	e.mu.Lock()
	e.adapters[key] = state
	e.mu.Unlock()
	go e.runAdapterLoad(key, state)
	return state
}

func (e *engine) runAdapterLoad(key adapterKey, state *adapterState) {
	ctx, cancel := context.WithTimeout(e.controller.backgroundContext(), adapterTimeout)
	defer cancel()
	defer close(state.ready)
	result := e.loadAdapter(ctx, key)
	e.update(func() {
		state.lastUsed = time.Now()
		switch result {
		case adapterLoaded:
			state.phase = phaseLoaded
		case adapterNotOrdered:
			delete(e.adapters, key)
		case adapterUncertain:
			// The adapter may be loaded, now or later: it keeps its slot until the engine's next report.
			state.phase = phaseUncertain
			e.orders.countKnown = false
			e.deferral.cooldownUntil = time.Now().Add(uncertainCooldown)
		}
	})
}

// loadAdapter sends the order to load an adapter. If the engine has no room, it first unloads other
// adapters.
func (e *engine) loadAdapter(ctx context.Context, key adapterKey) adapterResult {
	if e.lockOrders(ctx) != nil {
		return adapterNotOrdered
	}
	defer e.unlockOrders()
	for {
		if e.ensureOrderCount(ctx) != nil {
			// Not logged here, to avoid a line for each request: requestReport asks again and logs the error.
			return adapterNotOrdered
		}
		fits, victim := e.makeAdapterRoom(key)
		if !fits {
			if victim.model == "" || !e.unloadAdapter(ctx, victim) {
				return adapterNotOrdered
			}
			continue
		}
		// The error is dropped: logOrder logs each send with its error.
		result, _ := e.giveOrder(ctx, Order{Operation: Load, Model: key.model, Adapter: key.adapter}, e.fitsAdapters)
		switch result {
		case Accepted:
			_ = pause.For(ctx, adapterLoadTime) // The order is under way even if the wait is cut short.
			return adapterLoaded
		case Already:
			return adapterLoaded
		case NotAllowed:
			continue
		}
		return adapterUncertain
	}
}

// makeAdapterRoom reports whether all adapters fit, among them the given one, which occupies a slot already.
// If they do not fit, it marks the least recently used idle adapter as unloading and returns it as the
// victim. The victim is zero if no adapter is idle.
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
		if victim.model == "" || state.lastUsed.Before(oldest) {
			victim, oldest = other, state.lastUsed
		}
	}
	if victim.model != "" {
		e.adapters[victim].phase = phaseUnloading
	}
	return false, victim
}

// unloadAdapter unloads an adapter and reports whether the engine took the order. Its slot is free by the
// time the engine accepts its next order.
func (e *engine) unloadAdapter(ctx context.Context, key adapterKey) bool {
	e.controller.publish(e)
	// The error is dropped: logOrder logs each send with its error.
	result, _ := e.giveOrder(ctx, Order{Operation: Unload, Model: key.model, Adapter: key.adapter}, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	if result != Accepted && result != Already {
		if state := e.adapters[key]; state != nil {
			state.phase = phaseUncertain
		}
		e.orders.countKnown = false
		return false
	}
	delete(e.adapters, key)
	return true
}
