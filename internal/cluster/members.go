package cluster

import (
	"sync"
	"time"
)

// Members is what this box knows of the other boxes of the fleet. It is safe for concurrent use.
type Members struct {
	self Box
	// started is when this box began to look for others.
	started time.Time
	// storeLost reports whether this box could not reach the store at its last try.
	storeLost func() bool

	mu     sync.Mutex
	byName map[string]*member
	// ranking has the boxes of each hall, the preferred relay first; nil once a box has come, gone or changed.
	ranking map[string][]*member
	// keepers are the boxes that keep customers' quotas, as far as they were asked for; nil once the list has changed.
	keepers map[string]Box
	// reporting are the boxes that sent a load summary, by name; few of a large fleet send this box theirs.
	reporting map[string]*member
	// sum is what those of a relay add up to, as of a moment ago.
	sum *relaySum
	// listed means that the store has listed this box since it started.
	listed bool
	// holder is the latest report of the order holder.
	holder holderReport
	// most is the largest number of boxes, this one included, that was known at once.
	most int
	// randomCall is when a box was last called that is not among the regular ones.
	randomCall time.Time
}

// NewMembers returns a membership of which only this box is known.
func NewMembers(self Box, storeLost func() bool) *Members {
	return &Members{self: self, started: time.Now(), storeLost: storeLost, byName: map[string]*member{}, reporting: map[string]*member{}, most: 1}
}

const (
	// reportTTL is how long a box's report of itself counts: its load summary, and that it
	// reaches the store. Ten exchanges of a small fleet.
	reportTTL = 1500 * time.Millisecond
	// memberTTL is how long a box is kept that the store does not list and that sends nothing.
	// Ten times what a relay takes to answer again.
	memberTTL = 15 * time.Second
)

// member is another box.
type member struct {
	Box
	// registered means that the store lists it now.
	registered bool
	report     selfReport
	summary    receivedSummary
	call       callState
	// unanswered is when the box last did not answer a method of keepers, if it has not since.
	unanswered map[string]time.Time
}

// selfReport is what a box last reported of itself.
type selfReport struct {
	// received is when this box received it.
	received  time.Time
	leaving   bool
	storeLost bool
	// storeAnswered is when the store last answered the box.
	storeAnswered time.Time
	// holdsOrderLease means that the box reported itself as the order holder.
	holdsOrderLease bool
	// pieces and readsBinary are those of its messages.
	pieces, readsBinary bool
}

// receivedSummary is the load summary that a box last sent.
type receivedSummary struct {
	loadSummary
	scope    scope
	received time.Time
}

// fresh reports whether a load summary still counts.
func (s *receivedSummary) fresh(now time.Time) bool { return now.Sub(s.received) < reportTTL }

// SetRegistered takes the store's list of boxes, of which this box may be one.
func (m *Members) SetRegistered(boxes []Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keepers = nil
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
	m.noteSize()
}

// Listed reports whether the store has listed this box since it started, as far as is known. One that it did not list
// yet has just started, and may know few of the boxes that started with it; one whose registration was lost later knows
// the others.
func (m *Members) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// AwaitsListing reports whether this box has just started, and the store will probably list it in a moment.
func (m *Members) AwaitsListing() bool {
	return !m.Listed() && !m.storeLost() && time.Since(m.started) < startTime
}

// update returns the state of a box, under its latest address and incarnation. The caller holds
// the lock.
func (m *Members) update(box Box) *member {
	other := m.byName[box.Name]
	if other == nil {
		other = &member{}
		m.byName[box.Name] = other
	}
	if other.Box != box {
		m.ranking, m.keepers = nil, nil
	}
	if other.Incarnation != box.Incarnation {
		other.unanswered = nil
		other.report.holdsOrderLease, other.call.failures = false, 0
		other.summary = receivedSummary{} // What the earlier process had under way ended with it.
	}
	other.Box = box
	return other
}

// noteSize keeps the largest number of boxes. The caller holds the lock.
func (m *Members) noteSize() { m.most = max(m.most, len(m.byName)+1) }

// Boxes is the largest number of boxes that was known at once: they share the fleet's budgets.
func (m *Members) Boxes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.most)
}

// takeReport takes what a box reported of itself and of the order holder.
func (m *Members) takeReport(received message, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sender := m.update(received.From)
	sender.report.received = now
	sender.report.pieces, sender.report.readsBinary = received.Pieces, received.ReadsBinary
	sender.report.leaving, sender.report.storeLost = received.Leaving, received.StoreLost
	if received.StoreAge >= 0 {
		sender.report.storeAnswered = now.Add(-received.StoreAge)
	}
	sender.report.holdsOrderLease = received.OrderHolder != nil && received.OrderHolder.Name == received.From.Name
	m.takeHolder(received.From.Name, received.OrderHolder, now)
	if received.Summary != nil {
		sender.summary = receivedSummary{loadSummary: *received.Summary, scope: received.Scope, received: now}
		m.reporting[received.From.Name] = sender
	}
	m.noteSize()
}

// forgetGone drops boxes that are not registered and send nothing. The caller holds the lock.
func (m *Members) forgetGone(now time.Time) {
	for name, other := range m.byName {
		if !other.registered && now.Sub(other.report.received) > memberTTL {
			delete(m.byName, name)
			delete(m.reporting, name)
			m.ranking, m.keepers = nil, nil
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

// addresses lists where other boxes are reached that the store lists, in no order.
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
