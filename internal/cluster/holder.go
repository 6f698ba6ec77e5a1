package cluster

import "time"

// holderTTL is how long a report of the order holder counts, from when the holder itself sent it.
// A little longer than the order lease lasts (3 s).
const holderTTL = 4 * time.Second

// holderReport is the latest report of the order holder, and when the holder itself sent it.
type holderReport struct {
	orderHolder
	sent time.Time
}

// counts reports whether the report names a holder and is recent enough.
func (r holderReport) counts(now time.Time) bool {
	return r.Name != "" && now.Sub(r.sent) <= holderTTL
}

// Holder is the address of the box that last reported to hold the order lease.
func (m *Members) Holder() (address string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holder.counts(time.Now()) {
		return "", false
	}
	return m.holder.Address, true
}

// reportedHolder is the order holder to pass on to other boxes; nil if none is known.
func (m *Members) reportedHolder() *orderHolder {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.holder.counts(now) {
		return nil
	}
	holder := m.holder.orderHolder
	holder.Age = now.Sub(m.holder.sent)
	return &holder
}

// takeHolder takes a box's report of the order holder. The highest term counts, and of one term
// the latest report. The caller holds the lock.
func (m *Members) takeHolder(from string, reported *orderHolder, now time.Time) {
	if m.holder.Name == from && (reported == nil || reported.Name != from) {
		m.holder = holderReport{} // The box itself reports that it is not the holder any more.
	}
	if reported == nil || reported.Name == m.self.Name {
		return
	}
	sent := now.Add(-reported.Age)
	stale := now.Sub(m.holder.sent) > holderTTL
	if stale || reported.Term > m.holder.Term || (reported.Term == m.holder.Term && sent.After(m.holder.sent)) {
		m.holder = holderReport{orderHolder: *reported, sent: sent}
	}
}
