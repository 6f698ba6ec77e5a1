package cluster

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// This file decides which boxes are asked for a tunnel, and in which order.

const (
	// maxOwnHallExits is how many of the first boxes asked are of this one's hall, while there are others.
	maxOwnHallExits = 2
	// exitRetryDelay is how long a box that could not carry a tunnel is not asked for another one.
	exitRetryDelay = time.Second
	// hallRetryDelay is how long the boxes of a hall are asked last after one of them could not carry a tunnel.
	hallRetryDelay = 5 * time.Second
)

// exitState is what a box knows about another one as an exit. The zero value is an exit that was not asked yet.
type exitState struct {
	// open counts the open tunnels through it.
	open int
	// unavailableAt is when it last could not carry a tunnel, and silentAt when an upstream last did not answer it: it may
	// have lost its links as well.
	unavailableAt, silentAt time.Time
}

// idle reports whether nothing about the exit matters any more.
func (e exitState) idle(now time.Time) bool {
	return e.open == 0 && now.Sub(e.unavailableAt) >= exitRetryDelay && now.Sub(e.silentAt) >= exitRetryDelay
}

// exits returns the boxes to ask for a tunnel in order: those through which this box has the fewest, so that its
// callers' requests are spread over all boxes, and among equals those of its hall first. Those that just found an upstream
// silent come last, and before them those in halls where that happened: a whole hall may have lost its links.
func (t *Tunnels) exits() []Box {
	now := time.Now()
	boxes := t.Members.exits(now)
	rand.Shuffle(len(boxes), func(i, k int) { boxes[i], boxes[k] = boxes[k], boxes[i] })
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.byExit, func(_ string, state exitState) bool { return state.idle(now) })
	boxes = slices.DeleteFunc(boxes, func(box Box) bool { return now.Sub(t.byExit[box.Name].unavailableAt) < exitRetryDelay })
	rank := func(box Box) [3]int {
		rank := [3]int{0, t.byExit[box.Name].open, 0}
		switch {
		case now.Sub(t.byExit[box.Name].silentAt) < exitRetryDelay:
			rank[0] = 2
		case now.Sub(t.hallFailedAt[box.Hall]) < hallRetryDelay:
			rank[0] = 1
		}
		if box.Hall != t.Members.self.Hall {
			rank[2] = 1
		}
		return rank
	}
	slices.SortStableFunc(boxes, func(a, b Box) int {
		rankA, rankB := rank(a), rank(b)
		return slices.Compare(rankA[:], rankB[:])
	})
	return t.limitOwnHall(boxes)
}

// limitOwnHall moves the boxes of this one's hall beyond the first maxOwnHallExits behind those of other halls: a whole
// hall may have lost its links.
func (t *Tunnels) limitOwnHall(boxes []Box) []Box {
	first := make([]Box, 0, len(boxes))
	var rest []Box
	ownHall := 0
	for _, box := range boxes {
		if box.Hall == t.Members.self.Hall {
			ownHall++
			if ownHall > maxOwnHallExits {
				rest = append(rest, box)
				continue
			}
		}
		first = append(first, box)
	}
	return append(first, rest...)
}

// exits returns the other boxes that may carry a tunnel: they can, are not about to stop, answer the exchange and have
// not reported that they lost their own links.
func (m *Members) exits(now time.Time) []Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Box
	for _, other := range m.byName {
		recent := now.Sub(other.report.received) < reportTTL
		unable := other.call.lost() || recent && (other.report.leaving || other.report.linksLost)
		if other.CarriesTunnels && !unable {
			list = append(list, other.Box)
		}
	}
	return list
}
