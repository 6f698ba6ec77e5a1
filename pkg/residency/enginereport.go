package residency

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/logfield"
)

// reportCooldown is how long an engine that gave no report gets no orders.
const reportCooldown = time.Second

// needsReport reports whether the engine should be asked for a report.
func (e *engine) needsReport(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.orders.countKnown && e.takesOrders(now)
}

// maxPendingReports bounds how many engines are asked for a report at once in the background. A new holder
// of the order lease has to ask all engines; an order that needs a report asks for it directly.
const maxPendingReports = 64

// requestReports asks engines for reports in the background, up to maxPendingReports at once. The caller
// holds the lock.
func (c *Controller) requestReports() {
	for len(c.needReports) > 0 && c.pendingReports < maxPendingReports {
		next := c.needReports[0]
		c.needReports = c.needReports[1:]
		if c.engines[next.id] != next || !next.tryLockOrders() {
			continue // It is gone, or another goroutine sends it orders and asks for the report itself.
		}
		c.pendingReports++
		go func() {
			next.requestReport()
			c.mu.Lock()
			defer c.mu.Unlock()
			c.pendingReports--
			c.requestReports()
		}()
	}
}

// requestReport asks the engine for a report if its order count is not known. The caller holds the order
// lock, which requestReport releases.
func (e *engine) requestReport() {
	defer e.unlockOrders()
	ctx, cancel := context.WithTimeout(e.controller.backgroundContext(), adapterTimeout)
	defer cancel()
	if err := e.ensureOrderCount(ctx); err != nil {
		e.controller.Log.Info("engine gave no report", zap.String("engine", e.id), logfield.Error(err))
		e.mu.Lock()
		e.deferral.cooldownUntil = time.Now().Add(reportCooldown)
		e.mu.Unlock()
		return
	}
	e.update(func() {})
}

// applyReport replaces the controller's knowledge of the engine by its report.
func (e *engine) applyReport(report Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.count, e.orders.countKnown = report.OrderCount, true
	e.controller.Log.Info("engine report adopted",
		zap.String("engine", e.id),
		zap.Int64("taken", report.OrderCount),
		zap.Any("models", report.Models),
		zap.Duration("lastOrder", time.Since(e.orders.lastSent)))
	if state := e.controller.Directory.Get(e.id); state != nil {
		e.models.applyReport(report, state.Models, state.Revision)
	}
	e.orders.reported = map[adapterKey]bool{}
	for _, holding := range report.Models {
		e.orders.reported[adapterKey{model: holding.Model}] = true
		for _, adapter := range holding.Adapters {
			e.orders.reported[adapterKey{holding.Model, adapter}] = true
		}
	}
	e.applyReportedAdapters()
}

// applyReportedAdapters sets the phases of the adapters by the engine's last report. The caller holds the
// lock.
func (e *engine) applyReportedAdapters() {
	for key := range e.orders.reported {
		if key.adapter != "" && e.adapters[key] == nil {
			e.adapters[key] = &adapterState{ready: closedChannel, phase: phaseLoaded}
		}
	}
	for key, state := range e.adapters {
		switch {
		case state.phase == phaseLoading || state.phase == phaseUnloading:
			// The goroutine that loads or unloads the adapter sets its phase.
		case e.orders.reported[key]:
			state.phase = phaseLoaded
		default:
			delete(e.adapters, key)
		}
	}
}

// closedChannel is a closed channel, for adapters whose load has ended.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
