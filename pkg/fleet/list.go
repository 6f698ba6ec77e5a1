package fleet

import (
	"maps"
	"slices"
	"time"
)

// Change is a back end that came, left or began to leave with a list.
type Change struct {
	Upstream Upstream
	// Kind is one of the Change constants.
	Kind ChangeKind
}

// ChangeKind says what a list changed.
type ChangeKind string

// The kinds of change.
const (
	Joined  ChangeKind = "joined"
	Leaving ChangeKind = "leaving"
	// Lapsed back ends' entries are gone; they are used for a little longer.
	Lapsed  ChangeKind = "lapsed"
	Removed ChangeKind = "removed"
)

// lapseTime is how long a back end may still be used after its entry went: the platform drops
// entries whose heartbeats did not reach it, as when it was away or a zone cut off, and those of
// back ends that live are back soon. It counts from when the entry was last known to be there.
const lapseTime = 1400 * time.Millisecond

// SetList takes a newer list of all back ends, and returns who came, went or began to leave. since
// is when the list before was still current.
func (d *Directory) SetList(revision int64, list []Upstream, since time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return nil
	}
	d.revision = revision
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, backend := range current(list) {
		listed[backend.ID] = true
		old := d.states[backend.ID]
		if old != nil && old.Revision == backend.Revision && old.DropAt.IsZero() {
			continue
		}
		if what := changeOf(old, backend); what != "" {
			changes = append(changes, Change{Upstream: backend, Kind: what})
		}
		d.states[backend.ID] = d.join(backend, old)
		d.noteDisk(backend)
	}
	replaced := addresses(list)
	now := time.Now()
	for id, state := range d.states {
		if listed[id] {
			continue
		}
		until := state.DropAt
		if until.IsZero() {
			until = since.Add(lapseTime)
		}
		if state.Leaving || replaced[state.Address] || !now.Before(until) {
			changes = append(changes, d.drop(state))
			continue
		}
		if state.DropAt.IsZero() {
			lapsed := *state
			lapsed.DropAt = until
			d.states[id] = &lapsed
			changes = append(changes, Change{Upstream: state.Upstream, Kind: Lapsed})
		}
	}
	d.index()
	return changes
}

// DropLapsed drops the back ends whose entries have been gone for too long. Call it now and then.
func (d *Directory) DropLapsed() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	now := time.Now()
	for _, state := range d.states {
		if !state.DropAt.IsZero() && !now.Before(state.DropAt) {
			changes = append(changes, d.drop(state))
		}
	}
	if len(changes) > 0 {
		d.index()
	}
	return changes
}

// drop forgets a back end. The caller holds the lock.
func (d *Directory) drop(state *State) Change {
	delete(d.states, state.ID)
	delete(d.words, state.ID)
	delete(d.unreachable, state.ID)
	return Change{Upstream: state.Upstream, Kind: Removed}
}

// addresses are those at which back ends are listed.
func addresses(list []Upstream) map[string]bool {
	taken := make(map[string]bool, len(list))
	for _, backend := range list {
		taken[backend.Address] = true
	}
	return taken
}

// current drops the back ends at whose address a newer one is listed: their processes are gone,
// though the list still has them until their heartbeats are missed.
func current(list []Upstream) []Upstream {
	newest := make(map[string]int64, len(list))
	for _, backend := range list {
		newest[backend.Address] = max(newest[backend.Address], backend.Revision)
	}
	return slices.DeleteFunc(slices.Clone(list), func(backend Upstream) bool {
		return backend.Address != "" && backend.Revision < newest[backend.Address]
	})
}

// noteDisk notes what an engine holds. The caller holds the lock.
func (d *Directory) noteDisk(backend Upstream) {
	key := disk{backend.Service, backend.Address}
	for _, holding := range backend.Models {
		if d.disks[key] == nil {
			d.disks[key] = map[string]time.Time{}
		}
		d.disks[key][holding.Model] = time.Now()
	}
}

// ModelsOnDisk returns when models were last seen on the engine at a back end's address, also before
// its latest restart.
func (d *Directory) ModelsOnDisk(backend Upstream) map[string]time.Time {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return maps.Clone(d.disks[disk{backend.Service, backend.Address}])
}

func changeOf(old *State, now Upstream) ChangeKind {
	switch {
	case old == nil:
		return Joined
	case now.Leaving && !old.Leaving:
		return Leaving
	}
	return ""
}
