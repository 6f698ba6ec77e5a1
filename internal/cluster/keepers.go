package cluster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// keeperRetryDelay is how long a keeper that failed to answer is not called again. A request that tries it again
// waits for customers.Spender's timeout in vain.
const keeperRetryDelay = time.Second

// keeperOf returns the box, possibly this one, that keeps an account for all boxes. name is the customer whose quota
// it is, or the upstream whose reservations or rate limit it is. All boxes agree on the keeper without communication
// while they have the same list from the store. When a box is added or removed, only the names that it keeps get
// another keeper. A box with twice the processor time keeps twice as many names. A box that the store does not list
// yet keeps none while it knows others, because these do not know it yet.
func (m *Members) keeperOf(name string) Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.keepers == nil {
		m.keepers = map[string]Box{}
	}
	if keeper, ok := m.keepers[name]; ok {
		return keeper
	}
	keeper, maxWeight := m.self, rendezvousWeight(m.self, name)
	if !m.listed {
		maxWeight = 0
	}
	for _, other := range m.byName {
		if !other.registered {
			continue
		}
		if weight := rendezvousWeight(other.Box, name); weight > maxWeight {
			keeper, maxWeight = other.Box, weight
		}
	}
	m.keepers[name] = keeper
	return keeper
}

// forgetKeepers drops the cached keepers after the list of boxes has changed. The caller holds the lock.
func (m *Members) forgetKeepers() { m.keepers, m.originKeepers = nil, nil }

// maxOriginKeepers bounds the boxes that are asked where a stream began: those that keep its record, and the ones that
// take over from them.
const maxOriginKeepers = 4

// originKeepersOf returns up to maxOriginKeepers boxes that keep records of where streams began under a name, in the
// same order at all boxes that have the same list from the store. The first two are in different halls if there are
// several. The caller may change the slice.
func (m *Members) originKeepersOf(name string) []Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.originKeepers == nil {
		m.originKeepers = map[string][]Box{}
	}
	ranked, ok := m.originKeepers[name]
	if !ok {
		ranked = m.rankKeepers(name)
		ranked = slices.Clone(ranked[:min(len(ranked), maxOriginKeepers)])
		m.originKeepers[name] = ranked
	}
	return slices.Clone(ranked)
}

// rankKeepers ranks the boxes that keep records of where streams began. The caller holds the lock.
func (m *Members) rankKeepers(name string) []Box {
	var boxes []Box
	if m.listed || len(m.byName) == 0 {
		boxes = append(boxes, m.self)
	}
	for _, other := range m.byName {
		if other.registered && other.KeepsOrigins {
			boxes = append(boxes, other.Box)
		}
	}
	slices.SortFunc(boxes, func(a, b Box) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(b, name), rendezvousWeight(a, name)), cmp.Compare(a.Name, b.Name))
	})
	for at := 1; at < len(boxes); at++ {
		if boxes[at].Hall != boxes[0].Hall {
			second := boxes[at]
			return slices.Insert(slices.Delete(boxes, at, at+1), 1, second)
		}
	}
	return boxes
}

// IsKeeperOf reports whether this box is the keeper of a name.
func (m *Members) IsKeeperOf(name string) bool { return m.keeperOf(name).Name == m.self.Name }

// hallKeeper returns the box that keeps quotas for this box's hall: its relay, which knows how many boxes of the
// hall are in touch with it. It is this box if no better relay answers.
func (m *Members) hallKeeper() Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range m.relayCandidates(m.self.Hall, time.Now()) {
		if !other.call.lost() {
			return other.Box
		}
	}
	return m.self
}

// rendezvousWeight returns the weight of a box as the keeper of a name: rendezvous hashing weighted by processor
// time.
func rendezvousWeight(box Box, name string) float64 {
	cores := box.Cores
	if !(cores > 0) {
		cores = 1
	}
	const range53 = 1 << 53
	point := (float64(xxhash.Sum64String(name+"\x00"+box.Name)>>11) + 0.5) / range53
	return -cores / math.Log(point)
}

// recordKeeperFailure records that a keeper failed to answer, and reports whether it is the first failure in a row.
func (m *Members) recordKeeperFailure(name, method string, now time.Time) (first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.byName[name]
	if other == nil {
		return false
	}
	first = other.lastUnanswered[method].IsZero()
	if other.lastUnanswered == nil {
		other.lastUnanswered = map[string]time.Time{}
	}
	other.lastUnanswered[method] = now
	return first
}

// recordKeeperAnswer records that a keeper answered, and reports whether it had failed to before.
func (m *Members) recordKeeperAnswer(name, method string) (regained bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.byName[name]
	if other == nil || other.lastUnanswered[method].IsZero() {
		return false
	}
	delete(other.lastUnanswered, method)
	return true
}

// mayCallKeeper reports whether a keeper may be called now.
func (m *Members) mayCallKeeper(name, method string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.byName[name]
	return other != nil && now.Sub(other.lastUnanswered[method]) >= keeperRetryDelay
}

const (
	// startupPeriod is how long a box does not know after its start how many others are in touch with it.
	startupPeriod = 2 * time.Second
	// minStartupShare is the least share that a box assumes during startupPeriod. With its true share, customers
	// within their limits would be refused after all boxes lost power. It is a little more than customers usually
	// spend. It is below 1, so that a box that starts behind a network partition overspends by a second's rate at
	// most.
	minStartupShare = 0.6
	// unlistedShare is the share of a limit that a box holds before the store lists it: it does not know how many
	// others there are. A hundredth of a limit grants single requests.
	unlistedShare = 0.01
)

// reachableShare returns the share of all boxes that this one is in touch with, itself included. The shares of both
// sides of a network partition add up to 1 once the reports of the other side have expired.
func (m *Members) reachableShare(now time.Time) float64 {
	if !m.Listed() {
		return unlistedShare
	}
	share := min(1, float64(m.inTouch(now))/float64(m.Boxes()))
	if now.Sub(m.started) < startupPeriod {
		return max(minStartupShare, share)
	}
	return share
}

// inTouch returns the number of boxes that this one is in touch with, itself included.
func (m *Members) inTouch(now time.Time) int { return 1 + m.remoteSummary(now).Boxes }

// InTouch returns the number of boxes that this one is in touch with, itself included. Its cost grows with the number of
// upstreams.
func (m *Members) InTouch() int { return m.inTouch(time.Now()) }

// hallShare returns the share of all boxes that are in this box's hall and in touch with it, itself included.
func (m *Members) hallShare(now time.Time) float64 {
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
