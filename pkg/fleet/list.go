package fleet

import (
	"slices"
	"time"
)

// Change is an upstream that a list, or the time since its entry lapsed, changed.
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
	// Lapsed upstreams have no entry any more; they are used until lapseTime is over.
	Lapsed ChangeKind = "lapsed"
	// Removed upstreams are gone from the directory.
	Removed ChangeKind = "removed"
)

// ListChange is what changed in the list of upstreams.
type ListChange struct {
	// Put are the entries that are new or other, and Dropped the ids of those that are gone.
	Put     []Upstream
	Dropped []string
	// PreviousCurrentAt is when the list before was last known to be current.
	PreviousCurrentAt time.Time
}

// SetList takes a list of all upstreams, unless it is older than the latest one, and returns what
// changed. previousCurrentAt is when the list before was last known to be current.
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

// ChangeList takes what changed in the list of upstreams since the latest one, unless it is older, and returns what that changed. Its cost
// goes with what changed, not with how many upstreams there are.
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
	touched := map[string]bool{}
	for _, id := range change.Dropped {
		touchAll(touched, d.listing.remove(id))
	}
	for _, entry := range change.Put {
		touchAll(touched, d.listing.put(entry))
	}
	for id := range d.lapsed {
		touched[id] = true // Its successor may have come.
	}
	order := make([]string, 0, len(touched))
	for id := range touched {
		order = append(order, id)
	}
	slices.Sort(order)
	var changes []Change
	for _, id := range order {
		if noted, ok := d.relist(id, change.PreviousCurrentAt); ok {
			changes = append(changes, noted)
		}
	}
	d.reindex(order...)
	return changes
}

func touchAll(touched map[string]bool, ids []string) {
	for _, id := range ids {
		touched[id] = true
	}
}

// relist brings the state of one upstream in line with the list, and returns what is worth a note. The caller holds the lock.
func (d *Directory) relist(id string, previousCurrentAt time.Time) (Change, bool) {
	old := d.states[id]
	entry, live := d.listing.live(id)
	switch {
	case !live && old == nil:
		return Change{}, false
	case !live:
		return d.lapse(old, previousCurrentAt)
	case old != nil && old.Revision == entry.Revision && old.DropAt.IsZero():
		return Change{}, false
	}
	d.noteListed(old, entry)
	delete(d.lapsed, id)
	d.states[id] = d.join(entry)
	kind := changeOf(old, entry)
	return Change{Upstream: *entry, Kind: kind}, kind != ""
}

// noteListed takes from an entry whether the engine is cold, and whether it is back after its entry had lapsed. The caller holds the
// lock.
func (d *Directory) noteListed(old *State, entry *Upstream) {
	d.noteCold(entry.ID, entry.Cold)
	if old != nil && !old.DropAt.IsZero() {
		d.noteBack(entry.ID)
	}
}

// changeOf names what an entry changes, compared with the state before; "" for what needs no note.
func changeOf(old *State, entry *Upstream) ChangeKind {
	switch {
	case old == nil:
		return Joined
	case entry.Leaving && !old.Leaving:
		return Leaving
	}
	return ""
}
