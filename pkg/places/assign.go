package places

import (
	"math"
	"slices"
	"time"
)

// Grant is a place that an ask got.
type Grant struct {
	ID       uint64
	Upstream string
}

// Assign gives the free places to the asks that wait, in their order.
func (a *Account) Assign(now time.Time) []Grant {
	a.dropLost(now)
	if len(a.waiting) == 0 || !a.anyFree() {
		return nil
	}
	slices.SortFunc(a.waiting, func(x, y *waiter) int {
		if a.before(x, y, now, a.mean) {
			return -1
		}
		return 1
	})
	var grants []Grant
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		if !a.anyFree() {
			return false
		}
		upstream, ok := a.best(w, now)
		if !ok {
			return false
		}
		a.take(w, upstream, now)
		grants = append(grants, Grant{ID: w.ask.ID, Upstream: upstream})
		return true
	})
	return grants
}

// anyFree reports whether any place is free.
func (a *Account) anyFree() bool {
	return slices.ContainsFunc(a.usable, func(c candidate) bool { return c.hasFree() })
}

// dropLost drops the asks that were not sent again.
func (a *Account) dropLost(now time.Time) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool { return now.Sub(w.asked) > lostAfter })
}

// take takes a place for an ask.
func (a *Account) take(w *waiter, upstream string, now time.Time) {
	until := now.Add(maxTimeLeft)
	if !w.deadline.IsZero() {
		until = w.deadline
	}
	a.records[upstream].held[w.ask.ID] = place{taken: now, until: until.Add(returnSlack)}
	a.taken[w.ask.ID] = upstream
}

// best returns the upstream with a free place where an ask is probably answered first.
func (a *Account) best(w *waiter, now time.Time) (id string, ok bool) {
	least := time.Duration(math.MaxInt64)
	rested := a.anyRested(&w.ask, now)
	for n := range a.usable {
		c := &a.usable[n]
		if !c.hasFree() || !c.mayGet(&w.ask, rested, now) {
			continue
		}
		held, slots := float64(len(c.held)), c.slots()
		crowd := 1 + nearlyFull*min(1, held/slots) + max(0, held+1-slots)/slots
		span := time.Duration(float64(a.work(c, now)) * crowd / c.health)
		if c.Hall != w.ask.Hall {
			span += hallWay
		}
		if span < least {
			id, ok, least = c.ID, true, span
		}
	}
	return id, ok
}
