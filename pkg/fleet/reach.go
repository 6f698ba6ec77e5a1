package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minLostUpstreams is how many upstreams of a hall must fail a box before it takes the hall for out of reach. One
	// or two crash or start again on their own.
	minLostUpstreams = 3
	// lossWindow is how long a failure counts. Two connections that time out in a row fit into it (0.4 s each).
	lossWindow = time.Second
	// outOfReachFor is how long a hall counts as out of reach after the latest failure there. It is the longest time for
	// which a single upstream is avoided after failed connections.
	outOfReachFor = maxUnreachableBackoff
)

// Reach decides which halls this box does not reach, by what its own attempts meet. It answers a hall that is cut off:
// without it, a box finds out at each of the hall's upstreams in turn, and each time a request fails, waits for a
// connection that is never made, or is sent on an idle connection that is broken, so that it may have run.
//
// A hall is out of reach once minLostUpstreams of its upstreams failed within lossWindow and nothing at all was heard
// from the hall since the first of these failures. It is within reach again once anything is heard from it, or
// outOfReachFor after the latest failure there. All state is this box's own and is lost with it. The zero value has all
// halls within reach; it is safe for concurrent use.
type Reach struct {
	// OnLost is called when a hall turns out of reach, and OnRegained when something is heard from one that is.
	OnLost     func(hall string)
	OnRegained func(hall string, after time.Duration)

	// heard has, by hall, an *atomic.Pointer[time.Time]: when something was last heard from it, to heardResolution.
	heard sync.Map
	// failing is the number of halls with failures, so that contacts take no lock while there are none.
	failing atomic.Int32
	mu      sync.Mutex
	halls   map[string]*hallFailures
}

// hallFailures are the failures at a hall since something was last heard from it.
type hallFailures struct {
	// latest is when each upstream last failed.
	latest map[string]time.Time
	// lostAt is when the hall turned out of reach, and lostUntil how long it stays so; zero if it did not.
	lostAt, lostUntil time.Time
	// origin is who found that the hall is out of reach.
	origin lossOrigin
}

// lossOrigin is who found that a hall is out of reach.
type lossOrigin int

const (
	foundHere lossOrigin = iota
	// toldByBox is another box of this one's hall, and toldByRelay a box that was told itself.
	toldByBox
	toldByRelay
)

// heardResolution is how exactly the time is kept at which something was last heard from a hall, so that not each event
// of each stream stores one.
const heardResolution = 10 * time.Millisecond

func (r *Reach) noteHeard(hall string, now time.Time) {
	stored, found := r.heard.Load(hall)
	if !found {
		stored, _ = r.heard.LoadOrStore(hall, &atomic.Pointer[time.Time]{})
	}
	last := stored.(*atomic.Pointer[time.Time])
	if at := last.Load(); at == nil || now.Sub(*at) >= heardResolution {
		last.Store(&now)
	}
}

// lastHeard returns when something was last heard from a hall; the zero time if nothing ever was.
func (r *Reach) lastHeard(hall string) time.Time {
	stored, found := r.heard.Load(hall)
	if !found {
		return time.Time{}
	}
	if at := stored.(*atomic.Pointer[time.Time]).Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// failuresOf returns the failures at a hall, which it begins to track. The caller holds the lock.
func (r *Reach) failuresOf(hall string) *hallFailures {
	failures := r.halls[hall]
	if failures == nil {
		if r.halls == nil {
			r.halls = map[string]*hallFailures{}
		}
		failures = &hallFailures{latest: map[string]time.Time{}}
		r.halls[hall] = failures
		r.failing.Add(1)
	}
	return failures
}

// RecordFailure records that an attempt at an upstream of a hall found no connection, or lost it without an answer.
func (r *Reach) RecordFailure(hall, upstream string) {
	if r.recordFailure(hall, upstream, time.Now()) && r.OnLost != nil {
		r.OnLost(hall)
	}
}

func (r *Reach) recordFailure(hall, upstream string, now time.Time) (lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	failures := r.failuresOf(hall)
	for id, at := range failures.latest {
		if now.Sub(at) > lossWindow {
			delete(failures.latest, id)
		}
	}
	failures.latest[upstream] = now
	if now.Before(failures.lostUntil) {
		failures.lostUntil, failures.origin = now.Add(outOfReachFor), foundHere
		return false
	}
	if len(failures.latest) < minLostUpstreams {
		return false
	}
	failures.lostAt, failures.lostUntil, failures.origin = now, now.Add(outOfReachFor), foundHere
	return true
}

// RecordContact records that something was heard from a hall: a part of an answer, or a message of a box there.
func (r *Reach) RecordContact(hall string) {
	r.noteHeard(hall, time.Now())
	if r.failing.Load() == 0 {
		return
	}
	r.mu.Lock()
	failures := r.halls[hall]
	if failures != nil {
		delete(r.halls, hall)
		r.failing.Add(-1)
	}
	r.mu.Unlock()
	if now := time.Now(); failures != nil && now.Before(failures.lostUntil) && r.OnRegained != nil {
		r.OnRegained(hall, now.Sub(failures.lostAt))
	}
}

// WithinReach returns those of the upstreams whose halls are within reach; all of them if none are, since trying is then
// the only way.
func (r *Reach) WithinReach(list []*State) []*State {
	if r.failing.Load() == 0 {
		return list
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	within := make([]*State, 0, len(list))
	for _, state := range list {
		if failures := r.halls[state.Hall]; failures == nil || !now.Before(failures.lostUntil) {
			within = append(within, state)
		}
	}
	if len(within) == 0 {
		return list
	}
	return within
}

// Lost returns how many halls are out of reach.
func (r *Reach) Lost() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count, now := 0, time.Now()
	for _, failures := range r.halls {
		if now.Before(failures.lostUntil) {
			count++
		}
	}
	return count
}

// InHall returns the ids of the upstreams in a hall.
func (d *Directory) InHall(hall string) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var list []string
	for id, state := range d.states {
		if state.Hall == hall {
			list = append(list, id)
		}
	}
	return list
}
