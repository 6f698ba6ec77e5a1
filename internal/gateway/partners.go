package gateway

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// fullMesh is up to how many other machines each exchanges news with all of them. Beyond, one
	// relay a zone sums up what its zone has under way, and the relays tell each other, so that
	// no machine hears of every request and little crosses zones.
	fullMesh = 16
	// silence is after how long a machine calls a peer whose turn it is to call.
	silence = 4 * exchangeInterval
	// strayInterval is how often a machine calls another one at random, so that news also spreads
	// where relays fail.
	strayInterval = 2 * time.Second
)

// partner is a peer to call now.
type partner struct {
	*member
	name, address string
	voice         voice
}

// planned is a peer to call regularly.
type planned struct {
	*member
	voice voice
	every time.Duration
}

// partners are the peers to call now. The caller holds the lock.
func (c *cluster) partners(now time.Time) []partner {
	var due []partner
	for _, p := range c.plan(now) {
		rest := min(longFailurePause, time.Duration(p.failures)*failurePause)
		if p.calling || now.Sub(p.failed) < rest || now.Sub(p.called) < p.every {
			continue
		}
		p.calling, p.called = true, now
		due = append(due, partner{member: p.member, name: p.Name, address: p.Address, voice: p.voice})
	}
	return due
}

// plan lists the peers to call. The caller holds the lock.
func (c *cluster) plan(now time.Time) []planned {
	if !c.large() {
		return c.meshPlan(now)
	}
	plan := c.relayPlan(now)
	if now.Sub(c.strayed) >= strayInterval {
		c.strayed = now
		all := slices.Sorted(maps.Keys(c.nodes))
		plan = append(plan, planned{member: c.nodes[all[rand.IntN(len(all))]], voice: noVoice})
	}
	return plan
}

// large tells whether there are too many machines for each to talk to all. The caller holds the
// lock.
func (c *cluster) large() bool { return len(c.nodes) > fullMesh }

// meshPlan has each pair of machines exchange their news: the smaller name calls, the other one
// only if it hears nothing. The caller holds the lock.
func (c *cluster) meshPlan(now time.Time) []planned {
	var plan []planned
	for _, m := range c.nodes {
		if c.self.Name < m.Name || now.Sub(m.heard) > silence {
			plan = append(plan, planned{member: m, voice: ownVoice})
		}
	}
	return plan
}

// relayPlan has a machine call the relay of its zone, and a relay those of the other zones. The
// caller holds the lock.
func (c *cluster) relayPlan(now time.Time) []planned {
	if !c.relaying(now) {
		return c.upTo(c.ranked(c.self.Zone, now), memberVoice, memberInterval)
	}
	var plan []planned
	for _, zone := range c.zones() {
		for _, p := range c.upTo(c.ranked(zone, now), zoneVoice, 0) {
			calledBy := p.Name < c.self.Name && p.member.voice == zoneVoice && now.Sub(p.tallied) <= silence
			if !calledBy {
				plan = append(plan, p)
			}
		}
	}
	return plan
}

// upTo plans calls to the first machine of a list that answers, and to those before it now and
// then, to learn when they are back. The caller holds the lock.
func (c *cluster) upTo(list []*member, speaks voice, every time.Duration) []planned {
	var plan []planned
	for _, m := range list {
		if m.failures < lostFailures {
			return append(plan, planned{member: m, voice: speaks, every: every})
		}
		plan = append(plan, planned{member: m, voice: noVoice})
	}
	return plan
}

// zones lists all zones that machines are known in. The caller holds the lock.
func (c *cluster) zones() []string {
	known := map[string]bool{c.self.Zone: true}
	for _, m := range c.nodes {
		known[m.Zone] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// ranked lists the other machines of a zone that may be its relay, the preferred one first; in
// this machine's own zone only those that are preferred to it. The caller holds the lock.
func (c *cluster) ranked(zone string, now time.Time) []*member {
	var list []*member
	for _, m := range c.nodes {
		there := m.registered || now.Sub(m.heard) < memberTime
		if m.Zone != zone || m.leaving || !there {
			continue
		}
		if zone == c.self.Zone && byPreference(m.node, c.self) > 0 {
			continue
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return byPreference(a.node, b.node) })
	return list
}

// byPreference orders machines by how well they serve as a relay: the strongest first.
func byPreference(a, b node) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), strings.Compare(a.Name, b.Name))
}

// relaying tells whether this machine acts as a relay of its zone: no better one answers, or
// others ask it. The caller holds the lock.
func (c *cluster) relaying(now time.Time) bool {
	better := slices.ContainsFunc(c.ranked(c.self.Zone, now), func(m *member) bool { return m.failures < lostFailures })
	if !better {
		return true
	}
	for _, m := range c.nodes {
		if m.fresh(now) && m.voice == memberVoice {
			return true
		}
	}
	return false
}

// followsRelay tells whether this machine of a large fleet hears of the others from a relay.
func (c *cluster) followsRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.large() && !c.relaying(time.Now())
}

// targets are the peers to gather news for. The caller holds the lock.
func (c *cluster) targets(now time.Time) []target {
	var targets []target
	if !c.large() {
		for name := range c.nodes {
			targets = append(targets, target{name: name, work: true})
		}
		return targets
	}
	for _, p := range c.relayPlan(now) {
		targets = append(targets, target{name: p.Name, work: true, relay: true})
	}
	for name, m := range c.nodes {
		planned := slices.ContainsFunc(targets, func(t target) bool { return t.name == name })
		if planned || !m.fresh(now) {
			continue
		}
		switch m.voice {
		case memberVoice:
			targets = append(targets, target{name: name, work: m.holder})
		case zoneVoice:
			targets = append(targets, target{name: name, work: true, relay: true})
		}
	}
	return targets
}
