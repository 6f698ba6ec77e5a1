package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minSilentUpstreams is how many upstreams must fail in a row, with nothing received from any upstream between, before
	// this box suspects its own links.
	minSilentUpstreams = 2
	// linkFailureWindow is the time within which these failures count.
	linkFailureWindow = 3 * time.Second
	// contactResolution is the precision of the time of the latest contact. It saves a write for each event of each stream.
	contactResolution = 5 * time.Millisecond
)

// Links tracks whether this box reaches upstreams over connections of its own. A single upstream or hall that fails
// concerns the directory and Reach: there, other upstreams answer meanwhile.
//
// The links are suspected once minSilentUpstreams upstreams failed within linkFailureWindow and nothing was received
// from any upstream since the first of these failures. Either the upstreams are down or this box is cut off from them.
// Any contact ends the suspicion. The zero value suspects nothing; it is safe for concurrent use.
type Links struct {
	// OnSuspected is called when the links turn suspected, with the number of upstreams that failed and the time since the
	// latest contact. OnContact is called when something is received again. Both may be nil.
	OnSuspected func(upstreams int, silence time.Duration)
	OnContact   func(after time.Duration)

	contact atomic.Pointer[time.Time]
	// failed is set while there are failures, so that contacts take no lock otherwise.
	failed atomic.Bool

	mu sync.Mutex
	// failures holds when each upstream last failed since the latest contact.
	failures map[string]time.Time
	// suspectedAt is when the links turned suspected; zero if they are not.
	suspectedAt time.Time
}

// RecordFailure records that an attempt at an upstream found no connection, or lost it without an answer.
func (l *Links) RecordFailure(upstream string) {
	if count := l.recordFailure(upstream, time.Now()); count > 0 && l.OnSuspected != nil {
		l.OnSuspected(count, l.Silence())
	}
}

// recordFailure returns how many upstreams failed if that makes the links suspected, and 0 otherwise.
func (l *Links) recordFailure(upstream string, now time.Time) (suspected int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures == nil {
		l.failures = map[string]time.Time{}
	}
	for id, at := range l.failures {
		if now.Sub(at) > linkFailureWindow {
			delete(l.failures, id)
		}
	}
	l.failures[upstream] = now
	l.failed.Store(true)
	if len(l.failures) < minSilentUpstreams || !l.suspectedAt.IsZero() {
		return 0
	}
	l.suspectedAt = now
	return len(l.failures)
}

// RecordContact records that something was received from an upstream over a connection of this box's own.
func (l *Links) RecordContact() {
	now := time.Now()
	if last := l.contact.Load(); last == nil || now.Sub(*last) >= contactResolution {
		l.contact.Store(&now)
	}
	if !l.failed.Load() {
		return
	}
	l.mu.Lock()
	suspectedAt := l.suspectedAt
	l.suspectedAt = time.Time{}
	clear(l.failures)
	l.failed.Store(false)
	l.mu.Unlock()
	if !suspectedAt.IsZero() && l.OnContact != nil {
		l.OnContact(now.Sub(suspectedAt))
	}
}

// Silence returns the time since the latest contact; 0 if there was none yet.
func (l *Links) Silence() time.Duration {
	if last := l.contact.Load(); last != nil {
		return time.Since(*last)
	}
	return 0
}

// Suspected reports whether the links are suspected.
func (l *Links) Suspected() bool {
	if !l.failed.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.suspectedAt.IsZero()
}
