package cluster

import (
	"maps"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// add adds another load summary to s.
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

// mergeUses returns the uses with those of the same model, adapter and upstream added up.
func mergeUses(uses []residency.ModelUse) []residency.ModelUse {
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

// summaryFor returns the summary to send to a box under a scope: this box's own, with those of other boxes that the
// scope covers.
func (m *Members) summaryFor(to string, sent scope, own loadSummary) *loadSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if sent == fleetScope && !m.holdsOrderLease(to) {
		own.Uses = nil // Only the order holder uses them.
		return m.relaySum(now).without(to, own)
	}
	for name, other := range m.reporting {
		if other.summary.fresh(now) && name != to && covers(sent, other.summary.scope) {
			own.add(other.summary.loadSummary)
		}
	}
	own.Uses = mergeUses(own.Uses)
	return &own
}

// relaySumTTL is how long a relay reuses one sum. It is a fifth of the time between two exchanges of a box with its
// relay.
const relaySumTTL = 50 * time.Millisecond

// relaySum is the sum of what a relay's hall and the other relays report, computed once for all boxes of the hall. A
// relay of 50 boxes answers 200 exchanges a second, and subtracts the receiver's own part from the sum for each.
type relaySum struct {
	loadSummary
	computedAt time.Time
	// parts are the summaries in the sum, by name of the box.
	parts map[string]loadSummary
}

// relaySum returns the cached sum, or a new one if that has expired. The caller holds the lock, and must not modify
// the sum.
func (m *Members) relaySum(now time.Time) *relaySum {
	if m.cachedSum != nil && now.Sub(m.cachedSum.computedAt) < relaySumTTL {
		return m.cachedSum
	}
	sum := &relaySum{computedAt: now, parts: map[string]loadSummary{}}
	sum.Loads = map[string]dispatch.Load{}
	for name, other := range m.reporting {
		if other.summary.fresh(now) && covers(fleetScope, other.summary.scope) {
			sum.add(other.summary.loadSummary)
			sum.parts[name] = other.summary.loadSummary
		}
	}
	m.cachedSum = sum
	return sum
}

// without returns the sum of all loads except those of the named box, with this box's own summary added.
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

// summaryReceivers returns how many boxes this one regularly sends load summaries of others: those that follow it as
// a relay, and the other relays.
func (m *Members) summaryReceivers(now time.Time) int {
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

// readsPacked reports whether a box reads packed data.
func (m *Members) readsPacked(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.byName[name]
	return other != nil && other.report.pieces
}

// readsBinary reports whether a box reads activity in binary format.
func (m *Members) readsBinary(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.byName[name]
	return other != nil && other.report.readsBinary
}

// covers reports whether a summary sent under one scope includes a summary that was received under another.
func covers(sent, received scope) bool {
	switch sent {
	case hallScope:
		return received == memberScope
	case fleetScope:
		return received == memberScope || received == hallScope
	}
	return false
}

// reportedSummary adds up the load of all other boxes that reported it. The caller holds the lock, and must not
// modify the result.
func (m *Members) reportedSummary(now time.Time) loadSummary {
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

// remoteSummary adds up the load of all other boxes that reported it. The caller must not modify the result.
func (m *Members) remoteSummary(now time.Time) loadSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.large() && m.isRelay(now) {
		return m.relaySum(now).loadSummary
	}
	return m.reportedSummary(now)
}

// latestRelay returns the relay that last sent a summary of the fleet; nil if there is none, or if this box is a
// relay itself. The caller holds the lock.
func (m *Members) latestRelay(now time.Time) *member {
	if !m.large() || m.isRelay(now) {
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

// meanRelayedAge is the mean age of a relay's sum when it is sent: half of the interval between two reports of a
// box, and half of that between two of another relay.
const meanRelayedAge = memberInterval/2 + exchangeInterval/2

// remoteSummaryTime returns the mean time at which the loads that remoteSummary returns were current.
func (m *Members) remoteSummaryTime(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.large() && m.isRelay(now) {
		return m.relaySum(now).computedAt.Add(-meanRelayedAge)
	}
	if relay := m.latestRelay(now); relay != nil {
		return relay.summary.received.Add(-meanRelayedAge)
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
