package residency

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

const (
	// orderTimeout is after how long an order counts as unanswered.
	orderTimeout = 400 * time.Millisecond
	// reportTimeout bounds one question for a report.
	reportTimeout = 500 * time.Millisecond
	// reportLag is how long an engine's report may lag behind an order.
	reportLag = 600 * time.Millisecond
	// orderTries bounds how often an order is sent with one expected count.
	orderTries = 6
	// orderRounds is how often an order is tried, each time with a newly learned count.
	orderRounds = 2
	// conflictPause is the first wait after a conflict.
	conflictPause = 8 * time.Millisecond
	// conflictGrowth is the factor from one wait to the next.
	conflictGrowth = 3
	// longConflictPause is the wait beyond which an order is not sent again with the same count.
	longConflictPause = 600 * time.Millisecond
	// avoidTime is how long other engines are preferred to one that failed an order.
	avoidTime = 800 * time.Millisecond
)

// orderState is what is known of the orders that an engine has taken.
type orderState struct {
	// count is the number of orders that the engine has taken.
	count int64
	// known reports that count is certain: every order since the engine's report was answered.
	known bool
	// lastSent is when an order was last sent.
	lastSent time.Time
	// reported is what the engine held by its last report; models have an empty adapter.
	reported map[adapterKey]bool
}

// fulfilled reports whether the engine's last report was what an order asks for.
func (s *orderState) fulfilled(order Order) bool {
	wanted := order.Operation == Load
	return s.reported[adapterKey{order.Model, order.Adapter}] == wanted
}

// lockOrders waits until no other job gives the engine orders.
func (e *engine) lockOrders(ctx context.Context) error {
	select {
	case e.orderLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// lockOrdersNow reports whether no other job gives the engine orders, and keeps others from it.
func (e *engine) lockOrdersNow() bool {
	select {
	case e.orderLock <- struct{}{}:
		return true
	default:
		return false
	}
}

func (e *engine) unlockOrders() { <-e.orderLock }

// giveOrder gives one order until the engine has answered it, or reports what it asks for. allowed
// reports whether the order fits what the engine holds by its latest report; nil always allows it.
// The caller holds the order lock.
func (e *engine) giveOrder(ctx context.Context, order Order, allowed func() bool) (Result, error) {
	var last error
	for range orderRounds {
		if err := e.learnCount(ctx); err != nil {
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
		// This order or one before it may have been carried out: only a report settles it.
		e.forgetCount()
		if last = err; last == nil {
			last = ErrFailed
		}
	}
	return Unanswered, last
}

func (e *engine) fulfilled(order Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.fulfilled(order)
}

// forgetCount has the next order preceded by a report.
func (e *engine) forgetCount() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.known = false
}

// sendUntilAnswered sends an order again while it gets no answer, and while an order before it may
// still be under way. Since the expected count stays the same, at most one copy is carried out.
func (e *engine) sendUntilAnswered(ctx context.Context, order Order) (Result, error) {
	wait := conflictPause
	for range orderTries {
		result, err := e.send(ctx, order)
		if result == Accepted || (result == Already && order.dropsAdapter()) {
			e.mu.Lock()
			e.orders.count++
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

// send gives the order once, if this box may.
func (e *engine) send(ctx context.Context, order Order) (Result, error) {
	state := e.controller.Directory.Get(e.id)
	if state == nil {
		return Gone, ErrFailed
	}
	to, err := e.controller.Directory.Begin(state.Upstream)
	if err != nil {
		return withheldResult(err), err
	}
	defer to.End()
	e.mu.Lock()
	order.ExpectedCount = e.orders.count
	e.orders.lastSent = time.Now()
	e.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	e.controller.noteOrder(e.id)
	term, err := e.permission()
	if err != nil {
		return Refused, err
	}
	order.Holder, order.Term = e.controller.Holder, term
	result, err := e.controller.Engines.Order(callCtx, to, order)
	if err != nil {
		e.avoid()
	}
	e.controller.logOrder(e.id, order, result, err)
	return result, err
}

// withheldResult is what becomes of an order that was not sent: an engine that leaves, or whose hall is evacuated, gets no more of them;
// one that rests may get it later.
func withheldResult(err error) Result {
	if errors.Is(err, fleet.ErrLeaving) || errors.Is(err, fleet.ErrEvacuated) {
		return Gone
	}
	return Conflict
}

// avoid has other engines preferred for avoidTime, since this one failed an order: it gave no answer
// or one that is an error.
func (e *engine) avoid() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.backoff.avoidUntil = time.Now().Add(avoidTime)
}

// learnCount asks the engine for a report if its count of orders is not known.
func (e *engine) learnCount(ctx context.Context) error {
	e.mu.Lock()
	known, since := e.orders.known, time.Since(e.orders.lastSent)
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
	report, err := e.askReport(ctx, state.Upstream)
	if err != nil {
		return err
	}
	if report.Busy {
		return ErrBusy
	}
	e.adopt(report)
	return nil
}

func (e *engine) askReport(ctx context.Context, of *fleet.Upstream) (Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	from, err := e.controller.Directory.Begin(of)
	if err != nil {
		return Report{}, err
	}
	defer from.End()
	return e.controller.Engines.Report(callCtx, from)
}

func (c *Controller) logOrder(engine string, order Order, result Result, err error) {
	c.Log.Info("order",
		zap.String("engine", engine),
		zap.String("operation", string(order.Operation)),
		zap.String("model", order.Model),
		zap.String("adapter", order.Adapter),
		zap.Int64("expected", order.ExpectedCount),
		zap.Int64("term", order.Term),
		zap.Stringer("result", result),
		logfield.Error(err))
}
