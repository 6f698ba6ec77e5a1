package mirror

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// partialSnapshotLimit is how many records a box reads from the store before it waits for another box's copy: two
// pages. Without it, the store's single link would carry a whole snapshot for each box of a fleet that starts.
const partialSnapshotLimit = 900

// snapshotTimeout is how long a box that has a copy waits until a snapshot begins to arrive. The store has answered a short
// read just before, and other boxes bring their copies meanwhile. If all boxes gave up sooner and asked again, a busy store
// would make snapshots that nobody takes.
const snapshotTimeout = 4500 * time.Millisecond

// readSnapshot reads a snapshot. If this mirror has no copy and may wait for one from other boxes, it stops after
// partialSnapshotLimit records, and whole is false if there are more.
func (m *Mirror) readSnapshot(ctx context.Context) (snapshot kv.Snapshot, whole bool, err error) {
	m.mu.Lock()
	first := m.state.Revision == 0
	m.mu.Unlock()
	if !first {
		ctx = kv.WithAnswerTimeout(ctx, snapshotTimeout)
	}
	if !first || m.Store.SnapshotWithin == nil || m.MayAwaitCopy == nil || !m.MayAwaitCopy() {
		snapshot, err = m.Store.Snapshot(ctx, "")
		return snapshot, true, err
	}
	snapshot, whole, err = m.Store.SnapshotWithin(ctx, "", partialSnapshotLimit)
	if err == nil && !whole {
		m.mu.Lock()
		m.partialRead = true
		m.mu.Unlock()
		if m.OnPartialSnapshot != nil {
			m.OnPartialSnapshot(snapshot.Records)
		}
	}
	return snapshot, whole, err
}

// awaitingCopy reports whether this mirror has read only the first records of a large store and still waits for a
// copy from other boxes.
func (m *Mirror) awaitingCopy() bool {
	m.mu.Lock()
	awaiting := m.partialRead && m.state.Revision == 0
	m.mu.Unlock()
	return awaiting && m.MayAwaitCopy != nil && m.MayAwaitCopy()
}

// applySnapshot replaces the state by a snapshot. If a newer delta was applied meanwhile, it only takes the records
// that the copy lacks.
func (m *Mirror) applySnapshot(snapshot kv.Snapshot) {
	records := make(map[string]kv.Record, len(snapshot.Records))
	for _, record := range snapshot.Records {
		records[record.Key] = record
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if kv.Precedes(snapshot.Revision, kv.EpochOf(m.state.Revision)) {
		m.reportOlder(snapshot.Revision)
		return // It was answered late: the store has come back from a copy since.
	}
	previousCurrentAt := m.freshness.confirmed
	m.confirmByStore()
	if snapshot.Revision < m.state.Revision {
		m.reportOlder(snapshot.Revision)
		m.fillMissing(records)
		return
	}
	m.missing = missingRecords{}
	if snapshot.Revision > m.state.Revision {
		m.removals.reset(snapshot.Revision)
	}
	m.replaceAll(snapshot.Revision, FromSnapshot, records, previousCurrentAt)
}

// reportOlder reports a snapshot that is older than the copy. The caller holds the lock.
func (m *Mirror) reportOlder(snapshot int64) {
	if m.OnOlderSnapshot != nil {
		m.OnOlderSnapshot(snapshot, m.state.Revision)
	}
}

// fillMissing takes records that this copy lacks from a snapshot that is older than the copy. It takes those that the
// snapshot has at the missing revision or a later one. The caller holds the lock.
func (m *Mirror) fillMissing(records map[string]kv.Record) {
	if len(m.missing.revisions) == 0 {
		return
	}
	var put []kv.Record
	for key, revision := range m.missing.revisions {
		if record, found := records[key]; found && record.Revision >= revision {
			put = append(put, record)
			delete(m.missing.revisions, key)
		}
	}
	m.applyChange(m.state.Revision, FromSnapshot, put, nil, m.freshness.confirmed)
}
