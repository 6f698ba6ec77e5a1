package fleet

import "time"

// This file has the limits that upstreams name in their answers. A limit lasts for as long as answers name it: the first one that does not,
// to a request sent after the latest one that did, ends it.

// Limit is how many requests a second an upstream takes from all boxes together.
type Limit struct {
	PerSecond float64
	// At is when the latest answer named it; zero if the upstream names none.
	At time.Time
}

// Named reports whether there is a limit.
func (l Limit) Named() bool { return !l.At.IsZero() }

// Limit returns the limit that an upstream names, as far as this box knows.
func (d *Directory) Limit(id string) Limit {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.told[id].limit
}

// takeLimit takes what an answer tells of the limit, and returns what is new of that. The caller holds the lock.
func (t *told) takeLimit(now time.Time, n Notice) (named *float64, ended bool) {
	before := t.limit
	switch {
	case n.Limit != nil:
		t.limit = Limit{PerSecond: *n.Limit, At: now}
		if before.Named() && before.PerSecond == *n.Limit {
			return nil, false
		}
		return n.Limit, false
	case n.Unlimited && before.Named() && before.At.Before(n.begun):
		t.limit = Limit{}
		return nil, true
	}
	return nil, false
}
