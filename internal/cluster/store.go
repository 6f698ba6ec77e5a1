package cluster

import (
	"math"
	"time"
)

// Watchers is how many boxes watch the store for all boxes. Two is the least number with which watching continues
// when one is lost.
const Watchers = 2

// notWatching is the rank of a box that does not watch the store for others.
const notWatching = math.MaxInt

// WatchRank returns this box's rank among those that may watch the store for all boxes; it does if the rank is below
// Watchers. In a small fleet the boxes rank by name, in a large one the relays rank by hall.
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
		if name < m.self.Name && other.mayWatch(now) {
			rank++
		}
	}
	return rank
}

// ReadsFirst reports whether this box is one of those that read the store first when it came back from a copy, and from
// which the others take it: the relays of a large fleet, or the first boxes of a small one by name. A box that knows no
// other one reads by itself.
func (m *Members) ReadsFirst() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.large() {
		return m.isRelay(now)
	}
	before := 0
	for name, other := range m.byName {
		if name < m.self.Name && !other.report.leaving && !other.call.lost() && now.Sub(other.report.received) < reportTTL {
			before++
		}
	}
	return before < Watchers
}

// mayWatch reports whether a box of a small fleet may watch the store for all boxes.
func (o *member) mayWatch(now time.Time) bool {
	recent := now.Sub(o.report.received) < reportTTL
	return !o.report.storeLost && !o.report.leaving && !o.call.lost() && recent
}

// relayRank returns a relay's rank, by hall, among the relays that reach the store. The caller holds the lock.
func (m *Members) relayRank(now time.Time) int {
	if !m.isRelay(now) {
		return notWatching
	}
	rank := 0
	for _, other := range m.reporting {
		if other.Hall < m.self.Hall && other.actsAsRelay(now) && !other.report.storeLost && !other.report.leaving {
			rank++
		}
	}
	return rank
}

// ReachesStore returns the peer address of a box that the store recently answered.
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

// StoreLostByAll reports whether this box and every other known box recently reported that they do not reach the
// store.
func (m *Members) StoreLostByAll() bool {
	if !m.storeLost() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	others := m.reportedSummary(time.Now())
	return len(m.byName) > 0 && others.Boxes == len(m.byName) && others.StoreLost == others.Boxes
}
