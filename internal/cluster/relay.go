package cluster

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxMeshPeers is the largest number of other boxes at which all boxes exchange in a full mesh. In a larger fleet,
// one relay for each hall adds up the load of its hall, and the relays send each other these sums. No box then
// learns of every request, and little traffic crosses halls.
const maxMeshPeers = 16

// large reports whether there are too many boxes for a full mesh. The caller holds the lock.
func (m *Members) large() bool { return len(m.byName) > maxMeshPeers }

// Large reports whether boxes exchange through relays.
func (m *Members) Large() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.large()
}

// compareAsRelay orders boxes by how well they serve as a relay: the most processor time first, then by name.
func compareAsRelay(a, b Box) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), strings.Compare(a.Name, b.Name))
}

// mayRelay reports whether a box may be the relay of a hall: it is present and not leaving. In this box's own hall
// it must also be preferred to this box.
func (m *Members) mayRelay(other *member, hall string, now time.Time) bool {
	present := other.registered || now.Sub(other.report.received) < memberTTL
	if other.Hall != hall || other.report.leaving || !present {
		return false
	}
	return hall != m.self.Hall || compareAsRelay(other.Box, m.self) <= 0
}

// hallByPreference returns the other boxes of a hall, the preferred relay first. The order is cached until a box is
// added, removed or changed, because it is needed several times in each round. The caller holds the lock.
func (m *Members) hallByPreference(hall string) []*member {
	if m.ranking == nil {
		m.ranking = map[string][]*member{}
		for _, other := range m.byName {
			m.ranking[other.Hall] = append(m.ranking[other.Hall], other)
		}
		for _, list := range m.ranking {
			slices.SortFunc(list, func(a, b *member) int { return compareAsRelay(a.Box, b.Box) })
		}
	}
	return m.ranking[hall]
}

// relayCandidates returns the other boxes of a hall that may be its relay, the preferred one first. The caller holds
// the lock.
func (m *Members) relayCandidates(hall string, now time.Time) []*member {
	var list []*member
	for _, other := range m.hallByPreference(hall) {
		if m.mayRelay(other, hall, now) {
			list = append(list, other)
		}
	}
	return list
}

// isRelay reports whether this box acts as a relay of its hall: no better one answers, or others send it their
// summaries because they reach no better one. The caller holds the lock.
func (m *Members) isRelay(now time.Time) bool {
	for _, other := range m.reporting {
		if other.summary.fresh(now) && other.summary.scope == memberScope {
			return true
		}
	}
	for _, other := range m.hallByPreference(m.self.Hall) {
		if m.mayRelay(other, m.self.Hall, now) && !other.call.lost() {
			return false
		}
	}
	return true
}

// actsAsRelay reports whether another box recently sent a summary as a relay.
func (o *member) actsAsRelay(now time.Time) bool {
	return o.summary.scope == hallScope && o.summary.fresh(now)
}

// isRelayAt reports whether the box with a peer address acts as the relay of another hall.
func (m *Members) isRelayAt(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, other := range m.reporting {
		if other.Address == address {
			return other.Hall != m.self.Hall && other.actsAsRelay(now)
		}
	}
	return false
}

// FollowsRelay reports whether this box learns of the others from a relay, in a large fleet.
func (m *Members) FollowsRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.large() && !m.isRelay(time.Now())
}

// Relay returns the name of the relay that this box follows in a large fleet; empty if it follows none.
func (m *Members) Relay() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.large() || m.isRelay(now) {
		return ""
	}
	for _, other := range m.relayCandidates(m.self.Hall, now) {
		if !other.call.lost() {
			return other.Name
		}
	}
	return ""
}

// halls returns all halls in which boxes are known. The caller holds the lock.
func (m *Members) halls() []string {
	m.hallByPreference(m.self.Hall)
	known := map[string]bool{m.self.Hall: true}
	for hall := range m.ranking {
		known[hall] = true
	}
	return slices.Sorted(maps.Keys(known))
}
