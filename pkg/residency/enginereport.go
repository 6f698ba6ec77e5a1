package residency

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/logfield"
)

// learnCooldown is how long an engine that gave no report is left alone.
const learnCooldown = time.Second

// shouldLearn reports whether the engine should be asked for a report.
func (e *engine) shouldLearn(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.orders.known && e.takesOrders(now)
}

// maxLearning is how many engines are asked for reports at once that nobody waits for. A new holder of the order lease has to ask all of
// them; an order that needs a report asks for it itself.
const maxLearning = 64

// learnNext asks engines for reports in the background, as many at once as it may. The caller holds the lock.
func (c *Controller) learnNext() {
	for len(c.toLearn) > 0 && c.learning < maxLearning {
		next := c.toLearn[0]
		c.toLearn = c.toLearn[1:]
		if c.engines[next.id] != next || !next.lockOrdersNow() {
			continue // It is gone, or another job gives orders and asks itself.
		}
		c.learning++
		go func() {
			next.learn()
			c.mu.Lock()
			defer c.mu.Unlock()
			c.learning--
			c.learnNext()
		}()
	}
}

// learn asks the engine for a report, if its count of orders is not known. The caller holds the order lock, which learn gives up.
func (e *engine) learn() {
	defer e.unlockOrders()
	ctx, cancel := context.WithTimeout(e.controller.jobs(), adapterTimeout)
	defer cancel()
	if err := e.learnCount(ctx); err != nil {
		e.controller.Log.Info("engine gave no report", zap.String("engine", e.id), logfield.Error(err))
		e.mu.Lock()
		e.backoff.cooldownUntil = time.Now().Add(learnCooldown)
		e.mu.Unlock()
		return
	}
	e.update(func() {})
}

// adopt takes an engine's report over.
func (e *engine) adopt(report Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.count, e.orders.known = report.OrderCount, true
	e.controller.Log.Info("engine report adopted",
		zap.String("engine", e.id),
		zap.Int64("taken", report.OrderCount),
		zap.Any("models", report.Models),
		zap.Duration("lastOrder", time.Since(e.orders.lastSent)))
	if state := e.controller.Directory.Get(e.id); state != nil {
		e.models.adopt(report, state.Models, state.Revision)
	}
	e.orders.reported = map[adapterKey]bool{}
	for _, holding := range report.Models {
		e.orders.reported[adapterKey{model: holding.Model}] = true
		for _, adapter := range holding.Adapters {
			e.orders.reported[adapterKey{holding.Model, adapter}] = true
		}
	}
	e.adoptAdapters()
}

// adoptAdapters settles the adapters by the engine's last report. The caller holds the lock.
func (e *engine) adoptAdapters() {
	for key := range e.orders.reported {
		if key.adapter != "" && e.adapters[key] == nil {
			e.adapters[key] = &adapterState{ready: closed, phase: phaseLoaded}
		}
	}
	for key, state := range e.adapters {
		switch {
		case state.phase == phaseLoading || state.phase == phaseUnloading:
			// The job that loads or unloads it sets its phase.
		case e.orders.reported[key]:
			state.phase = phaseLoaded
		default:
			delete(e.adapters, key)
		}
	}
}

// closed is a channel that is always ready.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
