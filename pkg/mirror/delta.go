package mirror

import (
	"slices"
	"time"

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

// ChangesSince is about how many records a copy of an older revision lacks, without the removals.
func (m *Mirror) ChangesSince(revision int64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.changelog.entries) - m.changelog.entries.after(revision)
}

// addChanged adds the records that changed since a delta begins. The caller holds the lock.
func (m *Mirror) addChanged(delta *Delta, maxValue int) {
	for key, revision := range m.missing.revisions {
		if revision > delta.From {
			delta.Large = append(delta.Large, LargeRecord{Key: key, Revision: revision})
		}
	}
	m.changelog.since(delta.From, m.state.Records, func(record kv.Record) {
		switch {
		case m.missing.has(record.Key):
		case len(record.Value) > maxValue:
			delta.Large = append(delta.Large, LargeRecord{Key: record.Key, Revision: record.Revision})
		default:
			delta.Changed = append(delta.Changed, record)
		}
	})
}

// exists reports whether the service holds a key, as far as this copy knows. The caller holds the lock.
func (m *Mirror) exists(key string) bool {
	_, held := m.state.Records.Get(key)
	return held || m.missing.has(key)
}

// keys lists all keys that the service holds, as far as this copy knows. The caller holds the lock.
func (m *Mirror) keys() []string {
	keys := make([]string, 0, m.state.Records.Len())
	for key := range m.state.Records.All() {
		keys = append(keys, key)
	}
	for key := range m.missing.revisions {
		if _, held := m.state.Records.Get(key); !held {
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
	drop, ok := delta.drops(m.state.Records, m.missing)
	if !ok {
		return false
	}
	m.freshness.brought = time.Now()
	m.copied = m.copied || m.state.Revision == 0
	m.missing.apply(delta, m.state.Records)
	m.removals.addDelta(delta, m.state.Records.Len())
	m.change(delta.Revision, FromPeer, delta.Changed, drop, m.freshness.byAny)
	return true
}

// drops returns the keys of a copy that the delta removes; false if the copy lacks records that the delta names and does not have.
func (d Delta) drops(records Records, missing missing) ([]string, bool) {
	if !d.Whole {
		return d.Removed, true
	}
	brought := make(map[string]bool, len(d.Changed))
	for _, record := range d.Changed {
		brought[record.Key] = true
	}
	named := missing.with(d.Large)
	kept := make(map[string]bool, len(d.Keys))
	for _, key := range d.Keys {
		_, held := records.Get(key)
		if !held && !brought[key] && !named[key] {
			return nil, false
		}
		kept[key] = true
	}
	var drop []string
	for key := range records.All() {
		if !kept[key] {
			drop = append(drop, key)
		}
	}
	return drop, true
}
