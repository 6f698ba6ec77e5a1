package gateway

import (
	"math"
	"time"
)

// holder is the address of the machine that last said to hold the order lease.
func (c *cluster) holder() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *member
	for _, m := range c.nodes {
		if !m.holder || time.Since(m.heard) > holderTime {
			continue
		}
		if best == nil || m.term > best.term {
			best = m
		}
	}
	if best == nil {
		return "", false
	}
	return best.Address, true
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

// storeLostByAll tells whether this machine and every other one that is known said lately that
// they do not reach the store.
func (c *cluster) storeLostByAll() bool {
	if !c.storeLost() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.nodes {
		if !m.storeLost || time.Since(m.heard) > wordTime {
			return false
		}
	}
	return len(c.nodes) > 0
}

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

// lostFailures is after how many failed exchanges in a row a machine counts as lost.
const lostFailures = 2

// heardTime is how long a machine that says nothing counts as there. Where not all machines
// exchange news with each other, one that is registered counts for longer. The caller holds the
// lock.
func (c *cluster) heardTime() time.Duration {
	if len(c.nodes) > fullMesh {
		return memberTime
	}
	return wordTime
}

// notWatching is the rank of a machine that can't watch.
const notWatching = math.MaxInt

// watchRank is this machine's place among those that watch the store for all: 0 and 1 do.
func (c *cluster) watchRank() int {
	if c.storeLost() {
		return notWatching
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rank := 0
	for name, m := range c.nodes {
		if name < c.self.Name && !m.storeLost && !m.leaving && m.failures < lostFailures && time.Since(m.heard) < c.heardTime() {
			rank++
		}
	}
	return rank
}
