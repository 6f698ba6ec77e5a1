package kv

import (
	"maps"
	"time"
)

// Checkpoint is a copy of the state of a Memory.
type Checkpoint struct {
	takenAt   time.Time
	sequence  int64
	keys      map[string]memoryKey
	leases    map[int64]memoryLease
	lastLease int64
	changes   int
}

// Checkpoint returns a copy of the present state.
func (m *Memory) Checkpoint() Checkpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	leases := make(map[int64]memoryLease, len(m.leases))
	for id, lease := range m.leases {
		leases[id] = *lease
	}
	return Checkpoint{
		takenAt: time.Now(), sequence: m.sequence, keys: maps.Clone(m.keys), leases: leases, lastLease: m.lastLease, changes: len(m.history),
	}
}

// Restore goes back to an earlier state and raises the epoch: what was written since is lost, and revisions and lease
// ids are given out again. Leases have the time left that they had in the copy. All watches end.
func (m *Memory) Restore(c Checkpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch++
	m.sequence, m.keys, m.lastLease = c.sequence, maps.Clone(c.keys), c.lastLease
	m.leases = make(map[int64]*memoryLease, len(c.leases))
	for id, lease := range c.leases {
		lease.expires = lease.expires.Add(time.Since(c.takenAt))
		m.leases[id] = &lease
	}
	m.history = m.history[:c.changes:c.changes]
	m.notifyWatches()
}

// Epoch returns the number of times that the state was restored, plus the epoch at the start.
func (m *Memory) Epoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}
