package cluster

import (
	"sync"
	"time"
)

// Members holds what this box knows about the other boxes of the fleet. It is safe for concurrent use.
type Members struct {
	self Box
	// started is when this box began to look for others.
	started time.Time
	// storeLost reports whether this box failed to reach the store at its last attempt.
	storeLost func() bool

	mu     sync.Mutex
	byName map[string]*member
	// ranking holds the boxes of each hall, the preferred relay first; nil after a box was added, removed or
	// changed.
	ranking map[string][]*member
	// keepers caches the results of keeperOf; nil after the list of boxes has changed.
	keepers map[string]Box
	// originKeepers caches the results of originKeepersOf; nil after the list of boxes has changed.
	originKeepers map[string][]Box
	// reporting holds the boxes that sent a load summary, by name. In a large fleet few boxes send this one theirs.
	reporting map[string]*member
	// cachedSum is the latest result of relaySum.
	cachedSum *relaySum
	// listed means that the store has listed this box since it started.
	listed bool
	// holder is the latest report of the order holder, and highestTerm the highest term that was ever reported.
	holder      holderReport
	highestTerm int64
	// maxBoxes is the largest number of boxes known at once, this one included.
	maxBoxes int
	// lastRandomCall is when this box last called a random other box.
	lastRandomCall time.Time
}

// NewMembers returns a membership of this box alone.
func NewMembers(self Box, storeLost func() bool) *Members {
	return &Members{self: self, started: time.Now(), storeLost: storeLost, byName: map[string]*member{}, reporting: map[string]*member{}, maxBoxes: 1}
}

const (
	// reportTTL is how long a box's report of itself is valid: its load summary, and that it reaches the store. It
	// is ten exchanges of a small fleet.
	reportTTL = 1500 * time.Millisecond
	// memberTTL is how long a box is kept that the store does not list and that sends nothing. It is ten times what
	// a relay takes to answer again.
	memberTTL = 15 * time.Second
)

// member is another box.
type member struct {
	Box
	// registered means that the store lists the box now.
	registered bool
	report     selfReport
	summary    receivedSummary
	call       callState
	// lastUnanswered is when the box last failed to answer as a keeper, by method. An answer removes the method.
	lastUnanswered map[string]time.Time
}

// selfReport is the latest report of a box about itself.
type selfReport struct {
	// received is when this box received it.
	received  time.Time
	leaving   bool
	storeLost bool
	// linksLost means that the box reaches no upstream over its own links.
	linksLost bool
	// storeAnswered is when the store last answered the box.
	storeAnswered time.Time
	// holdsOrderLease means that the box reported itself as the order holder.
	holdsOrderLease bool
	// pieces and readsBinary are the fields of its latest message.
	pieces, readsBinary bool
}

// receivedSummary is the latest load summary of a box.
type receivedSummary struct {
	loadSummary
	scope    scope
	received time.Time
}

// fresh reports whether the load summary is still valid.
func (s *receivedSummary) fresh(now time.Time) bool { return now.Sub(s.received) < reportTTL }

// SetRegistered sets the store's list of boxes, which may contain this box.
func (m *Members) SetRegistered(boxes []Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetKeepers()
	for _, other := range m.byName {
		other.registered = false
	}
	for _, box := range boxes {
		if box.Name == m.self.Name {
			m.listed = true
			continue
		}
		m.update(box).registered = true
	}
	m.updateMaxBoxes()
}

// Listed reports whether the store is known to have listed this box since it started. A box that was never listed
// has just started, and may know few of the boxes that started with it. A box whose registration was lost later
// knows the others.
func (m *Members) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// AwaitsListing reports whether this box has just started and the store will probably list it soon.
func (m *Members) AwaitsListing() bool {
	return !m.Listed() && !m.storeLost() && time.Since(m.started) < startupPeriod
}

// update stores a box's latest address and incarnation, and returns its state. The caller holds the lock.
func (m *Members) update(box Box) *member {
	other := m.byName[box.Name]
	if other == nil {
		other = &member{}
		m.byName[box.Name] = other
	}
	if other.Box != box {
		m.ranking = nil
		m.forgetKeepers()
	}
	if other.Incarnation != box.Incarnation {
		other.lastUnanswered = nil
		other.report.holdsOrderLease, other.call.failures = false, 0
		other.summary = receivedSummary{} // The requests of the earlier process ended with it.
	}
	other.Box = box
	return other
}

// updateMaxBoxes updates the largest number of boxes. The caller holds the lock.
func (m *Members) updateMaxBoxes() { m.maxBoxes = max(m.maxBoxes, len(m.byName)+1) }

// Boxes returns the largest number of boxes known at once. They share the fleet's budgets.
func (m *Members) Boxes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.maxBoxes)
}

// HallBoxes returns the number of boxes that are known in this box's hall, itself included.
func (m *Members) HallBoxes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.hallByPreference(m.self.Hall)) + 1
}

// applyReport applies a box's report about itself and about the order holder.
func (m *Members) applyReport(received message, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sender := m.update(received.From)
	sender.report.received = now
	sender.report.pieces, sender.report.readsBinary = received.Pieces, received.ReadsBinary
	sender.report.leaving, sender.report.storeLost, sender.report.linksLost = received.Leaving, received.StoreLost, received.LinksLost
	if received.StoreAge >= 0 {
		sender.report.storeAnswered = now.Add(-received.StoreAge)
	}
	sender.report.holdsOrderLease = received.OrderHolder != nil && received.OrderHolder.Name == received.From.Name
	m.applyHolder(received.From.Name, received.OrderHolder, now)
	if received.Summary != nil {
		sender.summary = receivedSummary{loadSummary: *received.Summary, scope: received.Scope, received: now}
		m.reporting[received.From.Name] = sender
	}
	m.updateMaxBoxes()
}

// removeGone removes boxes that are not registered and have sent nothing for memberTTL. The caller holds the lock.
func (m *Members) removeGone(now time.Time) {
	for name, other := range m.byName {
		if !other.registered && now.Sub(other.report.received) > memberTTL {
			delete(m.byName, name)
			delete(m.reporting, name)
			m.ranking = nil
			m.forgetKeepers()
		}
	}
}

// AddressOf returns the peer address of a box, if it is known.
func (m *Members) AddressOf(name string) (address string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other, ok := m.byName[name]
	if !ok {
		return "", false
	}
	return other.Address, true
}

// addresses returns the peer addresses of the other boxes that the store lists, in no order.
func (m *Members) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, other := range m.byName {
		if other.registered {
			list = append(list, other.Address)
		}
	}
	return list
}
