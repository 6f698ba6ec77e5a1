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
	// orderTimeout is the time after which an order counts as unanswered.
	orderTimeout = 400 * time.Millisecond
	// reportTimeout bounds one call for a report.
	reportTimeout = 500 * time.Millisecond
	// reportLag is how long an engine's report may lag behind an order.
	reportLag = 600 * time.Millisecond
	// maxSendAttempts bounds how often an order is sent with the same expected count.
	maxSendAttempts = 6
	// orderRounds is how often an order is tried, each time with a newly read count.
	orderRounds = 2
	// conflictBackoff is the wait before the first resend.
	conflictBackoff = 8 * time.Millisecond
	// conflictBackoffFactor is the factor from one wait to the next.
	conflictBackoffFactor = 3
	// longConflictBackoff is the wait beyond which an order is not sent again with the same count.
	longConflictBackoff = 600 * time.Millisecond
	// avoidTime is how long other engines are preferred to one that failed an order.
	avoidTime = 800 * time.Millisecond
)

// orderState holds what the controller knows about the orders that an engine has taken.
type orderState struct {
	// count is the number of orders that the engine has taken.
	count int64
	// countKnown reports that count is certain: every order since the engine's report was answered.
	countKnown bool
	// lastSent is when an order was last sent.
	lastSent time.Time
	// reported is what the engine held by its last report; models have an empty adapter.
	reported map[adapterKey]bool
}

// fulfilled reports whether the engine's last report already shows what the order asks for.
func (s *orderState) fulfilled(order Order) bool {
	wanted := order.Operation == Load
	return s.reported[adapterKey{order.Model, order.Adapter}] == wanted
}

// lockOrders waits until no other goroutine sends orders to the engine, and locks it for the caller.
func (e *engine) lockOrders(ctx context.Context) error {
	select {
	case e.orderLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryLockOrders is lockOrders without waiting. It reports whether the caller got the lock.
func (e *engine) tryLockOrders() bool {
	select {
	case e.orderLock <- struct{}{}:
		return true
	default:
		return false
	}
}

func (e *engine) unlockOrders() { <-e.orderLock }

// giveOrder sends an order until the engine has answered it or reports the state that it asks for. allowed
// reports whether the order fits what the engine holds by its latest report; nil allows every order. The
// caller holds the order lock.
func (e *engine) giveOrder(ctx context.Context, order Order, allowed func() bool) (Result, error) {
	var last error
	for range orderRounds {
		if err := e.ensureOrderCount(ctx); err != nil {
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
		// This order or an earlier one may have been carried out: only a report can tell.
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

// forgetCount makes the next order wait for a new report.
func (e *engine) forgetCount() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.countKnown = false
}

// sendUntilAnswered resends an order while the engine does not answer, or an earlier order may still be
// under way. Because the expected count stays the same, the engine carries out at most one of the copies.
func (e *engine) sendUntilAnswered(ctx context.Context, order Order) (Result, error) {
	wait := conflictBackoff
	for range maxSendAttempts {
		result, err := e.send(ctx, order)
		if result == Accepted || (result == Already && order.unloadsAdapter()) {
			e.mu.Lock()
			e.orders.count++
			e.mu.Unlock()
		}
		if result != Conflict && result != Unanswered {
			return result, err
		}
		if pause.For(ctx, wait) != nil || wait > longConflictBackoff {
			return result, err
		}
		wait *= conflictBackoffFactor
	}
	return Unanswered, ErrFailed
}

// send sends the order once, if this box has the permission.
func (e *engine) send(ctx context.Context, order Order) (Result, error) {
	state := e.controller.Directory.Get(e.id)
	if state == nil {
		return Gone, ErrFailed
	}
	to, err := e.controller.Directory.Begin(state.Upstream)
	if err != nil {
		return unsentResult(err), err
	}
	defer to.End()
	e.mu.Lock()
	order.ExpectedCount = e.orders.count
	e.orders.lastSent = time.Now()
	e.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	e.controller.recordOrder(e.id)
	term, err := e.permission()
	if err != nil {
		return Refused, err
	}
	order.Holder, order.Term = e.controller.Holder, term
	result, err := e.controller.Engines.Order(callCtx, to, order)
	if err != nil {
		e.preferOthers()
	}
	e.controller.logOrder(e.id, order, result, err)
	return result, err
}

// unsentResult returns the result of an order that was not sent: Gone for an engine that leaves or whose
// hall is evacuated, as it gets no more orders; otherwise Conflict, as an engine that asked for a backoff
// may get the order later.
func unsentResult(err error) Result {
	if errors.Is(err, fleet.ErrLeaving) || errors.Is(err, fleet.ErrEvacuated) {
		return Gone
	}
	return Conflict
}

// preferOthers makes the controller prefer other engines for avoidTime, because this one failed an order: it
// gave no answer, or an error.
func (e *engine) preferOthers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deferral.avoidUntil = time.Now().Add(avoidTime)
}

// ensureOrderCount asks the engine for a report if its order count is not known.
func (e *engine) ensureOrderCount(ctx context.Context) error {
	e.mu.Lock()
	known, since := e.orders.countKnown, time.Since(e.orders.lastSent)
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
	e.applyReport(report)
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
