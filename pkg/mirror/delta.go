package mirror

import (
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// Delta has the changes that bring a copy of an older revision up to date. Its form in JSON is deltaMessage.
type Delta struct {
	// From is the revision of the older copy, and Revision that of the newer one.
	From     int64
	Revision int64
	// Changed are the added or changed records, except those in Large.
	Changed []kv.Record
	// Large names the changed records whose values the delta does not carry; see ApplyLarge.
	Large []LargeRecord
	// Removed are the keys that were removed, if these are known. If not, HasAllKeys is set, and Keys are all keys
	// that exist.
	Removed    []string
	HasAllKeys bool
	Keys       []string
}

// DeltaSince returns the changes since a revision; nil if this copy is not newer. It only names the records whose
// values are longer than maxValue bytes, and those that this copy lacks itself.
func (m *Mirror) DeltaSince(revision int64, maxValue int) *Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Revision <= revision {
		return nil
	}
	delta := &Delta{From: revision, Revision: m.state.Revision}
	m.addChanged(delta, maxValue)
	if removed, known := m.removals.since(revision); known {
		// A key that was created again does not count as removed.
		delta.Removed = slices.DeleteFunc(removed, m.exists)
		return delta
	}
	delta.HasAllKeys = true
	delta.Keys = m.keys()
	return delta
}

// ChangesSince returns about how many records were added or changed since a revision, without removals.
func (m *Mirror) ChangesSince(revision int64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.changelog.entries) - m.changelog.entries.indexAfter(revision)
}

// addChanged adds to a delta the records that changed since delta.From. The caller holds the lock.
func (m *Mirror) addChanged(delta *Delta, maxValue int) {
	for key, revision := range m.missing.revisions {
		if revision > delta.From {
			delta.Large = append(delta.Large, LargeRecord{Key: key, Revision: revision})
		}
	}
	m.changelog.forEachSince(delta.From, m.state.Records, func(record kv.Record) {
		switch {
		case m.missing.has(record.Key):
		case len(record.Value) > maxValue:
			delta.Large = append(delta.Large, LargeRecord{Key: record.Key, Revision: record.Revision})
		default:
			delta.Changed = append(delta.Changed, record)
		}
	})
}

// exists reports whether this copy has a record of a key, or a delta named one that it lacks. The caller holds the
// lock.
func (m *Mirror) exists(key string) bool {
	_, found := m.state.Records.Get(key)
	return found || m.missing.has(key)
}

// keys returns the keys of the records that this copy has, and of those that it lacks. The caller holds the lock.
func (m *Mirror) keys() []string {
	keys := make([]string, 0, m.state.Records.Len())
	for key := range m.state.Records.All() {
		keys = append(keys, key)
	}
	for key := range m.missing.revisions {
		if _, found := m.state.Records.Get(key); !found {
			keys = append(keys, key)
		}
	}
	return keys
}

// ApplyDelta applies another box's delta, and reports whether it did. It rejects a delta that is not newer than this
// copy, that begins after this copy's revision, or that lists a key unknown to both the delta and this copy (see
// removedKeys). It then changes nothing.
func (m *Mirror) ApplyDelta(delta Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if delta.Revision <= m.state.Revision || delta.From > m.state.Revision {
		return false
	}
	drop, ok := delta.removedKeys(m.state.Records, m.missing)
	if !ok {
		return false
	}
	m.freshness.received = time.Now()
	m.copiedFromPeers = m.copiedFromPeers || m.state.Revision == 0
	m.missing.applyDelta(delta, m.state.Records)
	m.removals.addDelta(delta, m.state.Records.Len())
	m.applyChange(delta.Revision, FromPeer, delta.Changed, drop, m.freshness.confirmed)
	return true
}

// removedKeys returns the keys that the delta removes from a copy. It returns false if the delta lists a key in Keys
// that it neither carries nor names, and that the copy neither has nor misses.
func (d Delta) removedKeys(records Records, missing missingRecords) ([]string, bool) {
	if !d.HasAllKeys {
		return d.Removed, true
	}
	delivered := make(map[string]bool, len(d.Changed))
	for _, record := range d.Changed {
		delivered[record.Key] = true
	}
	named := missing.keysWith(d.Large)
	kept := make(map[string]bool, len(d.Keys))
	for _, key := range d.Keys {
		_, found := records.Get(key)
		if !found && !delivered[key] && !named[key] {
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
