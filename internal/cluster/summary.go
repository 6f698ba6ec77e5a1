package cluster

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// add adds another load summary.
func (s *loadSummary) add(other loadSummary) {
	s.Boxes += other.Boxes
	s.StoreLost += other.StoreLost
	for id, load := range other.Loads {
		sum := s.Loads[id]
		sum.Add(load)
		s.Loads[id] = sum
	}
	s.Uses = append(s.Uses, other.Uses...)
}

// merged returns the uses with each named once.
func merged(uses []residency.ModelUse) []residency.ModelUse {
	index := make(map[residency.ModelUse]int, len(uses))
	var list []residency.ModelUse
	for _, use := range uses {
		key := use
		key.Running = 0
		at, ok := index[key]
		if !ok {
			at = len(list)
			index[key] = at
			list = append(list, key)
		}
		list[at].Running += use.Running
	}
	return list
}

// summaryFor adds to this box's own summary what the box named to is sent under a scope.
func (m *Members) summaryFor(to string, sent scope, sum loadSummary) *loadSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for name, other := range m.byName {
		if other.summary.fresh(now) && name != to && covers(sent, other.summary.scope) {
			sum.add(other.summary.loadSummary)
		}
	}
	sum.Uses = merged(sum.Uses)
	if sent == fleetScope && !m.holdsOrderLease(to) {
		sum.Uses = nil // Only the order holder looks at them.
	}
	return &sum
}

// holdsOrderLease reports whether a box reported itself as the order holder. The caller holds the lock.
func (m *Members) holdsOrderLease(name string) bool {
	other := m.byName[name]
	return other != nil && other.report.holdsOrderLease
}

// receivers is how many boxes this one sends load summaries of others regularly: those that follow it as a
// relay, and the other relays.
func (m *Members) receivers(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, other := range m.byName {
		if other.summary.fresh(now) && (other.summary.scope == memberScope || other.summary.scope == hallScope) {
			count++
		}
	}
	return count
}

// takesPieces reports whether a box reads what is packed.
func (m *Members) takesPieces(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.byName[name]
	return other != nil && other.report.pieces
}

// covers reports whether a summary sent under a scope includes one that was received under
// another.
func covers(sent, received scope) bool {
	switch sent {
	case hallScope:
		return received == memberScope
	case fleetScope:
		return received == memberScope || received == hallScope
	}
	return false
}

// others adds up what all other boxes have under way, as far as they reported it. The caller
// holds the lock.
func (m *Members) others(now time.Time) loadSummary {
	sum := loadSummary{Loads: map[string]dispatch.Load{}}
	if relay := m.latestRelay(now); relay != nil {
		sum.add(relay.summary.loadSummary)
		return sum
	}
	for _, other := range m.byName {
		if other.summary.fresh(now) && other.summary.scope != fleetScope {
			sum.add(other.summary.loadSummary)
		}
	}
	return sum
}

// otherBoxes adds up what all other boxes have under way, as far as they reported it.
func (m *Members) otherBoxes(now time.Time) loadSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others(now)
}

// latestRelay is the relay that last sent a summary of the fleet; nil if there is none, or if this
// box is a relay itself. The caller holds the lock.
func (m *Members) latestRelay(now time.Time) *member {
	if !m.large() || m.relaying(now) {
		return nil
	}
	var latest *member
	for _, other := range m.byName {
		if other.summary.scope != fleetScope || !other.summary.fresh(now) {
			continue
		}
		if latest == nil || other.summary.received.After(latest.summary.received) {
			latest = other
		}
	}
	return latest
}
