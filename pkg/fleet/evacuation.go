package fleet

import (
	"maps"
	"slices"

	"github.com/juju/errors"
)

// ErrEvacuated is the error of a sending to an upstream whose hall is evacuated.
const ErrEvacuated = errors.ConstError("upstream's hall is evacuated: choose one of another hall")

// Evacuations is what a copy of the store changed about evacuated halls.
type Evacuations struct {
	// Begun and Ended are halls, in the order of their names.
	Begun, Ended []string
}

// Any reports whether anything changed.
func (e *Evacuations) Any() bool { return len(e.Begun) > 0 || len(e.Ended) > 0 }

// SetEvacuated takes which halls are evacuated at a revision of the store, unless that is older than what was taken last: an older
// copy ends no evacuation. It is to be called ahead of SetList with the list of the same copy.
func (d *Directory) SetEvacuated(revision int64, halls map[string]bool) Evacuations {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.evacuatedAt {
		return Evacuations{}
	}
	d.evacuatedAt = revision
	change := Evacuations{Begun: without(halls, d.evacuated), Ended: without(d.evacuated, halls)}
	if !change.Any() {
		return change
	}
	d.evacuated = maps.Clone(halls)
	var touched []string
	for id, state := range d.states {
		if state.Evacuated == halls[state.Hall] {
			continue
		}
		next := *state
		next.Evacuated = halls[state.Hall]
		if state.Evacuated {
			d.noteBack(id) // Its entry may not tell yet that it is cold.
		}
		d.states[id] = &next
		touched = append(touched, id)
	}
	d.reindex(touched...)
	return change
}

// CountEvacuated returns how many upstreams are in evacuated halls, and how many outside of them do not leave.
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

// without returns the halls of one set that another one does not have, sorted.
func without(halls, others map[string]bool) []string {
	var list []string
	for hall := range halls {
		if !others[hall] {
			list = append(list, hall)
		}
	}
	slices.Sort(list)
	return list
}
