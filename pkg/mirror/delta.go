package mirror

import (
	"slices"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// Delta is what brings a copy of an older revision up to date.
type Delta struct {
	// From is the revision of the older copy, and Revision that of the newer one.
	From     int64 `json:"from"`
	Revision int64 `json:"revision"`
	// Changed records.
	Changed []kv.Record `json:"changed,omitempty"`
	// Removed keys, where it is known which they are; if not, Whole is set and Keys are all that
	// there are.
	Removed []string `json:"removed,omitempty"`
	Whole   bool     `json:"whole,omitempty"`
	Keys    []string `json:"keys,omitempty"`
}

// DeltaSince returns what a copy of an older revision lacks; nil if there is nothing newer.
func (m *Mirror) DeltaSince(revision int64) *Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Revision <= revision {
		return nil
	}
	delta := &Delta{From: revision, Revision: m.state.Revision}
	for _, record := range m.state.Records {
		if record.Revision > revision {
			delta.Changed = append(delta.Changed, record)
		}
	}
	if removed, known := m.removals.since(revision); known {
		// A key that was made again is not gone.
		delta.Removed = slices.DeleteFunc(removed, func(key string) bool {
			_, held := m.state.Records[key]
			return held
		})
		return delta
	}
	delta.Whole = true
	delta.Keys = make([]string, 0, len(m.state.Records))
	for key := range m.state.Records {
		delta.Keys = append(delta.Keys, key)
	}
	return delta
}

// ApplyDelta takes what another process's copy has newer, and tells whether it brought anything.
func (m *Mirror) ApplyDelta(delta Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if delta.Revision <= m.state.Revision || delta.From > m.state.Revision {
		return false
	}
	records, ok := delta.onto(m.state)
	if !ok {
		return false
	}
	m.removals.replace(m.state, records, delta.Revision)
	m.set(State{Revision: delta.Revision, Records: records, PreviousCurrentAt: m.current})
	return true
}

// onto returns the records of a copy with the delta; false if the copy lacks some that the delta
// counts on.
func (d Delta) onto(copied State) (map[string]kv.Record, bool) {
	records := make(map[string]kv.Record, len(copied.Records)+len(d.Changed))
	for key, record := range copied.Records {
		records[key] = record
	}
	for _, record := range d.Changed {
		records[record.Key] = record
	}
	if !d.Whole {
		for _, key := range d.Removed {
			delete(records, key)
		}
		return records, true
	}
	all := make(map[string]kv.Record, len(d.Keys))
	for _, key := range d.Keys {
		record, held := records[key]
		if !held {
			return nil, false
		}
		all[key] = record
	}
	return all, true
}

// maxRemovals bounds the removals that are remembered.
const maxRemovals = 1000

// removals remembers which keys were removed lately.
type removals struct {
	// floor is the revision after which all removals are known.
	floor int64
	// at is the revision of each key's removal.
	at map[string]int64
}

// add notes a removal.
func (r *removals) add(key string, revision int64) {
	if r.at == nil {
		r.at = map[string]int64{}
	}
	if len(r.at) >= maxRemovals {
		for _, at := range r.at {
			r.floor = max(r.floor, at)
		}
		clear(r.at)
	}
	r.at[key] = revision
}

// replace notes what a newer copy, known only as a whole, lacks of an older one.
func (r *removals) replace(old State, records map[string]kv.Record, revision int64) {
	if old.Revision == 0 {
		r.floor = revision
		return
	}
	for key := range old.Records {
		if _, held := records[key]; !held {
			r.add(key, revision)
		}
	}
}

// since returns the keys that were removed after a revision and are still; false if not all are
// known.
func (r *removals) since(revision int64) ([]string, bool) {
	if revision < r.floor {
		return nil, false
	}
	var keys []string
	for key, at := range r.at {
		if at > revision {
			keys = append(keys, key)
		}
	}
	return keys, true
}
