package fleet

import "time"

// lapseGrace is how long an upstream is still used after its entry lapsed. The platform drops entries
// whose heartbeats did not reach it, for example while it was away or a hall was cut off; an upstream
// that is alive soon has a new entry. The time counts from when the entry was last known to be listed.
// It is shorter than the 2 s after which a leaving upstream may get nothing.
const lapseGrace = 1400 * time.Millisecond

// cutOffAfter is how long a box's list is out of date where the box was cut off, or the store was away: beyond what any
// box needs to learn of a change while it reaches the store or another box. The platform's bounds hold again for such a
// box once it was in touch for 3 s, which is longer than lapseGrace and the time in which its list arrives.
const cutOffAfter = 3 * time.Second

// lapseOrDrop marks an upstream without a current entry as lapsed, or removes it. It returns false if
// nothing changed. The caller holds the lock.
func (d *Directory) lapseOrDrop(state *State, change ListChange) (Change, bool) {
	dropAt := d.dropAt(state, change)
	switch {
	case !time.Now().Before(dropAt):
		return d.drop(state), true
	case state.DropAt.IsZero():
		lapsed := *state
		lapsed.DropAt, lapsed.lost = dropAt, change.Restored
		d.states[state.ID] = &lapsed
		d.lapsed[state.ID] = true
		return Change{Upstream: *state.Upstream, Kind: Lapsed}, true
	}
	return Change{}, false
}

// dropAt returns when an upstream without an entry is removed. One that was leaving, or that another one replaces, is
// not coming back and is removed at once (the zero time). One that lapsed with an earlier list keeps its time. One
// that lapses with this list gets lapseGrace from previousCurrentAt, when the entry was last known to be listed; that
// is over already if this box's list was out of date for longer. But if it was so for cutOffAfter, the time counts
// from now: the entries of all upstreams that were cut off with this box lapsed, and those that live are back in the
// list within 2 s or so. One that the store lost gets restoredGrace, whatever else the copy lists at its address.
func (d *Directory) dropAt(state *State, change ListChange) time.Time {
	switch {
	case change.Restored && !state.Leaving && state.DropAt.IsZero():
		return time.Now().Add(restoredGrace)
	case state.lost:
		return state.DropAt
	case state.Leaving || d.listing.hasSuccessor(state.Upstream):
		return time.Time{}
	case !state.DropAt.IsZero():
		return state.DropAt
	}
	now := time.Now()
	if !change.PreviousCurrentAt.IsZero() && now.Sub(change.PreviousCurrentAt) >= cutOffAfter {
		return now.Add(lapseGrace)
	}
	return change.PreviousCurrentAt.Add(lapseGrace)
}

// DropLapsed removes the upstreams whose entries lapsed for longer than lapseGrace, uses those whose
// returned entries were held back for long enough, and returns both. The caller must call it regularly,
// since a list may not come in time.
func (d *Directory) DropLapsed() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	var dropped []string
	now := time.Now()
	for id := range d.lapsed {
		if state := d.states[id]; state != nil && !now.Before(state.DropAt) {
			changes = append(changes, d.drop(state))
			dropped = append(dropped, id)
		}
	}
	d.reindex(dropped...)
	d.expireRemovals(now)
	return append(changes, d.useReturned(now)...)
}

// drop removes an upstream and what is stored under its id, except marks and notices, which expire by
// themselves. The caller holds the lock.
func (d *Directory) drop(state *State) Change {
	d.removals[state.ID] = removal{at: time.Now(), leaving: state.Leaving}
	d.replaceState(state.ID, nil)
	delete(d.lapsed, state.ID)
	delete(d.residencies, state.ID)
	delete(d.connectFailures, state.ID)
	delete(d.cold, state.ID)
	delete(d.deferredUntil, state.ID)
	return Change{Upstream: *state.Upstream, Kind: Removed}
}
