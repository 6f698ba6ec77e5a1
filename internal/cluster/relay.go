package cluster

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// fullMesh is up to how many other boxes each box exchanges with all of them. Beyond, one relay a
// hall adds up what its hall has under way and the relays send each other their sums: no box
// learns of every request, and little crosses halls.
const fullMesh = 16

// large reports whether there are too many boxes for each to call all others. The caller holds
// the lock.
func (m *Members) large() bool { return len(m.byName) > fullMesh }

// Large reports whether boxes learn of each other through relays.
func (m *Members) Large() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.large()
}

// byPreference orders boxes by how well they serve as a relay: the most processor time first.
func byPreference(a, b Box) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), strings.Compare(a.Name, b.Name))
}

// mayRelay reports whether a box may be the relay of a hall: it is there and does not leave. In
// this box's own hall it also has to be preferred to this box.
func (m *Members) mayRelay(other *member, hall string, now time.Time) bool {
	there := other.registered || now.Sub(other.report.received) < memberTTL
	if other.Hall != hall || other.report.leaving || !there {
		return false
	}
	return hall != m.self.Hall || byPreference(other.Box, m.self) <= 0
}

// byRank lists the other boxes of a hall, the preferred relay first. The order is kept until a box comes, goes or
// changes: boxes look at it several times in each round. The caller holds the lock.
func (m *Members) byRank(hall string) []*member {
	if m.ranking == nil {
		m.ranking = map[string][]*member{}
		for _, other := range m.byName {
			m.ranking[other.Hall] = append(m.ranking[other.Hall], other)
		}
		for _, list := range m.ranking {
			slices.SortFunc(list, func(a, b *member) int { return byPreference(a.Box, b.Box) })
		}
	}
	return m.ranking[hall]
}

// ranked lists the other boxes of a hall that may be its relay, the preferred one first. The caller
// holds the lock.
func (m *Members) ranked(hall string, now time.Time) []*member {
	var list []*member
	for _, other := range m.byRank(hall) {
		if m.mayRelay(other, hall, now) {
			list = append(list, other)
		}
	}
	return list
}

// relaying reports whether this box acts as a relay of its hall: no better one answers, or others
// send it their summaries because they reach no better one. The caller holds the lock.
func (m *Members) relaying(now time.Time) bool {
	for _, other := range m.reporting {
		if other.summary.fresh(now) && other.summary.scope == memberScope {
			return true
		}
	}
	for _, other := range m.byRank(m.self.Hall) {
		if m.mayRelay(other, m.self.Hall, now) && !other.call.lost() {
			return false
		}
	}
	return true
}

// relays reports whether another box acts as a relay lately.
func (o *member) relays(now time.Time) bool {
	return o.summary.scope == hallScope && o.summary.fresh(now)
}

// FollowsRelay reports whether this box learns of the others of a large fleet from a relay.
func (m *Members) FollowsRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.large() && !m.relaying(time.Now())
}

// Relay returns the name of the box that this one follows in a large fleet; empty if it follows none.
func (m *Members) Relay() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.large() || m.relaying(now) {
		return ""
	}
	for _, other := range m.ranked(m.self.Hall, now) {
		if !other.call.lost() {
			return other.Name
		}
	}
	return ""
}

// halls lists all halls that boxes are known in. The caller holds the lock.
func (m *Members) halls() []string {
	m.byRank(m.self.Hall)
	known := map[string]bool{m.self.Hall: true}
	for hall := range m.ranking {
		known[hall] = true
	}
	return slices.Sorted(maps.Keys(known))
}
