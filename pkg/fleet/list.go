package fleet

import (
	"slices"
	"time"
)

// Change describes one change of an upstream, caused by a list or by the end of lapseGrace.
type Change struct {
	Upstream Upstream
	// Kind is one of the ChangeKind constants.
	Kind ChangeKind
}

// ChangeKind names what changed.
type ChangeKind string

// The kinds of change.
const (
	// Joined upstreams are listed for the first time.
	Joined ChangeKind = "joined"
	// Leaving upstreams began to leave.
	Leaving ChangeKind = "leaving"
	// Lapsed upstreams have no entry any more; they are used until lapseGrace has passed.
	Lapsed ChangeKind = "lapsed"
	// Removed upstreams are gone from the directory.
	Removed ChangeKind = "removed"
)

// ListChange is a delta of the list of upstreams.
type ListChange struct {
	// Put holds the new and changed entries, and Dropped the ids of the removed ones.
	Put     []Upstream
	Dropped []string
	// PreviousCurrentAt is the time at which the previous list was last known to be current.
	PreviousCurrentAt time.Time
	// Restored means that the store came back from a copy since the previous list.
	Restored bool
}

// SetList replaces the list of all upstreams, unless the new one is older than the latest, and returns
// what changed. previousCurrentAt is the time at which the previous list was last known to be current.
func (d *Directory) SetList(revision int64, list []Upstream, previousCurrentAt time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return nil
	}
	change := ListChange{Put: list, PreviousCurrentAt: previousCurrentAt}
	listed := make(map[string]bool, len(list))
	for _, upstream := range list {
		listed[upstream.ID] = true
	}
	for id := range d.listing.entries {
		if !listed[id] {
			change.Dropped = append(change.Dropped, id)
		}
	}
	return d.changeList(revision, change)
}

// ChangeList applies a delta to the latest list, unless it is older, and returns what changed. Its cost
// depends on the size of the delta, not on the number of upstreams.
func (d *Directory) ChangeList(revision int64, change ListChange) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return nil
	}
	return d.changeList(revision, change)
}

// changeList is ChangeList for a caller that holds the lock.
func (d *Directory) changeList(revision int64, change ListChange) []Change {
	d.revision = revision
	if change.Restored {
		d.prepareRestored(change, time.Now())
	}
	affected := map[string]bool{}
	for _, id := range change.Dropped {
		addIDs(affected, d.listing.remove(id))
	}
	for _, entry := range change.Put {
		addIDs(affected, d.listing.put(entry))
	}
	for id := range d.lapsed {
		affected[id] = true // Its successor may be listed now.
	}
	ids := make([]string, 0, len(affected))
	for id := range affected {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var changes []Change
	for _, id := range ids {
		if reported, ok := d.updateState(id, change); ok {
			changes = append(changes, reported)
		}
	}
	d.reindex(ids...)
	return changes
}

func addIDs(set map[string]bool, ids []string) {
	for _, id := range ids {
		set[id] = true
	}
}

// updateState brings the state of one upstream in line with the list. It returns the change to report,
// or false if there is none. The caller holds the lock.
func (d *Directory) updateState(id string, change ListChange) (Change, bool) {
	old := d.states[id]
	entry, current := d.listing.currentEntry(id)
	current = current && !d.heldBack(entry, time.Now())
	switch {
	case !current && old == nil:
		return Change{}, false
	case !current:
		return d.lapseOrDrop(old, change)
	case old != nil && old.Revision == entry.Revision && old.DropAt.IsZero():
		return Change{}, false
	}
	if !change.Restored || old == nil {
		d.recordListed(old, entry) // A copy of an entry would count from now what it counted from its writing.
	}
	delete(d.lapsed, id)
	d.replaceState(id, d.newState(entry))
	kind := changeOf(old, entry)
	return Change{Upstream: *entry, Kind: kind}, kind != ""
}

// recordListed records from an entry whether the engine is cold, and whether it came back after its
// entry had lapsed. The caller holds the lock.
func (d *Directory) recordListed(old *State, entry *Upstream) {
	d.setCold(entry.ID, entry.Cold)
	if old != nil && !old.DropAt.IsZero() && !old.lost {
		d.recordReturn(entry.ID)
	}
}

// changeOf returns what an entry changes compared with the state before; "" if there is nothing to
// report.
func changeOf(old *State, entry *Upstream) ChangeKind {
	switch {
	case old == nil:
		return Joined
	case entry.Leaving && !old.Leaving:
		return Leaving
	}
	return ""
}
