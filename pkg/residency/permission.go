package residency

import (
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// permission returns the term under which an order may be sent to the engine now.
func (e *engine) permission() (int64, error) {
	term, err := e.controller.Term()
	if err != nil {
		return 0, err
	}
	if term != e.term {
		return 0, ErrNotHolder
	}
	if !e.mayBegin() {
		return 0, ErrWaiting
	}
	return term, nil
}

// mayBegin reports whether the former holder's orders to the engine can no longer arrive.
func (e *engine) mayBegin() bool {
	return e.controller.NotBefore == nil || !time.Now().Before(e.controller.NotBefore(fleet.NameOf(e.id)))
}

// takesOrders reports whether the engine may be sent orders now: it has no cooldown after a failure, did not
// ask for a backoff, and mayBegin. The caller holds the lock.
func (e *engine) takesOrders(now time.Time) bool {
	_, inBackoff := e.controller.Directory.InBackoff(e.id)
	return !inBackoff && now.After(e.deferral.cooldownUntil) && e.mayBegin()
}

// enterTerm discards the state that was learned under another term.
func (c *Controller) enterTerm(term int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term == c.term {
		return
	}
	c.reset(term)
	c.Log.Info("order term began", zap.Int64("term", term))
}

// reset discards everything learned under an older term, because other boxes may have sent orders since. The
// caller holds the lock.
func (c *Controller) reset(term int64) {
	c.term = term
	c.engines = map[string]*engine{}
	c.missed = map[ModelKey]missedRequest{}
	c.loadEnds = map[ModelKey]time.Time{}
	c.uses = map[ModelUse]int{}
	c.storeRate = storeRate{}
}

// lastOrdersKept is how long the time of an engine's last order is kept. It is well above the time that a
// new holder waits for a former one.
const lastOrdersKept = time.Minute

// LastOrders returns the time since each engine, by name, was last sent an order, under any term. It
// determines how long the next holder waits.
func (c *Controller) LastOrders() map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := make(map[string]time.Duration, len(c.lastOrders))
	for id, at := range c.lastOrders {
		ages[id] = time.Since(at)
	}
	return ages
}

// recordOrder records that an engine is sent an order now. The key is the engine's name without its
// incarnation, because an order to an earlier incarnation may still arrive at the next one.
func (c *Controller) recordOrder(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for id, at := range c.lastOrders {
		if now.Sub(at) > lastOrdersKept {
			delete(c.lastOrders, id)
		}
	}
	c.lastOrders[fleet.NameOf(engine)] = now
}
