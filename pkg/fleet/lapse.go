package fleet

import "time"

// lapseTime is how long an upstream is used after its entry lapsed. The platform drops entries whose
// heartbeats did not reach it, as while it was away or a hall was cut off; an upstream that lives
// has a new entry soon. The time counts from when the entry was last known to be listed. It is
// below the 2 s after which a leaving upstream may get nothing.
const lapseTime = 1400 * time.Millisecond

// lapse lapses or drops an upstream that has no entry which counts. The caller holds the lock.
func (d *Directory) lapse(state *State, previousCurrentAt time.Time) (Change, bool) {
	dropAt := d.dropAt(state, previousCurrentAt)
	switch {
	case !time.Now().Before(dropAt):
		return d.drop(state), true
	case state.DropAt.IsZero():
		lapsed := *state
		lapsed.DropAt = dropAt
		d.states[state.ID] = &lapsed
		d.lapsed[state.ID] = true
		return Change{Upstream: *state.Upstream, Kind: Lapsed}, true
	}
	return Change{}, false
}

// dropAt returns when an upstream without an entry is dropped. One that was leaving, or that another
// one replaces, is not coming back, and is dropped at once (the zero time). One that lapsed with
// an earlier list keeps its time. One that lapses with this list has lapseTime from
// previousCurrentAt, when the entry was last known to be there; that is over already where this
// box's list was out of date for longer.
func (d *Directory) dropAt(state *State, previousCurrentAt time.Time) time.Time {
	switch {
	case state.Leaving || d.listing.hasSuccessor(state.Upstream):
		return time.Time{}
	case !state.DropAt.IsZero():
		return state.DropAt
	}
	return previousCurrentAt.Add(lapseTime)
}

// DropLapsed drops the upstreams whose entries lapsed for longer than lapseTime, and returns them.
// The caller calls it regularly, since a list need not come in time.
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
	return changes
}

// drop removes an upstream and what is kept by its id. The caller holds the lock.
func (d *Directory) drop(state *State) Change {
	delete(d.states, state.ID)
	delete(d.lapsed, state.ID)
	delete(d.residencies, state.ID)
	delete(d.refusals, state.ID)
	delete(d.cold, state.ID)
	delete(d.heldBack, state.ID)
	return Change{Upstream: *state.Upstream, Kind: Removed}
}
