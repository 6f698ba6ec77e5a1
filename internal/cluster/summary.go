package cluster

import (
	"maps"
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
func (m *Members) summaryFor(to string, sent scope, own loadSummary) *loadSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if sent == fleetScope && !m.holdsOrderLease(to) {
		own.Uses = nil // Only the order holder looks at them.
		return m.relaySum(now).without(to, own)
	}
	for name, other := range m.reporting {
		if other.summary.fresh(now) && name != to && covers(sent, other.summary.scope) {
			own.add(other.summary.loadSummary)
		}
	}
	own.Uses = merged(own.Uses)
	return &own
}

// sumTTL is for how long a relay uses one sum. A fifth of the time between two exchanges of a box with its relay.
const sumTTL = 50 * time.Millisecond

// relaySum is what a relay's hall and the other relays report, added up once for all boxes of the hall: a relay of 50
// boxes answers 200 exchanges a second, and takes a box's own part off the sum for each.
type relaySum struct {
	loadSummary
	at time.Time
	// parts are the reports in the sum, by name.
	parts map[string]loadSummary
}

// relaySum returns the sum of a moment ago. The caller holds the lock, and changes nothing of the sum.
func (m *Members) relaySum(now time.Time) *relaySum {
	if m.sum != nil && now.Sub(m.sum.at) < sumTTL {
		return m.sum
	}
	sum := &relaySum{at: now, parts: map[string]loadSummary{}}
	sum.Loads = map[string]dispatch.Load{}
	for name, other := range m.reporting {
		if other.summary.fresh(now) && covers(fleetScope, other.summary.scope) {
			sum.add(other.summary.loadSummary)
			sum.parts[name] = other.summary.loadSummary
		}
	}
	m.sum = sum
	return sum
}

// without adds to a box's own summary the loads of all others in the sum but one.
func (s *relaySum) without(name string, own loadSummary) *loadSummary {
	all := loadSummary{Boxes: s.Boxes, StoreLost: s.StoreLost, Loads: maps.Clone(s.Loads)}
	part := s.parts[name]
	all.Boxes -= part.Boxes
	all.StoreLost -= part.StoreLost
	for id, load := range part.Loads {
		left := all.Loads[id]
		left.Subtract(load)
		all.Loads[id] = left
	}
	all.add(own)
	return &all
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
	for _, other := range m.reporting {
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

// readsBinary reports whether a box reads activity in binary form.
func (m *Members) readsBinary(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.byName[name]
	return other != nil && other.report.readsBinary
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
// holds the lock, and changes nothing of it.
func (m *Members) others(now time.Time) loadSummary {
	if relay := m.latestRelay(now); relay != nil {
		return relay.summary.loadSummary
	}
	sum := loadSummary{Loads: map[string]dispatch.Load{}}
	for _, other := range m.reporting {
		if other.summary.fresh(now) && other.summary.scope != fleetScope {
			sum.add(other.summary.loadSummary)
		}
	}
	return sum
}

// otherBoxes adds up what all other boxes have under way, as far as they reported it. The caller changes nothing
// of it.
func (m *Members) otherBoxes(now time.Time) loadSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.large() && m.relaying(now) {
		return m.relaySum(now).loadSummary
	}
	return m.others(now)
}

// latestRelay is the relay that last sent a summary of the fleet; nil if there is none, or if this
// box is a relay itself. The caller holds the lock.
func (m *Members) latestRelay(now time.Time) *member {
	if !m.large() || m.relaying(now) {
		return nil
	}
	var latest *member
	for _, other := range m.reporting {
		if other.summary.scope != fleetScope || !other.summary.fresh(now) {
			continue
		}
		if latest == nil || other.summary.received.After(latest.summary.received) {
			latest = other
		}
	}
	return latest
}

// relayedAge is about how old what a relay adds up is when it tells it: half of the times between two reports of a box and
// between two of another relay.
const relayedAge = memberInterval/2 + exchangeInterval/2

// othersAsOf is as of when what otherBoxes returns is, on average.
func (m *Members) othersAsOf(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.large() && m.relaying(now) {
		return m.relaySum(now).at.Add(-relayedAge)
	}
	if relay := m.latestRelay(now); relay != nil {
		return relay.summary.received.Add(-relayedAge)
	}
	var age time.Duration
	counted := 0
	for _, other := range m.reporting {
		if other.summary.fresh(now) && other.summary.scope != fleetScope {
			age += now.Sub(other.summary.received)
			counted++
		}
	}
	return now.Add(-age / time.Duration(max(1, counted)))
}
