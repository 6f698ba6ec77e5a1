package fleet

import (
	"maps"
	"slices"

	"github.com/juju/errors"
)

// ErrEvacuated is returned for a request to an upstream whose hall is evacuated.
const ErrEvacuated = errors.ConstError("upstream's hall is evacuated: choose one of another hall")

// Evacuations lists the evacuations that began or ended with a copy of the store.
type Evacuations struct {
	// Begun and Ended are halls, sorted by name.
	Begun, Ended []string
}

// Any reports whether an evacuation began or ended.
func (e *Evacuations) Any() bool { return len(e.Begun) > 0 || len(e.Ended) > 0 }

// SetEvacuated sets which halls are evacuated at a revision of the store. It ignores a revision older
// than the latest one, so that an older copy ends no evacuation. Call it before SetList with the list
// of the same copy.
func (d *Directory) SetEvacuated(revision int64, halls map[string]bool) Evacuations {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.evacuatedAt {
		return Evacuations{}
	}
	d.evacuatedAt = revision
	change := Evacuations{Begun: sortedDifference(halls, d.evacuated), Ended: sortedDifference(d.evacuated, halls)}
	if !change.Any() {
		return change
	}
	d.evacuated = maps.Clone(halls)
	var affected []string
	for id, state := range d.states {
		if state.Evacuated == halls[state.Hall] {
			continue
		}
		next := *state
		next.Evacuated = halls[state.Hall]
		if state.Evacuated {
			d.recordReturn(id) // Its entry may not state yet that it is cold.
		}
		d.states[id] = &next
		affected = append(affected, id)
	}
	d.reindex(affected...)
	return change
}

// CountEvacuated returns how many upstreams are in evacuated halls, and how many of the others are not
// leaving.
func (d *Directory) CountEvacuated() (evacuated, left int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, state := range d.states {
		switch {
		case state.Evacuated:
			evacuated++
		case !state.Leaving:
			left++
		}
	}
	return evacuated, left
}

// sortedDifference returns the halls of the first set that the second does not have, sorted.
func sortedDifference(halls, others map[string]bool) []string {
	var list []string
	for hall := range halls {
		if !others[hall] {
			list = append(list, hall)
		}
	}
	slices.Sort(list)
	return list
}
