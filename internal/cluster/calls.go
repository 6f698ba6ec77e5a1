package cluster

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// exchangeInterval is the minimum time between two exchanges with one box, and memberInterval that between a box
	// and the relay of its hall.
	exchangeInterval = 150 * time.Millisecond
	memberInterval   = 250 * time.Millisecond
	// silenceTimeout is how long a box waits for messages of a box that should call it before it calls that box
	// itself.
	silenceTimeout = 4 * exchangeInterval
	// randomInterval is how often a box of a large fleet calls a random other box, so that updates also spread where
	// relays fail.
	randomInterval = 2 * time.Second
	// lostAfterFailures is how many exchanges in a row must fail before a box counts as lost. A single failure may
	// be a dropped connection.
	lostAfterFailures = 2
	// backoffStep is the backoff for each failure in a row, and maxBackoff bounds the sum.
	backoffStep = 200 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// callState is the state of the exchanges that this box starts with another one.
type callState struct {
	// underway means that an exchange is in progress. startedAt is when the last one started.
	underway  bool
	startedAt time.Time
	// failedAt is when an exchange last failed, and failures is the number of failures in a row.
	failedAt time.Time
	failures int
}

// lost reports whether the last exchanges failed, lostAfterFailures or more in a row.
func (c *callState) lost() bool { return c.failures >= lostAfterFailures }

// backoff returns how long the box is not called after its last failure. A failed call costs up to CallTimeout. The
// backoff is linear and short, so that a box that returns is found within maxBackoff.
func (c *callState) backoff() time.Duration {
	return min(maxBackoff, time.Duration(c.failures)*backoffStep)
}

// due reports whether the box may be called now. minInterval is the minimum time between two calls.
func (c *callState) due(now time.Time, minInterval time.Duration) bool {
	return !c.underway && now.Sub(c.failedAt) >= c.backoff() && now.Sub(c.startedAt) >= minInterval
}

// begin records that an exchange starts.
func (c *callState) begin(now time.Time) { c.underway, c.startedAt = true, now }

// call is an exchange to start now.
type call struct {
	to            *member
	name, address string
	scope         scope
}

// plannedCall is a box to call regularly.
type plannedCall struct {
	*member
	scope scope
	// minInterval is the minimum time between two calls.
	minInterval time.Duration
}

// nextCalls removes the boxes that are gone. It returns the boxes to queue updates for and the calls to make now.
func (m *Members) nextCalls(now time.Time) ([]target, []call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeGone(now)
	if !m.large() {
		return m.allTargets(), m.beginDue(m.meshPlan(now), now)
	}
	plan := m.relayPlan(now)
	return m.relayTargets(plan, now), m.beginDue(m.withRandomCall(plan, now), now)
}

// targets returns the boxes to queue updates for.
func (m *Members) targets(now time.Time) []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.large() {
		return m.allTargets()
	}
	return m.relayTargets(m.relayPlan(now), now)
}

// beginCallsTo starts calls without a load summary to those of the named boxes that have no call in progress.
func (m *Members) beginCallsTo(names map[string]bool, now time.Time) []call {
	m.mu.Lock()
	defer m.mu.Unlock()
	var plan []plannedCall
	for name := range names {
		if other := m.byName[name]; other != nil {
			plan = append(plan, plannedCall{member: other, scope: noScope})
		}
	}
	return m.beginDue(plan, now)
}

// asked reports whether each box that this one calls regularly has sent something, or failed to answer, since a time.
func (m *Members) asked(since, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	unasked := func(other *member) bool {
		return !other.report.received.After(since) && !other.call.failedAt.After(since)
	}
	if m.large() {
		return !slices.ContainsFunc(m.relayPlan(now), func(p plannedCall) bool { return unasked(p.member) })
	}
	for _, other := range m.byName {
		if unasked(other) {
			return false
		}
	}
	return true
}

// beginDue starts the planned calls that are due. The caller holds the lock.
func (m *Members) beginDue(plan []plannedCall, now time.Time) []call {
	var calls []call
	for _, p := range plan {
		if !p.call.due(now, p.minInterval) {
			continue
		}
		p.call.begin(now)
		calls = append(calls, call{to: p.member, name: p.Name, address: p.Address, scope: p.scope})
	}
	return calls
}

// recordFailure records that an exchange failed, and reports whether it is the first failure in a row.
func (m *Members) recordFailure(c call) (first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := &c.to.call
	state.underway = false
	state.failedAt = time.Now()
	state.failures++
	return state.failures == 1
}

// recordAnswer records that an exchange was answered, and reports whether the one before it had failed.
func (m *Members) recordAnswer(c call) (regained bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := &c.to.call
	regained = state.failures > 0
	state.underway, state.failures = false, 0
	return regained
}

// meshPlan plans one call for each pair of boxes: the box with the smaller name calls. The other one calls only if
// it receives nothing for silenceTimeout. The caller holds the lock.
func (m *Members) meshPlan(now time.Time) []plannedCall {
	var plan []plannedCall
	for _, other := range m.byName {
		if m.self.Name < other.Name || now.Sub(other.report.received) > silenceTimeout {
			plan = append(plan, plannedCall{member: other, scope: ownScope})
		}
	}
	return plan
}

// relayPlan plans the calls of a large fleet: a box calls the relay of its hall, and a relay calls those of the
// other halls. The caller holds the lock.
func (m *Members) relayPlan(now time.Time) []plannedCall {
	if !m.isRelay(now) {
		return planFirstReachable(m.relayCandidates(m.self.Hall, now), memberScope, memberInterval)
	}
	var plan []plannedCall
	for _, hall := range m.halls() {
		for _, p := range planFirstReachable(m.relayCandidates(hall, now), hallScope, 0) {
			sent := p.summary.scope == hallScope && now.Sub(p.report.received) <= silenceTimeout
			calls := p.Name < m.self.Name && sent
			if !calls {
				plan = append(plan, p)
			}
		}
	}
	return plan
}

// planFirstReachable plans calls to the first box of a list that is not lost, and calls without a load summary to
// those before it, to detect when they return.
func planFirstReachable(list []*member, sent scope, minInterval time.Duration) []plannedCall {
	var plan []plannedCall
	for _, other := range list {
		if !other.call.lost() {
			return append(plan, plannedCall{member: other, scope: sent, minInterval: minInterval})
		}
		plan = append(plan, plannedCall{member: other, scope: noScope})
	}
	return plan
}

// withRandomCall adds a call of a random box to a plan if randomInterval has passed. The caller holds the lock.
func (m *Members) withRandomCall(plan []plannedCall, now time.Time) []plannedCall {
	if now.Sub(m.lastRandomCall) < randomInterval {
		return plan
	}
	m.lastRandomCall = now
	all := slices.Sorted(maps.Keys(m.byName))
	return append(plan, plannedCall{member: m.byName[all[rand.IntN(len(all))]], scope: noScope})
}
