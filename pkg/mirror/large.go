package mirror

import (
	"maps"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// LargeRecord names a record that a delta does not carry, because its value would delay all other changes in the
// delta. The record is sent in a transfer of its own.
type LargeRecord struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// missingRecords are the large records that this copy lacks although it has reached their revisions. Until they
// arrive, the copy has their previous values, if there were any.
type missingRecords struct {
	// revisions has the latest revision that a delta named for each missing key.
	revisions map[string]int64
	// noProgressSince is when the copy began to lack records, or when a part of one last arrived.
	noProgressSince time.Time
}

func (m *missingRecords) has(key string) bool {
	_, ok := m.revisions[key]
	return ok
}

// keysWith returns the keys of the missing records and of the named ones.
func (m *missingRecords) keysWith(named []LargeRecord) map[string]bool {
	keys := map[string]bool{}
	for key := range m.revisions {
		keys[key] = true
	}
	for _, large := range named {
		keys[large.Key] = true
	}
	return keys
}

// applyDelta adds the large records that a delta names, and drops those that it carries or removes. previous are the
// records before the delta.
func (m *missingRecords) applyDelta(delta Delta, previous Records) {
	for _, large := range delta.Large {
		if old, _ := previous.Get(large.Key); old.Revision < large.Revision {
			m.add(large)
		}
	}
	for _, record := range delta.Changed {
		delete(m.revisions, record.Key)
	}
	for _, key := range delta.Removed {
		delete(m.revisions, key)
	}
	if delta.HasAllKeys {
		kept := make(map[string]bool, len(delta.Keys))
		for _, key := range delta.Keys {
			kept[key] = true
		}
		maps.DeleteFunc(m.revisions, func(key string, _ int64) bool { return !kept[key] })
	}
}

func (m *missingRecords) add(large LargeRecord) {
	if len(m.revisions) == 0 {
		m.revisions, m.noProgressSince = map[string]int64{}, time.Now()
	}
	m.revisions[large.Key] = max(m.revisions[large.Key], large.Revision)
}

// removeIfReached drops a missing record once a record of its key arrives that is at least as new.
func (m *missingRecords) removeIfReached(record kv.Record) {
	if record.Revision >= m.revisions[record.Key] {
		delete(m.revisions, record.Key)
	}
}

// age returns how long the copy has lacked records without progress; 0 if it lacks none.
func (m *missingRecords) age() time.Duration {
	if len(m.revisions) == 0 {
		return 0
	}
	return time.Since(m.noProgressSince)
}

// Missing returns the large records that deltas named and that this copy lacks.
func (m *Mirror) Missing() []LargeRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []LargeRecord
	for key, revision := range m.missing.revisions {
		list = append(list, LargeRecord{Key: key, Revision: revision})
	}
	return list
}

// NoteProgress notes that a part of a missing record arrived. While parts keep arriving, the copy does not become
// stale, and the store need not be polled for the record.
func (m *Mirror) NoteProgress() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missing.noProgressSince = time.Now()
}

// NoteArrival notes that a part of what this copy lacks arrived from another box; see ArrivalAge.
func (m *Mirror) NoteArrival() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshness.received = time.Now()
}

// ApplyLarge applies a record that a delta named, and reports whether it did. It rejects a record whose key is not
// missing, or that is not newer than this copy's record of the key. It accepts an older revision than the missing
// one: that is better than the present record, and the later revision may change again before it arrives.
func (m *Mirror) ApplyLarge(record kv.Record) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, _ := m.state.Records.Get(record.Key)
	if !m.missing.has(record.Key) || record.Revision <= current.Revision {
		return false
	}
	m.missing.removeIfReached(record)
	m.missing.noProgressSince = time.Now() // Records that are still missing were written while this one was on its way.
	m.applyChange(m.state.Revision, FromPeer, []kv.Record{record}, nil, m.freshness.confirmed)
	return true
}
