package gateway

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// tallyTime is how long a peer's word on what is under way is believed.
const tallyTime = 1500 * time.Millisecond

// fresh tells whether a machine's tally is believed.
func (m *member) fresh(now time.Time) bool { return now.Sub(m.tallied) < tallyTime }

// add sums another tally up.
func (t *tally) add(other tally) {
	t.Machines += other.Machines
	t.StoreLost += other.StoreLost
	for id, load := range other.Loads {
		sum := t.Loads[id]
		sum.Add(load)
		t.Loads[id] = sum
	}
	t.Uses = append(t.Uses, other.Uses...)
}

// merged returns the uses with each named once.
func merged(uses []residency.AdapterUse) []residency.AdapterUse {
	index := make(map[residency.AdapterUse]int, len(uses))
	var list []residency.AdapterUse
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

// ownTally is what this machine itself has under way.
func (c *cluster) ownTally() tally {
	own := tally{Machines: 1, Loads: c.gateway.Loads.Loads(), Uses: c.gateway.uses.list()}
	if c.storeLost() {
		own.StoreLost = 1
	}
	return own
}

// tallyFor is what a peer is told by a voice; nil if nothing.
func (c *cluster) tallyFor(to string, speaks voice) *tally {
	if speaks == noVoice {
		return nil
	}
	sum := c.ownTally()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for name, m := range c.nodes {
		if !m.fresh(now) || name == to {
			continue
		}
		zone := m.voice == memberVoice && (speaks == zoneVoice || speaks == fleetVoice)
		beyond := m.voice == zoneVoice && speaks == fleetVoice
		if zone || beyond {
			sum.add(m.tally)
		}
	}
	sum.Uses = merged(sum.Uses)
	return &sum
}

// others sums up what all other machines have under way, as far as they were heard. The caller
// holds the lock.
func (c *cluster) others(now time.Time) tally {
	sum := tally{Loads: map[string]dispatch.Load{}}
	if relay := c.relayHeard(now); relay != nil {
		sum.add(relay.tally)
		return sum
	}
	for _, m := range c.nodes {
		if m.fresh(now) && m.voice != fleetVoice {
			sum.add(m.tally)
		}
	}
	return sum
}

// relayHeard is the relay that spoke last for all the others; nil if there is none, or if this
// machine is a relay itself. The caller holds the lock.
func (c *cluster) relayHeard(now time.Time) *member {
	if !c.large() || c.relaying(now) {
		return nil
	}
	var latest *member
	for _, m := range c.nodes {
		if m.voice == fleetVoice && m.fresh(now) && (latest == nil || m.tallied.After(latest.tallied)) {
			latest = m
		}
	}
	return latest
}

// takeStock has routing and the order holder know what all machines have under way.
func (c *cluster) takeStock(now time.Time) {
	c.mu.Lock()
	others := c.others(now)
	c.mu.Unlock()
	c.gateway.Loads.SetRemoteLoads(others.Loads)
	if _, err := c.controller.Term(); err == nil {
		c.controller.SetAdapterUses(append(c.gateway.uses.list(), others.Uses...))
	}
}

// storeLostByAll tells whether this machine and every other one that is known said lately that
// they do not reach the store.
func (c *cluster) storeLostByAll() bool {
	if !c.storeLost() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	others := c.others(time.Now())
	return len(c.nodes) > 0 && others.Machines == len(c.nodes) && others.StoreLost == others.Machines
}
