package fleet

import "time"

// mark names what counts as unavailable for a while: a model without an adapter, a model with an
// adapter, or (with neither) the upstream itself.
type mark struct {
	upstream, model, adapter string
}

const (
	// missTime is how long a model or adapter counts as missing that an engine answered to lack.
	missTime = 400 * time.Millisecond
	// goneTime is how long an upstream gets nothing at whose address another one answered.
	goneTime = 5 * time.Second
	// unreachableTime is how long an upstream that took no connection gets nothing the first time;
	// it doubles with each further time in a row.
	unreachableTime = 500 * time.Millisecond
	// longUnreachableTime bounds it.
	longUnreachableTime = 2 * time.Second
	// maxDoublings bounds the exponent, so that the shift can't overflow.
	// More than enough to reach longUnreachableTime, which two doublings reach.
	maxDoublings = 8
)

// MarkMissing notes that an engine answered that it lacks a model or adapter; with no model, that
// another upstream answered at its address.
func (d *Directory) MarkMissing(upstream, model, adapter string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := time.Now().Add(missTime)
	if model == "" {
		until = time.Now().Add(goneTime)
	}
	d.marks[mark{upstream, model, adapter}] = until
}

// MarkUnreachable notes that an upstream took no connection. While it is marked already, the call
// changes nothing: it is about one of several attempts that were under way at once.
func (d *Directory) MarkUnreachable(upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := mark{upstream: upstream}
	if time.Now().Before(d.marks[key]) {
		return
	}
	span := min(longUnreachableTime, unreachableTime<<min(d.refusals[upstream], maxDoublings))
	d.refusals[upstream]++
	d.marks[key] = time.Now().Add(span)
}

// MarkReachable notes that an upstream answered: the next time that it takes no connection counts
// as the first one. A mark that is set stays until it ends.
func (d *Directory) MarkReachable(upstream string) {
	d.mu.RLock()
	refused := d.refusals[upstream] > 0
	d.mu.RUnlock()
	if !refused {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusals[upstream] > 0 {
		delete(d.refusals, upstream)
		d.noteBack(upstream)
	}
}

// ExpireMarks drops the marks that have ended, and what upstreams told that are gone. The caller calls it regularly, since that of
// upstreams that are gone is dropped nowhere else.
func (d *Directory) ExpireMarks() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for key, until := range d.marks {
		if now.After(until) {
			delete(d.marks, key)
		}
	}
	d.expireTold(now)
	d.expireCold(now)
	d.expireHeldBack(now)
}
