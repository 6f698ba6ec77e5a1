package mirror

import (
	"slices"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// Delta brings a copy of an older revision up to date.
type Delta struct {
	// From is the revision of the older copy, and Revision that of the newer one.
	From     int64 `json:"from"`
	Revision int64 `json:"revision"`
	// Changed records.
	Changed []kv.Record `json:"changed,omitempty"`
	// Removed are the keys that were removed, where they are known. If not, Whole is set, and Keys
	// are all that there are.
	Removed []string `json:"removed,omitempty"`
	Whole   bool     `json:"whole,omitempty"`
	Keys    []string `json:"keys,omitempty"`
}

// DeltaSince returns what a copy of an older revision lacks; nil if this copy is not newer.
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
		// A key that was created again is no removal.
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

// ApplyDelta takes in another box's delta and reports whether it did. It refuses one that is not
// newer than this copy, or that begins after it; it then changes nothing.
func (m *Mirror) ApplyDelta(delta Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if delta.Revision <= m.state.Revision || delta.From > m.state.Revision {
		return false
	}
	records, ok := delta.appliedTo(m.state)
	if !ok {
		return false
	}
	m.removals.addMissing(m.state, records, delta.Revision)
	m.setState(State{Revision: delta.Revision, Records: records, PreviousCurrentAt: m.freshness.byAny, Origin: FromPeer})
	return true
}

// appliedTo returns the records of a state with the delta applied; false if the state lacks records
// that the delta names and does not have.
func (d Delta) appliedTo(state State) (map[string]kv.Record, bool) {
	records := make(map[string]kv.Record, len(state.Records)+len(d.Changed))
	for key, record := range state.Records {
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
