package fleet

import "time"

// miss is something that a back end lacks; with no model, the back end itself is left alone.
type miss struct {
	backend, model, adapter string
}

const (
	// missTime is how long an engine's word that it lacks something is believed.
	missTime = 400 * time.Millisecond
	// unreachableTime is how long a back end that took no connection is left alone the first time;
	// it doubles with each further time up to longUnreachableTime.
	unreachableTime     = 500 * time.Millisecond
	longUnreachableTime = 2 * time.Second
	// goneTime is how long a back end that is not at its address any more is left alone.
	goneTime = 5 * time.Second
)

// MarkMissing notes that an engine said it lacks a model or adapter (or, with no model, that another
// back end has its address).
func (d *Directory) MarkMissing(backend, model, adapter string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := time.Now().Add(missTime)
	if model == "" {
		until = time.Now().Add(goneTime)
	}
	d.misses[miss{backend, model, adapter}] = until
}

// MarkUnreachable notes that a back end took no connection.
func (d *Directory) MarkUnreachable(backend string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := miss{backend: backend}
	if time.Now().Before(d.misses[key]) {
		return // One of several sendings that were under way at once.
	}
	span := min(longUnreachableTime, unreachableTime<<min(d.unreachable[backend], maxDoublings))
	d.unreachable[backend]++
	d.misses[key] = time.Now().Add(span)
}

// maxDoublings is more than enough to reach longUnreachableTime.
const maxDoublings = 8

// MarkReachable notes that a back end answered.
func (d *Directory) MarkReachable(backend string) {
	d.mu.RLock()
	known := d.unreachable[backend] > 0
	d.mu.RUnlock()
	if !known {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unreachable, backend)
}

// Missing tells whether an engine said lately that it lacks what a request needs.
func (d *Directory) Missing(backend, model, adapter string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if len(d.misses) == 0 {
		return false
	}
	now := time.Now()
	return now.Before(d.misses[miss{backend: backend}]) || now.Before(d.misses[miss{backend, model, adapter}])
}

// ForgetExpired drops words of misses that are no longer believed. Call it now and then.
func (d *Directory) ForgetExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for key, until := range d.misses {
		if now.After(until) {
			delete(d.misses, key)
		}
	}
}
