package fleet

import (
	"math"
	"slices"
	"time"
)

// This file has the limits that upstreams name in their answers: how many requests a second one accepts from
// all boxes together, and how many it can reject in a second without failing. A limit lasts for as long as answers name it. It ends with the first
// answer that names none and whose request was sent after the latest answer that did. Boxes report
// limits to each other, and the latest answer takes precedence.

// endedLimitRetention is how long the end of a limit is remembered: far longer than reports of it
// travel between boxes.
const endedLimitRetention = time.Minute

// Limit holds what is known about the limits of one upstream.
type Limit struct {
	// PerSecond is the number of requests per second that it accepts; +Inf if it names none.
	PerSecond float64
	// Rejections is how many requests it can reject in any second, for want of room, without failing; +Inf if it names
	// none.
	Rejections float64
	// At is when the latest answer stated it; zero if none did.
	At time.Time
	// Ended means that this answer named no limit.
	Ended bool
}

// Named reports whether a limit is in force.
func (l Limit) Named() bool { return !l.At.IsZero() && !l.Ended }

// same reports whether two limits have the same effect.
func (l Limit) same(other Limit) bool {
	return l.Named() == other.Named() && (!l.Named() || l.PerSecond == other.PerSecond && l.Rejections == other.Rejections)
}

// newLimit returns the limit that names the given values; nil names none.
func newLimit(perSecond, rejections *float64, at time.Time) Limit {
	limit := Limit{PerSecond: math.Inf(1), Rejections: math.Inf(1), At: at, Ended: perSecond == nil && rejections == nil}
	if perSecond != nil {
		limit.PerSecond = max(0, *perSecond)
	}
	if rejections != nil {
		limit.Rejections = max(0, *rejections)
	}
	return limit
}

// LimitReport is the report of one box to another about the limits of an upstream. They have ended if it names none.
type LimitReport struct {
	Upstream string `json:"upstream"`
	// PerSecond and Rejections are those of Limit; nil if the upstream names none.
	PerSecond  *float64 `json:"perSecond,omitempty"`
	Rejections *float64 `json:"rejections,omitempty"`
	// Age is the time since the answer that stated it.
	Age time.Duration `json:"age"`
}

// toReport returns the report of a limit for another box.
func (l Limit) toReport(upstream string, now time.Time) LimitReport {
	report := LimitReport{Upstream: upstream, Age: now.Sub(l.At)}
	if l.Named() && !math.IsInf(l.PerSecond, 1) {
		report.PerSecond = &l.PerSecond
	}
	if l.Named() && !math.IsInf(l.Rejections, 1) {
		report.Rejections = &l.Rejections
	}
	return report
}

// toLimit returns the limit that a report describes. Its age is cut to the range from 0 to
// endedLimitRetention.
func (r LimitReport) toLimit(now time.Time) Limit {
	return newLimit(r.PerSecond, r.Rejections, now.Add(-max(0, min(r.Age, endedLimitRetention))))
}

// Limit returns what this box knows about the limit of an upstream.
func (d *Directory) Limit(id string) Limit {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.notices[id].limit
}

// updateLimit applies what an answer states about the limits, and reports whether they changed. The caller holds the
// lock.
func (s *noticeState) updateLimit(now time.Time, n Notice) (changed bool) {
	previous := s.limit
	switch {
	case n.Limit != nil || n.Rejections != nil:
		s.limit = newLimit(n.Limit, n.Rejections, now)
	case n.Unlimited && previous.Named() && previous.At.Before(n.requestStart):
		s.limit = newLimit(nil, nil, now)
	}
	return !s.limit.same(previous)
}

// recordLimitChange marks an upstream's limit to be reported to other boxes. It also ends the deferral
// of requests, so that this box asks again whether it may send there. The caller holds the lock.
func (d *Directory) recordLimitChange(id string) {
	d.changedLimits[id] = true
	delete(d.deferredUntil, id)
}

// ApplyLimitReports applies what another box reported, and returns the upstreams whose limits changed. It
// skips upstreams that this box does not list. Where a report is older than what this box knows and
// differs from it, this box reports that upstream's limit to the others again.
func (d *Directory) ApplyLimitReports(reports []LimitReport) (changed []string) {
	now := time.Now()
	for _, report := range reports {
		if d.applyLimitReport(report, now) {
			changed = append(changed, report.Upstream)
		}
	}
	return changed
}

func (d *Directory) applyLimitReport(report LimitReport, now time.Time) (changed bool) {
	if changed = d.storeLimitReport(report, now); changed && d.OnNotice != nil {
		d.OnNotice(NoticeEvent{
			Notice: Notice{
				Limit: report.PerSecond, Rejections: report.Rejections, Unlimited: report.PerSecond == nil && report.Rejections == nil, Source: SourceBox,
			},
			Upstream: report.Upstream,
		})
	}
	return changed
}

func (d *Directory) storeLimitReport(report LimitReport, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := report.Upstream
	if d.states[id] == nil {
		return false
	}
	stored, reported := d.notices[id], report.toLimit(now)
	changed = !stored.limit.same(reported)
	if stored.limit.At.After(reported.At) {
		if changed {
			d.changedLimits[id] = true
		}
		return false
	}
	stored.limit, stored.lastSeen = reported, now
	d.notices[id] = stored
	if changed {
		delete(d.deferredUntil, id)
	}
	return changed
}

// TakeChangedLimits returns the upstreams whose limits are to be reported to other boxes, and forgets
// them.
func (d *Directory) TakeChangedLimits() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id := range d.changedLimits {
		ids = append(ids, id)
	}
	clear(d.changedLimits)
	slices.Sort(ids)
	return ids
}

// LimitedUpstreams returns the upstreams that name a limit, sorted by id.
func (d *Directory) LimitedUpstreams() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var ids []string
	for id, stored := range d.notices {
		if stored.limit.Named() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// LimitReports returns the reports of upstreams' limits for other boxes. It skips upstreams whose
// answers stated nothing about one.
func (d *Directory) LimitReports(ids []string) []LimitReport {
	d.mu.RLock()
	defer d.mu.RUnlock()
	now := time.Now()
	var reports []LimitReport
	for _, id := range ids {
		if limit := d.notices[id].limit; !limit.At.IsZero() {
			reports = append(reports, limit.toReport(id, now))
		}
	}
	return reports
}
