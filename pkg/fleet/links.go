package fleet

import (
	"maps"
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
	// minProbes is how many probes in a row must reach upstreams before lost links count as regained.
	minProbes = 2
	// tunnelPause is how long no tunnel is tried after other boxes did not reach an upstream either, while the links are
	// not lost.
	tunnelPause = 500 * time.Millisecond
	// tunnelPreference is how long an upstream that this box did not reach, and a tunnel did, is reached through tunnels
	// first.
	tunnelPreference = time.Second
)

// Links tracks whether this box reaches upstreams over connections of its own. A single upstream or hall that fails
// concerns the directory and Reach: there, other upstreams answer meanwhile.
//
//	state      begins                                                     ends
//	suspected  minSilentUpstreams upstreams failed within                 with any contact
//	           linkFailureWindow, and none was in contact since the first
//	lost       suspected, and another box connected to an upstream since  after minProbes successful probes in a row
//
// Suspected links mean that either the upstreams are down or this box is cut off from them; that another box connects
// decides it. While the links are lost, this box connects through other boxes. All state is this box's own and is lost
// with it. The zero value suspects nothing; it is safe for concurrent use.
type Links struct {
	// OnSuspected is called when the links turn suspected, with the number of upstreams that failed and the time since the
	// latest contact, and OnContact when that ends. OnLost is called when they turn lost, and OnRegained when that ends.
	// Each may be nil.
	OnSuspected func(upstreams int, silence time.Duration)
	OnContact   func(after time.Duration)
	OnLost      func(silence time.Duration)
	OnRegained  func(after time.Duration)

	contact atomic.Pointer[time.Time]
	// failed is set while there are failures, so that contacts take no lock otherwise.
	failed atomic.Bool
	// hasPreferred is set once preferred was not empty.
	hasPreferred atomic.Bool

	mu sync.Mutex
	// failures holds when each upstream last failed since the latest contact, and carried means that another box connected
	// to an upstream since the first of them.
	failures map[string]time.Time
	carried  bool
	// suspectedAt and lostAt are when the links turned suspected and lost; zero if they are not.
	suspectedAt, lostAt time.Time
	// probes counts the successful probes in a row.
	probes int
	// tunnelsFrom is when a tunnel may be tried again.
	tunnelsFrom time.Time
	// preferred holds until when upstreams are reached through tunnels first.
	preferred map[string]time.Time
}

// RecordFailure records that an attempt at an upstream over a connection of this box's own found no connection, or lost
// it without an answer.
func (l *Links) RecordFailure(upstream string) {
	count, lost := l.recordFailure(upstream, time.Now())
	if count > 0 && l.OnSuspected != nil {
		l.OnSuspected(count, l.Silence())
	}
	if lost && l.OnLost != nil {
		l.OnLost(l.Silence())
	}
}

// recordFailure returns how many upstreams failed if that makes the links suspected, and 0 otherwise.
func (l *Links) recordFailure(upstream string, now time.Time) (suspected int, lost bool) {
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
	if len(l.failures) == 0 {
		l.carried = false
	}
	l.failures[upstream] = now
	l.failed.Store(true)
	if len(l.failures) < minSilentUpstreams || !l.suspectedAt.IsZero() {
		return 0, false
	}
	l.suspectedAt = now
	return len(l.failures), l.setLost(now)
}

// setLost makes suspected links lost if another box connected to an upstream, and reports whether they turned lost. The
// caller holds the lock.
func (l *Links) setLost(now time.Time) bool {
	if l.suspectedAt.IsZero() || !l.carried || !l.lostAt.IsZero() {
		return false
	}
	l.lostAt, l.probes = now, 0
	return true
}

// RecordCarried records that another box connected to an upstream for this one.
func (l *Links) RecordCarried() {
	l.mu.Lock()
	l.tunnelsFrom = time.Time{}
	l.carried = l.carried || len(l.failures) > 0
	lost := l.setLost(time.Now())
	l.mu.Unlock()
	if lost && l.OnLost != nil {
		l.OnLost(l.Silence())
	}
}

// RecordReachedByTunnel records that a tunnel reached an upstream to which this box found no connection.
func (l *Links) RecordReachedByTunnel(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(l.preferred, func(_ string, until time.Time) bool { return !now.Before(until) })
	if l.preferred == nil {
		l.preferred = map[string]time.Time{}
	}
	l.preferred[upstream] = now.Add(tunnelPreference)
	l.hasPreferred.Store(true)
}

// PrefersTunnel reports whether an upstream is to be reached through a tunnel first.
func (l *Links) PrefersTunnel(upstream string) bool {
	if !l.hasPreferred.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.preferred[upstream])
}

// UsesTunnels reports whether the links are lost or any upstream is reached through tunnels first.
func (l *Links) UsesTunnels() bool {
	if l.Lost() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, until := range l.preferred {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// RecordNotCarried records that no other box connected to an upstream for this one.
func (l *Links) RecordNotCarried() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tunnelsFrom = time.Now().Add(tunnelPause)
}

// RecordContact records that something was received from an upstream over a connection of this box's own. It does not
// end lost links: an open connection may live on while no new one can be made.
func (l *Links) RecordContact() {
	now := time.Now()
	if last := l.contact.Load(); last == nil || now.Sub(*last) >= contactResolution {
		l.contact.Store(&now)
	}
	if !l.failed.Load() {
		return
	}
	l.mu.Lock()
	if !l.lostAt.IsZero() {
		l.mu.Unlock()
		return
	}
	suspectedAt := l.suspectedAt
	l.clear()
	l.mu.Unlock()
	if !suspectedAt.IsZero() && l.OnContact != nil {
		l.OnContact(now.Sub(suspectedAt))
	}
}

// clear forgets all failures. The caller holds the lock.
func (l *Links) clear() {
	clear(l.failures)
	l.carried, l.suspectedAt, l.lostAt = false, time.Time{}, time.Time{}
	l.failed.Store(false)
}

// RecordProbe records whether a probe of lost links reached an upstream.
func (l *Links) RecordProbe(reached bool) {
	l.mu.Lock()
	l.probes++
	if !reached {
		l.probes = 0
	}
	lostAt := l.lostAt
	regained := !lostAt.IsZero() && l.probes >= minProbes
	if regained {
		l.clear()
	}
	l.mu.Unlock()
	if regained && l.OnRegained != nil {
		l.OnRegained(time.Since(lostAt))
	}
}

// Silence returns the time since the latest contact; 0 if there was none yet.
func (l *Links) Silence() time.Duration {
	if last := l.contact.Load(); last != nil {
		return time.Since(*last)
	}
	return 0
}

// ContactSince reports whether anything was received from an upstream after a time, to contactResolution.
func (l *Links) ContactSince(since time.Time) bool {
	last := l.contact.Load()
	return last != nil && last.After(since)
}

// Suspected reports whether the links are suspected or lost.
func (l *Links) Suspected() bool {
	if !l.failed.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.suspectedAt.IsZero()
}

// Lost reports whether the links are lost.
func (l *Links) Lost() bool { return l.LostFor() > 0 }

// LostFor returns for how long the links have been lost; 0 if they are not.
func (l *Links) LostFor() time.Duration {
	if !l.failed.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostAt.IsZero() {
		return 0
	}
	return max(1, time.Since(l.lostAt))
}

// MayTunnel reports whether a tunnel may be tried although the links are not lost.
func (l *Links) MayTunnel() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !time.Now().Before(l.tunnelsFrom)
}
