package fleet

import "time"

// This file has what the directory does when the list comes from a store that came back from a copy. The copy lacks what
// was written since, which the upstreams write again soon, and it has entries that were removed or replaced since:
//
//	the list before          the copy        the upstream
//	listed                   no entry        is used until restoredGrace is over, or its new entry arrives
//	listed as leaving        listed ready    stays leaving, as long as this process of it exists
//	removed, was leaving     listed          stays leaving
//	removed, or lapsed       listed          gets nothing until its entry changes or returnedDelay is over

const (
	// restoredGrace is how long an upstream is used whose entry the store lost. The platform has entries of upstreams
	// that are alive back within about two seconds.
	restoredGrace = 2500 * time.Millisecond
	// returnedDelay is how long an upstream gets nothing whose entry had gone before the store lost that. It is longer
	// than the three heartbeats after which the platform removes the entry of a process that is gone.
	returnedDelay = 5 * time.Second
	// removalRetention is how long removals are remembered: longer than a copy of the store is old.
	removalRetention = time.Minute
)

// removal is the end of an upstream in the directory.
type removal struct {
	at time.Time
	// leaving means that the upstream was leaving.
	leaving bool
}

// prepareRestored keeps the list of a restored store from undoing what was known. It is called before the changes are
// applied. The caller holds the lock.
func (d *Directory) prepareRestored(change ListChange, now time.Time) {
	for id, state := range d.states {
		if state.listedLeaving {
			d.keepLeaving(id, now)
		}
	}
	for _, entry := range change.Put {
		state := d.states[entry.ID]
		removed, wasRemoved := d.removals[entry.ID]
		switch {
		case state == nil && wasRemoved && removed.leaving:
			d.keepLeaving(entry.ID, now)
		case state == nil && wasRemoved, state != nil && !state.DropAt.IsZero():
			d.returned[entry.ID] = returnedEntry{revision: entry.Revision, until: now.Add(returnedDelay)}
		}
	}
}

// keepLeaving records that an upstream is leaving, whatever lists state later. The caller holds the lock.
func (d *Directory) keepLeaving(id string, now time.Time) {
	stored := d.notices[id]
	stored.lastSeen = now
	if stored.leavingAt.IsZero() {
		stored.leavingAt = now
	}
	d.notices[id] = stored
}

// returnedEntry is an entry that came back with a copy of the store.
type returnedEntry struct {
	revision int64
	until    time.Time
}

// heldBack reports whether an upstream gets nothing because its entry only came back with a copy of the store. The
// caller holds the lock.
func (d *Directory) heldBack(entry *Upstream, now time.Time) bool {
	returned, ok := d.returned[entry.ID]
	return ok && entry.Revision == returned.revision && now.Before(returned.until)
}

// useReturned uses the upstreams whose entries were held back for long enough, and returns them. The caller holds the
// lock.
func (d *Directory) useReturned(now time.Time) []Change {
	var changes []Change
	for id, returned := range d.returned {
		if now.Before(returned.until) {
			continue
		}
		delete(d.returned, id)
		if change, ok := d.updateState(id, ListChange{PreviousCurrentAt: now}); ok {
			changes = append(changes, change)
		}
		d.reindex(id)
	}
	return changes
}

// expireRemovals forgets removals that no copy of the store can undo any more. The caller holds the lock.
func (d *Directory) expireRemovals(now time.Time) {
	for id, removed := range d.removals {
		if now.Sub(removed.at) > removalRetention {
			delete(d.removals, id)
		}
	}
}
