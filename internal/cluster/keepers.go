package cluster

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// keeperRetry is for how long a box that did not answer is not asked again as a keeper. A request that finds out anew
// waits for customers.Spender's timeout in vain.
const keeperRetry = time.Second

// keeperOf returns the box that keeps a customer's quota, or an engine's reservations, for all boxes, this one among them.
// All boxes agree on it while they have the same list from the store, without a word between them; only what a box kept
// that comes or goes gets another keeper. A box with twice the processor time keeps twice as many. One that the store does
// not list yet keeps none while it knows others, who do not know of it.
func (m *Members) keeperOf(name string) Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.keepers == nil {
		m.keepers = map[string]Box{}
	}
	if keeper, ok := m.keepers[name]; ok {
		return keeper
	}
	keeper, most := m.self, preference(m.self, name)
	if !m.listed {
		most = 0
	}
	for _, other := range m.byName {
		if !other.registered {
			continue
		}
		if weight := preference(other.Box, name); weight > most {
			keeper, most = other.Box, weight
		}
	}
	m.keepers[name] = keeper
	return keeper
}

// Keeps reports whether this box keeps what has a name for all boxes.
func (m *Members) Keeps(name string) bool { return m.keeperOf(name).Name == m.self.Name }

// hallKeeper returns the box that keeps quotas for this box's hall: its relay, which knows how many boxes of the hall are in
// touch with it. It is this box if no better one answers.
func (m *Members) hallKeeper() Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range m.ranked(m.self.Hall, time.Now()) {
		if !other.call.lost() {
			return other.Box
		}
	}
	return m.self
}

// preference is how much a box is preferred as the keeper of a name: weighted rendezvous hashing by processor time.
func preference(box Box, name string) float64 {
	cores := box.Cores
	if !(cores > 0) {
		cores = 1
	}
	const range53 = 1 << 53
	point := (float64(xxhash.Sum64String(name+"\x00"+box.Name)>>11) + 0.5) / range53
	return -cores / math.Log(point)
}

// keeperLost notes that a box did not answer as a keeper, and returns whether it answered before.
func (m *Members) keeperLost(name, method string, now time.Time) (first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.byName[name]
	if other == nil {
		return false
	}
	first = other.unanswered[method].IsZero()
	if other.unanswered == nil {
		other.unanswered = map[string]time.Time{}
	}
	other.unanswered[method] = now
	return first
}

// keeperAnswered notes that a box answered as a keeper, and returns whether it did not before.
func (m *Members) keeperAnswered(name, method string) (regained bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.byName[name]
	if other == nil || other.unanswered[method].IsZero() {
		return false
	}
	delete(other.unanswered, method)
	return true
}

// asksKeeper reports whether a box may be asked as a keeper now.
func (m *Members) asksKeeper(name, method string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.byName[name]
	return other != nil && now.Sub(other.unanswered[method]) >= keeperRetry
}

const (
	// startTime is for how long a box that has just started does not know how many others are in touch with it.
	startTime = 2 * time.Second
	// startShare is what it takes its part for meanwhile, at least: with its true part, customers within their limits would be
	// refused after all boxes lost power. It is a little more than customers usually spend: with less than all, a start behind
	// a cut overspends by a second's rate at most.
	startShare = 0.6
	// unlistedShare is the part of a limit that a box holds which the store does not list yet: it does not know how many
	// others there are. A hundredth of a limit grants single requests.
	unlistedShare = 0.01
)

// shareInTouch is the part of all boxes that this one is in touch with, itself included. Over both sides of a cut the
// parts add up to 1 once the reports of the other side have run out.
func (m *Members) shareInTouch(now time.Time) float64 {
	if !m.Listed() {
		return unlistedShare
	}
	inTouch := 1 + m.otherBoxes(now).Boxes
	share := min(1, float64(inTouch)/float64(m.Boxes()))
	if now.Sub(m.started) < startTime {
		return max(startShare, share)
	}
	return share
}

// shareOfHall is the part of all boxes that are in touch with this one and in its hall, itself included.
func (m *Members) shareOfHall(now time.Time) float64 {
	all := m.Boxes()
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 1
	for _, other := range m.reporting {
		reportsItself := other.summary.scope == memberScope || other.summary.scope == ownScope
		if other.Hall == m.self.Hall && reportsItself && other.summary.fresh(now) {
			count++
		}
	}
	return min(1, float64(count)/float64(all))
}
