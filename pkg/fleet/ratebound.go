package fleet

import "time"

// RateBound is what bounds the requests of all boxes to an upstream, as far as this box knows.
type RateBound struct {
	// Cold means that it is cold, or may be.
	Cold bool
	// Limit is the limit that it names.
	Limit Limit
	// HeldUntil is until when this box must not ask to send there; zero, or past, and it may.
	HeldUntil time.Time
}

// Any reports whether there is a bound.
func (b RateBound) Any() bool { return b.Cold || b.Limit.Named() }

// RateBound returns what bounds the requests to an upstream, where the engines of its service are cold for a time after a start.
func (d *Directory) RateBound(id string, start time.Duration) RateBound {
	d.mu.RLock()
	defer d.mu.RUnlock()
	bound := RateBound{Cold: d.isCold(id, start), Limit: d.told[id].limit}
	if bound.Any() {
		bound.HeldUntil = d.heldBack[id]
	}
	return bound
}

// HoldBack has this box send a bounded upstream nothing until a time, as its keeper told.
func (d *Directory) HoldBack(id string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heldBack[id] = until
}

// expireHeldBack forgets what is over. The caller holds the lock.
func (d *Directory) expireHeldBack(now time.Time) {
	for id, until := range d.heldBack {
		if now.After(until) {
			delete(d.heldBack, id)
		}
	}
}
