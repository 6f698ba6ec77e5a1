package fleet

import "time"

// mark identifies what counts as unavailable for a while: a model without an adapter, a model with an
// adapter, or (with neither) the upstream itself.
type mark struct {
	upstream, model, adapter string
}

const (
	// missingTTL is how long a model or adapter counts as missing after an engine answered that it
	// lacks it.
	missingTTL = 400 * time.Millisecond
	// replacedTTL is how long nothing is sent to an upstream after another one answered at its address.
	replacedTTL = 5 * time.Second
	// unreachableBackoff is how long nothing is sent to an upstream after its first failed connection.
	// It doubles with each further failure in a row.
	unreachableBackoff = 500 * time.Millisecond
	// maxUnreachableBackoff bounds the doubled backoff.
	maxUnreachableBackoff = 2 * time.Second
	// maxDoublings bounds the exponent, so that the shift can't overflow. It is more than enough: two
	// doublings reach maxUnreachableBackoff.
	maxDoublings = 8
)

// MarkMissing records that an engine answered that it lacks a model or adapter; with no model, that
// another upstream answered at its address.
func (d *Directory) MarkMissing(upstream, model, adapter string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := time.Now().Add(missingTTL)
	if model == "" {
		until = time.Now().Add(replacedTTL)
	}
	d.marks[mark{upstream, model, adapter}] = until
}

// MarkUnreachable records that no connection to an upstream could be made. While the upstream is marked
// already, the call changes nothing: it is about one of several concurrent attempts.
func (d *Directory) MarkUnreachable(upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := mark{upstream: upstream}
	if time.Now().Before(d.marks[key]) {
		return
	}
	span := min(maxUnreachableBackoff, unreachableBackoff<<min(d.connectFailures[upstream], maxDoublings))
	d.connectFailures[upstream]++
	d.marks[key] = time.Now().Add(span)
}

// ForgetUnreachable drops the records of failed connections. A box whose own links are lost calls it: its failures
// show nothing about upstreams.
func (d *Directory) ForgetUnreachable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for upstream := range d.connectFailures {
		delete(d.marks, mark{upstream: upstream})
	}
	clear(d.connectFailures)
}

// MarkReachable records that an upstream answered: its next failed connection counts as the first one.
// A mark that is set stays until it expires.
func (d *Directory) MarkReachable(upstream string) {
	d.mu.RLock()
	refused := d.connectFailures[upstream] > 0
	d.mu.RUnlock()
	if !refused {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connectFailures[upstream] > 0 {
		delete(d.connectFailures, upstream)
		d.recordReturn(upstream)
	}
}

// ExpireMarks drops expired marks and notices, and cold records and deferrals that are over. The caller
// must call it regularly, since marks and notices of upstreams that are gone are dropped nowhere else.
func (d *Directory) ExpireMarks() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for key, until := range d.marks {
		if now.After(until) {
			delete(d.marks, key)
		}
	}
	d.expireNotices(now)
	d.expireCold(now)
	d.expireDeferred(now)
}
