package mirror

import (
	"maps"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// LargeRecord names a record that a delta does not carry, because its value would hold up all other
// changes in the delta. It is brought by a transfer of its own.
type LargeRecord struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// missing are the records that this copy lacks although it reflects their revisions. Until they come,
// the copy has their values of before, if there were any.
type missing struct {
	// revisions by key; the latest that was named.
	revisions map[string]int64
	// since is when the copy began to lack one of them, or when a part of one last arrived.
	since time.Time
}

func (m *missing) has(key string) bool {
	_, ok := m.revisions[key]
	return ok
}

// with returns the keys that are missing or named.
func (m *missing) with(named []LargeRecord) map[string]bool {
	keys := map[string]bool{}
	for key := range m.revisions {
		keys[key] = true
	}
	for _, large := range named {
		keys[large.Key] = true
	}
	return keys
}

// apply takes in the records that a delta names, and forgets those that it brings or removes. held are
// the records of before.
func (m *missing) apply(delta Delta, held Records) {
	for _, large := range delta.Large {
		if old, _ := held.Get(large.Key); old.Revision < large.Revision {
			m.add(large)
		}
	}
	for _, record := range delta.Changed {
		delete(m.revisions, record.Key)
	}
	for _, key := range delta.Removed {
		delete(m.revisions, key)
	}
	if delta.Whole {
		kept := make(map[string]bool, len(delta.Keys))
		for _, key := range delta.Keys {
			kept[key] = true
		}
		maps.DeleteFunc(m.revisions, func(key string, _ int64) bool { return !kept[key] })
	}
}

func (m *missing) add(large LargeRecord) {
	if len(m.revisions) == 0 {
		m.revisions, m.since = map[string]int64{}, time.Now()
	}
	m.revisions[large.Key] = max(m.revisions[large.Key], large.Revision)
}

// brought forgets a record if it is as new as the one that is missing.
func (m *missing) brought(record kv.Record) {
	if record.Revision >= m.revisions[record.Key] {
		delete(m.revisions, record.Key)
	}
}

// age is how long the copy has lacked something without progress; 0 if it lacks nothing.
func (m *missing) age() time.Duration {
	if len(m.revisions) == 0 {
		return 0
	}
	return time.Since(m.since)
}

// Missing returns the records that deltas named and that this copy lacks.
func (m *Mirror) Missing() []LargeRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []LargeRecord
	for key, revision := range m.missing.revisions {
		list = append(list, LargeRecord{Key: key, Revision: revision})
	}
	return list
}

// NoteProgress notes that a part of a missing record arrived: the service need not be asked for it while it keeps
// coming.
func (m *Mirror) NoteProgress() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missing.since = time.Now()
}

// NoteArrival notes that a part of what this copy lacks arrived.
func (m *Mirror) NoteArrival() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshness.brought = time.Now()
}

// ApplyLarge takes in a record that a delta named, and reports whether it did. It refuses one whose key
// is not missing, or that is not newer than what this copy has of it. An older record than the one that
// is missing is taken in too: it is newer than nothing, and the later one may change again meanwhile.
func (m *Mirror) ApplyLarge(record kv.Record) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	held, _ := m.state.Records.Get(record.Key)
	if !m.missing.has(record.Key) || record.Revision <= held.Revision {
		return false
	}
	m.missing.brought(record)
	m.missing.since = time.Now() // What is missing still was written while this one was on its way.
	m.change(m.state.Revision, FromPeer, []kv.Record{record}, nil, m.freshness.byAny)
	return true
}
