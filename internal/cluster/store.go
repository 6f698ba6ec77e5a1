package cluster

import (
	"math"
	"time"
)

// Watchers is how many boxes watch the store for all. The least number that goes on when one
// is lost.
const Watchers = 2

// notWatching is the rank of a box that does not watch the store for others.
const notWatching = math.MaxInt

// WatchRank is this box's place among those that watch the store for all: it does if the rank is
// below Watchers. In a small fleet the boxes rank by name, in a large one the relays by hall.
func (m *Members) WatchRank() int {
	if m.storeLost() {
		return notWatching
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.large() {
		return m.relayRank(now)
	}
	rank := 0
	for name, other := range m.byName {
		if name < m.self.Name && other.watches(now) {
			rank++
		}
	}
	return rank
}

// watches reports whether a box of a small fleet may watch the store for all.
func (o *member) watches(now time.Time) bool {
	recent := now.Sub(o.report.received) < reportTTL
	return !o.report.storeLost && !o.report.leaving && !o.call.lost() && recent
}

// relayRank is a relay's place among the relays that reach the store, by hall. The caller holds
// the lock.
func (m *Members) relayRank(now time.Time) int {
	if !m.relaying(now) {
		return notWatching
	}
	rank := 0
	for _, other := range m.reporting {
		if other.Hall < m.self.Hall && other.relays(now) && !other.report.storeLost && !other.report.leaving {
			rank++
		}
	}
	return rank
}

// ReachesStore returns the peer address of a box that the store answered lately.
func (m *Members) ReachesStore() (address string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range m.byName {
		answered := time.Since(other.report.storeAnswered) < reportTTL
		if !other.report.storeLost && !other.report.leaving && answered {
			return other.Address, true
		}
	}
	return "", false
}

// StoreLostByAll reports whether this box and every other one that is known reported lately that
// they do not reach the store.
func (m *Members) StoreLostByAll() bool {
	if !m.storeLost() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	others := m.others(time.Now())
	return len(m.byName) > 0 && others.Boxes == len(m.byName) && others.StoreLost == others.Boxes
}
