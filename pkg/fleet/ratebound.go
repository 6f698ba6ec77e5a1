package fleet

import "time"

// RateBound describes what bounds the rate of all boxes' requests to an upstream, by what this box knows.
type RateBound struct {
	// Cold means that the upstream is cold, or may be.
	Cold bool
	// Limit is the rate limit that the upstream names.
	Limit Limit
	// DeferredUntil is until when this box must not ask to send there; it may ask if the time is zero or
	// has passed.
	DeferredUntil time.Time
}

// Any reports whether the rate is bounded.
func (b RateBound) Any() bool { return b.Cold || b.Limit.Named() }

// RateBound returns what bounds the rate of requests to an upstream. coldStart is how long engines of
// its service are cold after a start.
func (d *Directory) RateBound(id string, coldStart time.Duration) RateBound {
	d.mu.RLock()
	defer d.mu.RUnlock()
	bound := RateBound{Cold: d.isCold(id, coldStart), Limit: d.notices[id].limit}
	if bound.Any() {
		bound.DeferredUntil = d.deferredUntil[id]
	}
	return bound
}

// DeferUntil defers this box's requests to a rate-bounded upstream until the time that the upstream's
// keeper named. The keeper is the box that grants the requests of all boxes to it.
func (d *Directory) DeferUntil(id string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deferredUntil[id] = until
}

// expireDeferred drops the deferrals that are over. The caller holds the lock.
func (d *Directory) expireDeferred(now time.Time) {
	for id, until := range d.deferredUntil {
		if now.After(until) {
			delete(d.deferredUntil, id)
		}
	}
}
