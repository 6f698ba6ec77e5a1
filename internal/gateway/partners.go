package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// round starts an exchange with each peer that is this machine's to call now.
func (c *cluster) round(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	names := c.forgetGone(now)
	due := c.partners(now)
	c.mu.Unlock()
	c.demand.Note(c.boxes.collect(c.gateway.Book, names), now)
	c.controller.Used(c.self.Name, c.gateway.uses.list())
	c.gateway.Directory.Forget()
	c.gateway.Book.SetPeers(len(names))
	for _, m := range due {
		go c.exchangeWith(ctx, m)
	}
}

// forgetGone drops machines that are neither registered nor heard, and returns the names of the
// others. The caller holds the lock.
func (c *cluster) forgetGone(now time.Time) []string {
	names := make([]string, 0, len(c.nodes))
	for name, m := range c.nodes {
		if !m.registered && now.Sub(m.heard) > memberTime {
			delete(c.nodes, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

const (
	// fullMesh is up to how many other machines each exchanges news with all of them. Beyond,
	// it calls the one that gives orders, those that watch the store and a few at random, so
	// that no machine hears of every request.
	fullMesh = 16
	// randomPartners is how many of the others are called in a round then.
	randomPartners = 3
	// watchers is how many machines watch the store for all.
	watchers = 2
)

// partners are the peers to call now. The caller holds the lock.
func (c *cluster) partners(now time.Time) []*member {
	var due []*member
	for _, name := range c.partnerNames(now) {
		m := c.nodes[name]
		rest := min(longFailurePause, time.Duration(m.failures)*failurePause)
		if m.calling || now.Sub(m.failed) < rest {
			continue
		}
		m.calling = true
		due = append(due, m)
	}
	return due
}

func (c *cluster) partnerNames(now time.Time) []string {
	all := slices.Sorted(maps.Keys(c.nodes))
	if len(all) > fullMesh {
		return c.fewPartners(all, now)
	}
	silence := 4 * exchangeInterval
	return slices.DeleteFunc(all, func(name string) bool {
		// The smaller name calls; the other one only if it hears nothing.
		return c.self.Name > name && now.Sub(c.nodes[name].heard) <= silence
	})
}

// fewPartners picks the holder of the order lease, the machines that watch the store, and a few
// at random.
func (c *cluster) fewPartners(all []string, now time.Time) []string {
	var picked []string
	watching := 0
	for _, name := range all {
		m := c.nodes[name]
		reaches := !m.storeLost && !m.leaving && m.failures < lostFailures && now.Sub(m.heard) < memberTime
		watches := reaches && watching < watchers && name < c.self.Name
		if watches {
			watching++
		}
		if watches || (m.holder && now.Sub(m.heard) < memberTime) {
			picked = append(picked, name)
		}
	}
	for range randomPartners {
		if name := all[rand.IntN(len(all))]; !slices.Contains(picked, name) {
			picked = append(picked, name)
		}
	}
	return picked
}
