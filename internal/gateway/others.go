package gateway

import (
	"math"
	"time"
)

// holder is the address of the machine that last said to hold the order lease.
func (c *cluster) holder() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told.Name == "" || time.Since(c.told.said) > holderTime {
		return "", false
	}
	return c.told.Address, true
}

// orderHolder is the machine that holds the order lease, as far as this one knows; nil if none is
// known.
func (c *cluster) orderHolder() *orderHolder {
	if term, err := c.controller.Term(); err == nil {
		return &orderHolder{Name: c.self.Name, Address: c.self.Address, Term: term}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told.Name == "" || time.Since(c.told.said) > holderTime {
		return nil
	}
	told := c.told.orderHolder
	told.Age = time.Since(c.told.said)
	return &told
}

// noteHolder takes a peer's word on the order holder: the highest term counts, and of one term
// the latest word. The caller holds the lock.
func (c *cluster) noteHolder(from string, said *orderHolder, now time.Time) {
	if c.told.Name == from && (said == nil || said.Name != from) {
		c.told = heardHolder{} // It says itself that it is not the holder any more.
	}
	if said == nil || said.Name == c.self.Name {
		return
	}
	at := now.Add(-said.Age)
	stale := now.Sub(c.told.said) > holderTime
	if stale || said.Term > c.told.Term || (said.Term == c.told.Term && at.After(c.told.said)) {
		c.told = heardHolder{orderHolder: *said, said: at}
	}
}

// addressOf returns the peer address of a machine, if it is known.
func (c *cluster) addressOf(name string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.nodes[name]
	if !ok {
		return "", false
	}
	return m.Address, true
}

// wordTime is how long a peer's word on the store is believed.
const wordTime = 1500 * time.Millisecond

// reachesStore returns a machine that heard the store lately.
func (c *cluster) reachesStore() (address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.nodes {
		if !m.storeLost && !m.leaving && time.Since(m.storeHeard) < wordTime {
			return m.Address, true
		}
	}
	return "", false
}

// watchers is how many machines watch the store for all.
const watchers = 2

// notWatching is the rank of a machine that does not watch the store for others.
const notWatching = math.MaxInt

// watchRank is this machine's place among those that watch the store for all: 0 and 1 do. In a
// large fleet they are relays.
func (c *cluster) watchRank() int {
	if c.storeLost() {
		return notWatching
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.large() {
		return c.relayRank(now)
	}
	rank := 0
	for name, m := range c.nodes {
		if name < c.self.Name && !m.storeLost && !m.leaving && m.failures < lostFailures && now.Sub(m.heard) < wordTime {
			rank++
		}
	}
	return rank
}

// relayRank is a relay's place among the relays that reach the store, by zone. The caller holds the
// lock.
func (c *cluster) relayRank(now time.Time) int {
	if !c.relaying(now) {
		return notWatching
	}
	rank := 0
	for _, m := range c.nodes {
		if m.Zone < c.self.Zone && m.voice == zoneVoice && m.fresh(now) && !m.storeLost && !m.leaving {
			rank++
		}
	}
	return rank
}
