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

// SetList takes a list of all upstreams, unless it is older than the latest one, and returns what
// changed. previousCurrentAt is when the list before was last known to be current.
func (d *Directory) SetList(revision int64, list []Upstream, previousCurrentAt time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return nil
	}
	d.revision = revision
	live := withoutReplaced(list)
	changes := d.setListed(live)
	changes = append(changes, d.lapseUnlisted(ids(live), successors(list), previousCurrentAt)...)
	d.index()
	return changes
}

// setListed joins each new or changed entry, and returns who joined or began to leave. The caller
// holds the lock.
func (d *Directory) setListed(list []Upstream) []Change {
	var changes []Change
	for _, upstream := range list {
		old := d.states[upstream.ID]
		if old != nil && old.Revision == upstream.Revision && old.DropAt.IsZero() {
			continue
		}
		if kind := changeOf(old, upstream); kind != "" {
			changes = append(changes, Change{Upstream: upstream, Kind: kind})
		}
		d.noteListed(old, &upstream)
		d.states[upstream.ID] = d.join(upstream)
	}
	return changes
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
func changeOf(old *State, entry Upstream) ChangeKind {
	switch {
	case old == nil:
		return Joined
	case entry.Leaving && !old.Leaving:
		return Leaving
	}
	return ""
}

// withoutReplaced leaves out the upstreams at whose address a later one is listed: their processes
// are gone, though their entries stay until the platform misses their heartbeats.
func withoutReplaced(list []Upstream) []Upstream {
	latest := make(map[string]*Upstream, len(list))
	for n := range list {
		upstream := &list[n]
		if known := latest[upstream.Address]; known == nil || upstream.replaces(known) {
			latest[upstream.Address] = upstream
		}
	}
	return slices.DeleteFunc(slices.Clone(list), func(upstream Upstream) bool {
		return upstream.Address != "" && latest[upstream.Address].replaces(&upstream)
	})
}

// ids returns the ids of upstreams.
func ids(list []Upstream) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, upstream := range list {
		set[upstream.ID] = true
	}
	return set
}

// replaced is which upstreams without an entry are not coming back.
type replaced struct{ addresses, names map[string]bool }

// successors returns what a list has in place of upstreams that it does not have: others at their addresses, later lives under
// their names.
func successors(list []Upstream) replaced {
	by := replaced{addresses: make(map[string]bool, len(list)), names: make(map[string]bool, len(list))}
	for _, upstream := range list {
		by.addresses[upstream.Address] = true
		by.names[NameOf(upstream.ID)] = true
	}
	return by
}

// has reports whether an upstream has a successor.
func (r *replaced) has(upstream *Upstream) bool {
	return r.addresses[upstream.Address] || r.names[NameOf(upstream.ID)]
}
