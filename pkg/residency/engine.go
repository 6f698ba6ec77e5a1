package residency

import (
	"slices"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// engine is the controller's state of one engine under one term. It sends the engine its orders, one at a
// time.
type engine struct {
	controller *Controller
	id         string
	service    string
	// term is the lease term under which this state was learned. No order is sent under another one.
	term int64

	// orderLock is held by the goroutine that sends orders to the engine. It is a channel so that waiting
	// for it can be cancelled by a context.
	orderLock chan struct{}
	// publishing is held while the engine's residency is published.
	publishing sync.Mutex

	// mu guards the fields below.
	mu       sync.Mutex
	orders   orderState
	models   modelRecord
	move     moveProgress
	deferral deferral
	// adapters are those that are loaded or may be loaded.
	adapters map[adapterKey]*adapterState
	// sequence is that of the last published residency of the engine.
	sequence int64
}

// moveProgress is the move under way on an engine; it is zero if there is none.
type moveProgress struct {
	// loading is the model that the move loads.
	loading string
	// unloading is the model whose unload has been ordered.
	unloading string
	// withdrawn are the models that are about to be unloaded; they get no new requests.
	withdrawn []string
	// sendingOrders reports that the move's orders are being sent: the engine takes no others.
	sendingOrders bool
}

// idle reports whether no move is under way.
func (m *moveProgress) idle() bool {
	return m.loading == "" && m.unloading == "" && len(m.withdrawn) == 0
}

// deferral is how long an engine that failed gets no orders, or is less preferred than others.
type deferral struct {
	// cooldownUntil is the time until which the engine gets no orders.
	cooldownUntil time.Time
	// avoidUntil is the time until which other engines are preferred, because this one failed an order.
	avoidUntil time.Time
}

// engine returns the state of an engine, and creates it if there is none. The caller holds the lock.
func (c *Controller) engine(id, service string) *engine {
	e := c.engines[id]
	if e == nil {
		e = newEngine(c, id, service)
		c.engines[id] = e
	}
	return e
}

// newEngine returns the state of an engine about which nothing is known yet. The caller holds the
// controller's lock.
func newEngine(c *Controller, id, service string) *engine {
	return &engine{
		controller: c,
		id:         id,
		service:    service,
		term:       c.term,
		orderLock:  make(chan struct{}, 1),
		models:     modelRecord{loadedAt: map[string]time.Time{}},
		adapters:   map[adapterKey]*adapterState{},
	}
}

// update changes the engine's state and publishes the result.
func (e *engine) update(change func()) {
	e.mu.Lock()
	change()
	e.mu.Unlock()
	e.controller.publish(e)
}

// publish writes an engine's residency to the directory, from which the other boxes get it.
func (c *Controller) publish(e *engine) {
	term, err := c.Term()
	if err != nil {
		return // Only the order holder publishes; another holder rebuilds the state itself.
	}
	// An older state of the engine must not be published after a newer one.
	e.publishing.Lock()
	defer e.publishing.Unlock()
	next := e.residency()
	if next.Sequence == 0 && !c.Directory.ResidencyDiffers(e.id, next) {
		return
	}
	sequence := c.Directory.Publish(term, e.id, next)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence = sequence
}

// residency returns what the engine holds, in the form that other boxes get.
func (e *engine) residency() fleet.Residency {
	e.mu.Lock()
	defer e.mu.Unlock()
	residency := fleet.Residency{
		Adapters:  map[string][]string{},
		Withdrawn: slices.Clone(e.move.withdrawn),
		Loaded:    slices.Clone(e.models.loaded),
		Dropped:   slices.Clone(e.models.dropped),
		Sequence:  e.sequence,
		Busy:      e.move.sendingOrders,
	}
	for key, state := range e.adapters {
		if state.phase == phaseLoaded {
			residency.Adapters[key.model] = append(residency.Adapters[key.model], key.adapter)
		}
	}
	for _, list := range residency.Adapters {
		slices.Sort(list)
	}
	return residency
}
