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
	// Changed records, but for those in Large.
	Changed []kv.Record `json:"changed,omitempty"`
	// Large are the changed records that the delta only names; see ApplyLarge.
	Large []LargeRecord `json:"large,omitempty"`
	// Removed are the keys that were removed, where they are known. If not, Whole is set, and Keys
	// are all that there are.
	Removed []string `json:"removed,omitempty"`
	Whole   bool     `json:"whole,omitempty"`
	Keys    []string `json:"keys,omitempty"`
}

// DeltaSince returns what a copy of an older revision lacks; nil if this copy is not newer. It only names
// the records whose values are longer than maxValue bytes, and those that this copy lacks itself.
func (m *Mirror) DeltaSince(revision int64, maxValue int) *Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Revision <= revision {
		return nil
	}
	delta := &Delta{From: revision, Revision: m.state.Revision}
	m.addChanged(delta, maxValue)
	if removed, known := m.removals.since(revision); known {
		// A key that was created again is no removal.
		delta.Removed = slices.DeleteFunc(removed, m.exists)
		return delta
	}
	delta.Whole = true
	delta.Keys = m.keys()
	return delta
}

// addChanged adds the records that changed since a delta begins. The caller holds the lock.
func (m *Mirror) addChanged(delta *Delta, maxValue int) {
	for key, revision := range m.missing.revisions {
		if revision > delta.From {
			delta.Large = append(delta.Large, LargeRecord{Key: key, Revision: revision})
		}
	}
	for key, record := range m.state.Records {
		if record.Revision <= delta.From || m.missing.has(key) {
			continue
		}
		if len(record.Value) > maxValue {
			delta.Large = append(delta.Large, LargeRecord{Key: key, Revision: record.Revision})
		} else {
			delta.Changed = append(delta.Changed, record)
		}
	}
}

// exists reports whether the service holds a key, as far as this copy knows. The caller holds the lock.
func (m *Mirror) exists(key string) bool {
	_, held := m.state.Records[key]
	return held || m.missing.has(key)
}

// keys lists all keys that the service holds, as far as this copy knows. The caller holds the lock.
func (m *Mirror) keys() []string {
	keys := make([]string, 0, len(m.state.Records))
	for key := range m.state.Records {
		keys = append(keys, key)
	}
	for key := range m.missing.revisions {
		if _, held := m.state.Records[key]; !held {
			keys = append(keys, key)
		}
	}
	return keys
}

// ApplyDelta takes in another box's delta and reports whether it did. It refuses one that is not
// newer than this copy, or that begins after it; it then changes nothing.
func (m *Mirror) ApplyDelta(delta Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if delta.Revision <= m.state.Revision || delta.From > m.state.Revision {
		return false
	}
	records, ok := delta.appliedTo(m.state, m.missing)
	if !ok {
		return false
	}
	m.missing.apply(delta, m.state.Records)
	m.removals.addDelta(delta)
	m.setState(State{Revision: delta.Revision, Records: records, PreviousCurrentAt: m.freshness.byAny, Origin: FromPeer})
	return true
}

// appliedTo returns the records of a state with the delta applied; false if the state lacks records
// that the delta names and does not have.
func (d Delta) appliedTo(state State, missing missing) (map[string]kv.Record, bool) {
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
	named := missing.with(d.Large)
	all := make(map[string]kv.Record, len(d.Keys))
	for _, key := range d.Keys {
		record, held := records[key]
		switch {
		case held:
			all[key] = record
		case !named[key]:
			return nil, false
		}
	}
	return all, true
}
