package cluster

import "time"

// holderTTL is how long a report of the order holder is valid after the holder itself sent it. It is a little longer
// than the order lease (3 s).
const holderTTL = 4 * time.Second

// holderReport is the latest report of the order holder, with the time when the holder itself sent it.
type holderReport struct {
	orderHolder
	sent time.Time
}

// valid reports whether the report names a holder and is at most holderTTL old.
func (r holderReport) valid(now time.Time) bool {
	return r.Name != "" && now.Sub(r.sent) <= holderTTL
}

// Holder returns the peer address of the order holder as last reported. ok is false if none is known.
func (m *Members) Holder() (address string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holder.valid(time.Now()) {
		return "", false
	}
	return m.holder.Address, true
}

// HighestTerm returns the highest term of the order lease that another box ever reported.
func (m *Members) HighestTerm() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.highestTerm
}

// reportedHolder returns the order holder to report to other boxes; nil if none is known.
func (m *Members) reportedHolder() *orderHolder {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.holder.valid(now) {
		return nil
	}
	holder := m.holder.orderHolder
	holder.Age = now.Sub(m.holder.sent)
	return &holder
}

// applyHolder applies a box's report of the order holder. The highest term wins, and within one term the latest
// report. The caller holds the lock.
func (m *Members) applyHolder(from string, reported *orderHolder, now time.Time) {
	if m.holder.Name == from && (reported == nil || reported.Name != from) {
		m.holder = holderReport{} // The box itself reports that it is no longer the holder.
	}
	if reported == nil || reported.Name == m.self.Name {
		return
	}
	m.highestTerm = max(m.highestTerm, reported.Term)
	sent := now.Add(-reported.Age)
	stale := now.Sub(m.holder.sent) > holderTTL
	if stale || reported.Term > m.holder.Term || (reported.Term == m.holder.Term && sent.After(m.holder.sent)) {
		m.holder = holderReport{orderHolder: *reported, sent: sent}
	}
}
