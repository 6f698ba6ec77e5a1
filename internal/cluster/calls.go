package cluster

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// exchangeInterval is the least time between two exchanges with one box, and memberInterval
	// that between a box and the relay of its hall.
	exchangeInterval = 150 * time.Millisecond
	memberInterval   = 250 * time.Millisecond
	// silence is after how long a box calls another one whose part it is to call.
	silence = 4 * exchangeInterval
	// randomInterval is how often a box of a large fleet calls another one at random, so that
	// updates also spread where relays fail.
	randomInterval = 2 * time.Second
	// lostFailures is after how many failed exchanges in a row a box counts as lost. One failure
	// may be a dropped connection.
	lostFailures = 2
	// backoffStep is the pause after a failed exchange, by failures in a row, and longestBackoff
	// bounds it.
	backoffStep    = 200 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// callState is the state of the exchanges that this box begins with another one.
type callState struct {
	// underway means that an exchange is under way; started is when the last one began.
	underway bool
	started  time.Time
	// failed is when an exchange last failed, and failures how many did in a row.
	failed   time.Time
	failures int
}

// lost reports whether the box did not answer several times in a row.
func (c *callState) lost() bool { return c.failures >= lostFailures }

// backoff is how long the box is left alone after its last failure. A failed call costs up to
// CallTimeout; the pause is linear and short, so that a box that returns is found within it.
func (c *callState) backoff() time.Duration {
	return min(longestBackoff, time.Duration(c.failures)*backoffStep)
}

// due reports whether the box may be called again.
func (c *callState) due(now time.Time, every time.Duration) bool {
	return !c.underway && now.Sub(c.failed) >= c.backoff() && now.Sub(c.started) >= every
}

// begin notes that an exchange begins.
func (c *callState) begin(now time.Time) { c.underway, c.started = true, now }

// call is an exchange to begin now.
type call struct {
	to            *member
	name, address string
	scope         scope
}

// planned is a box to call regularly.
type planned struct {
	*member
	scope scope
	// every is the least time between two calls.
	every time.Duration
}

// nextCalls drops the boxes that are gone, and returns whom to gather updates for and whom to call
// now.
func (m *Members) nextCalls(now time.Time) ([]target, []call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetGone(now)
	if !m.large() {
		return m.allTargets(), m.begin(m.meshPlan(now), now)
	}
	plan := m.relayPlan(now)
	return m.relayTargets(plan, now), m.begin(m.withRandom(plan, now), now)
}

// targets returns whom to gather updates for.
func (m *Members) targets(now time.Time) []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.large() {
		return m.allTargets()
	}
	return m.relayTargets(m.relayPlan(now), now)
}

// callsTo begins calls without a load summary to the boxes named that are not being called.
func (m *Members) callsTo(names map[string]bool, now time.Time) []call {
	m.mu.Lock()
	defer m.mu.Unlock()
	var plan []planned
	for name := range names {
		if other := m.byName[name]; other != nil {
			plan = append(plan, planned{member: other, scope: noScope})
		}
	}
	return m.begin(plan, now)
}

// begin begins the planned calls that are due. The caller holds the lock.
func (m *Members) begin(plan []planned, now time.Time) []call {
	var calls []call
	for _, p := range plan {
		if !p.call.due(now, p.every) {
			continue
		}
		p.call.begin(now)
		calls = append(calls, call{to: p.member, name: p.Name, address: p.Address, scope: p.scope})
	}
	return calls
}

// failed notes that an exchange failed, and returns whether it is the first failure in a row.
func (m *Members) failed(c call) (first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := &c.to.call
	state.underway = false
	state.failed = time.Now()
	state.failures++
	return state.failures == 1
}

// answered notes that an exchange was answered, and returns whether the last one had failed.
func (m *Members) answered(c call) (regained bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := &c.to.call
	regained = state.failures > 0
	state.underway, state.failures = false, 0
	return regained
}

// meshPlan has each pair of boxes exchange: the smaller name calls, the other one only if it
// receives nothing. The caller holds the lock.
func (m *Members) meshPlan(now time.Time) []planned {
	var plan []planned
	for _, other := range m.byName {
		if m.self.Name < other.Name || now.Sub(other.report.received) > silence {
			plan = append(plan, planned{member: other, scope: ownScope})
		}
	}
	return plan
}

// relayPlan has a box call the relay of its hall, and a relay those of the other halls. The caller
// holds the lock.
func (m *Members) relayPlan(now time.Time) []planned {
	if !m.relaying(now) {
		return firstAnswering(m.ranked(m.self.Hall, now), memberScope, memberInterval)
	}
	var plan []planned
	for _, hall := range m.halls() {
		for _, p := range firstAnswering(m.ranked(hall, now), hallScope, 0) {
			sent := p.summary.scope == hallScope && now.Sub(p.report.received) <= silence
			calls := p.Name < m.self.Name && sent
			if !calls {
				plan = append(plan, p)
			}
		}
	}
	return plan
}

// firstAnswering plans calls to the first box of a list that answers, and to those before it
// without a summary, to learn when they are back.
func firstAnswering(list []*member, sent scope, every time.Duration) []planned {
	var plan []planned
	for _, other := range list {
		if !other.call.lost() {
			return append(plan, planned{member: other, scope: sent, every: every})
		}
		plan = append(plan, planned{member: other, scope: noScope})
	}
	return plan
}

// withRandom adds a box at random to a plan, if its time has come. The caller holds the lock.
func (m *Members) withRandom(plan []planned, now time.Time) []planned {
	if now.Sub(m.randomCall) < randomInterval {
		return plan
	}
	m.randomCall = now
	all := slices.Sorted(maps.Keys(m.byName))
	return append(plan, planned{member: m.byName[all[rand.IntN(len(all))]], scope: noScope})
}
