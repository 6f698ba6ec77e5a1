package residency

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// engine gives one engine its orders, one at a time.
type engine struct {
	controller *Controller
	id         string
	service    string
	// term under which this state was learned: no order goes out under another one.
	term int64

	// turn is held by the job that gives orders.
	turn chan struct{}
	// announcing is held while peers are told of the engine.
	announcing sync.Mutex

	mu sync.Mutex
	// taken is the number of orders that the engine has taken; known tells that we know it.
	taken int64
	known bool
	// lastOrder is when an order was last sent.
	lastOrder time.Time
	// adapters are those loaded or perhaps loaded, with their last use.
	adapters map[adapterKey]*adapterState
	// loading and unloading are models that orders under way concern.
	loading   string
	unloading string
	// ordering tells that a move's orders are under way: the engine takes no others.
	ordering  bool
	withdrawn []string
	// loaded and dropped are models whose load or unload was seen to end, as long as the
	// platform's list does not tell.
	loaded  []string
	dropped []string
	// loadedAt is when models were loaded by order.
	loadedAt map[string]time.Time
	// seen is when the engine last held each model.
	seen map[string]time.Time
	// sequence is that of the latest word on this engine that peers were told.
	sequence int64
	// told is what the engine said that it holds, models with no adapter named.
	told map[adapterKey]bool
	// coolUntil is until when an engine that failed orders gets none.
	coolUntil time.Time
	// doubtUntil is until when an engine that left an order unanswered is only given orders that no
	// other engine can take.
	doubtUntil time.Time
}

type adapterKey struct {
	model, adapter string
}

// phase is where an adapter stands on an engine. In every phase it takes a place.
type phase int

const (
	// phaseLoading: its load is under way or waits for the engine's turn.
	phaseLoading phase = iota
	phaseLoaded
	// phaseLeaving: its unload is under way.
	phaseLeaving
	// phaseUnsure: an order was not answered; the engine's next report tells.
	phaseUnsure
)

type adapterState struct {
	// ready is closed when the load is over; phase then tells how.
	ready chan struct{}
	phase phase
	// begun is when the load was asked for, and used when the adapter was last needed.
	begun time.Time
	used  time.Time
	// running requests that use it, on all machines.
	running int
}

// newEngine returns the state of an engine of which nothing is known. The caller holds the
// controller's lock.
func newEngine(c *Controller, id, service string) *engine {
	e := &engine{
		controller: c,
		id:         id,
		service:    service,
		term:       c.term,
		turn:       make(chan struct{}, 1),
		adapters:   map[adapterKey]*adapterState{},
		seen:       map[string]time.Time{},
		loadedAt:   map[string]time.Time{},
	}
	return e
}

// acquire waits for the engine's turn.
func (e *engine) acquire(ctx context.Context) error {
	select {
	case e.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *engine) release() { <-e.turn }

// order sends one order until the engine has answered it, or has come to hold what it asks for.
// allowed tells whether the order may be given by what the engine holds now: its word may have
// changed that; nil always allows it. The caller has the turn.
func (e *engine) order(ctx context.Context, order Order, allowed func() bool) (Result, error) {
	var last error
	for range orderRounds {
		if err := e.sync(ctx); err != nil {
			return Unanswered, err
		}
		if last != nil && e.fulfilled(order) {
			return Already, nil
		}
		if allowed != nil && !allowed() {
			return NotAllowed, nil
		}
		result, err := e.sendUntilAnswered(ctx, order)
		if result != Conflict && result != Unanswered {
			return result, err
		}
		// Whether an unanswered order, this one or one before, was carried out is for the
		// engine to say.
		e.unsure()
		if last = err; last == nil {
			last = ErrFailed
		}
	}
	return Unanswered, last
}

// sendUntilAnswered sends an order again while it gets no answer, and while one before it may
// still be under way. The count of orders has at most one copy carried out.
func (e *engine) sendUntilAnswered(ctx context.Context, order Order) (Result, error) {
	wait := conflictPause
	for range orderTries {
		result, err := e.send(ctx, order)
		if result == Accepted || (result == Already && order.dropsAdapter()) {
			e.mu.Lock()
			e.taken++
			e.mu.Unlock()
		}
		if result != Conflict && result != Unanswered {
			return result, err
		}
		if pause.For(ctx, wait) != nil || wait > longConflictPause {
			return result, err
		}
		wait *= conflictGrowth
	}
	return Unanswered, ErrFailed
}

// fulfilled tells whether the engine's last word was what an order asks for.
func (e *engine) fulfilled(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	wanted := order.Operation == Load
	if order.Adapter != "" {
		return e.told[adapterKey{order.Model, order.Adapter}] == wanted
	}
	return e.told[adapterKey{model: order.Model}] == wanted
}

// send gives the order once, if this process may.
func (e *engine) send(ctx context.Context, order Order) (Result, error) {
	state := e.controller.Directory.Get(e.id)
	if state == nil {
		return Gone, ErrFailed
	}
	e.mu.Lock()
	order.Expected = e.taken
	e.lastOrder = time.Now()
	e.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	e.controller.noteOrder(e.id)
	term, err := e.controller.mayOrder()
	if err != nil {
		return Refused, err
	}
	if term != e.term {
		return Refused, ErrNotHolder
	}
	if !e.mayOrder() {
		return Refused, ErrWaiting
	}
	order.Holder, order.Term = e.controller.Holder, term
	result, err := e.controller.Engines.Order(callCtx, state.Upstream, order)
	if err != nil {
		e.doubt()
	}
	e.controller.logOrder(e.id, order, result, err)
	return result, err
}

// doubtTime is how long an engine that left an order unanswered is doubted.
const doubtTime = 800 * time.Millisecond

// doubt has other engines preferred for a while.
func (e *engine) doubt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.doubtUntil = time.Now().Add(doubtTime)
}

// unsure has the next order preceded by a report.
func (e *engine) unsure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = false
}

// sync learns how many orders the engine has taken, if that is not known.
func (e *engine) sync(ctx context.Context) error {
	e.mu.Lock()
	known, since := e.known, time.Since(e.lastOrder)
	e.mu.Unlock()
	if known {
		return nil
	}
	if since < reportLag {
		if err := pause.For(ctx, reportLag-since); err != nil {
			return err
		}
	}
	state := e.controller.Directory.Get(e.id)
	if state == nil {
		return ErrFailed
	}
	report, err := e.ask(ctx, state.Upstream)
	if err != nil {
		return err
	}
	if report.Busy {
		return ErrBusy
	}
	e.adopt(report)
	return nil
}

// adopt takes over what the engine says of itself.
func (e *engine) adopt(report Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.taken, e.known = report.OrderCount, true
	e.controller.Log.Info("engine told",
		zap.String("engine", e.id),
		zap.Int64("taken", report.OrderCount),
		zap.Any("models", report.Models),
		zap.Duration("lastOrder", time.Since(e.lastOrder)))
	e.adoptModels(report)
	reported := map[adapterKey]bool{}
	e.told = reported
	for _, holding := range report.Models {
		e.seen[holding.Model] = time.Now()
		reported[adapterKey{model: holding.Model}] = true
		for _, adapter := range holding.Adapters {
			reported[adapterKey{holding.Model, adapter}] = true
		}
	}
	for key := range reported {
		if key.adapter != "" && e.adapters[key] == nil {
			e.adapters[key] = &adapterState{ready: closed, phase: phaseLoaded}
		}
	}
	for key, state := range e.adapters {
		switch {
		case state.phase == phaseLoading || state.phase == phaseLeaving:
			// Its own job settles it.
		case reported[key]:
			state.phase = phaseLoaded
		default:
			delete(e.adapters, key)
		}
	}
}

// adoptModels notes where the platform's list differs from what the engine says. The caller
// holds the lock.
func (e *engine) adoptModels(report Report) {
	state := e.controller.Directory.Get(e.id)
	if state == nil {
		return
	}
	e.loaded, e.dropped = nil, nil
	for _, holding := range report.Models {
		if !holds(state.Models, holding.Model) {
			e.loaded = append(e.loaded, holding.Model)
		}
	}
	for _, holding := range state.Models {
		if !holds(report.Models, holding.Model) {
			e.dropped = append(e.dropped, holding.Model)
		}
	}
}

// learn asks the engine what it holds, if that is not known, in the background.
func (e *engine) learn() {
	select {
	case e.turn <- struct{}{}:
	default:
		return // A job has the turn and learns itself.
	}
	go func() {
		defer e.release()
		ctx, cancel := context.WithTimeout(e.controller.jobs(), pageTimeout)
		defer cancel()
		if e.sync(ctx) != nil {
			e.mu.Lock()
			e.coolUntil = time.Now().Add(learnPause)
			e.mu.Unlock()
			return
		}
		e.change(func() {})
	}()
}

// learnPause is how long an engine that did not say what it holds is left alone.
const learnPause = time.Second

// closed is a channel that is always ready.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// residency tells the peers what the engine holds.
func (e *engine) residency() fleet.Residency {
	e.mu.Lock()
	defer e.mu.Unlock()
	said := fleet.Residency{
		Adapters:  map[string][]string{},
		Withdrawn: slices.Clone(e.withdrawn),
		Loaded:    slices.Clone(e.loaded),
		Dropped:   slices.Clone(e.dropped),
		Sequence:  e.sequence,
		Busy:      e.ordering,
	}
	for key, state := range e.adapters {
		if state.phase == phaseLoaded {
			said.Adapters[key.model] = append(said.Adapters[key.model], key.adapter)
		}
	}
	for _, list := range said.Adapters {
		slices.Sort(list)
	}
	return said
}

// change alters the engine's state and has the peers told.
func (e *engine) change(alter func()) {
	e.mu.Lock()
	alter()
	e.mu.Unlock()
	e.controller.announce(e)
}
