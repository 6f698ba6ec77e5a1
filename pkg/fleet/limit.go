package fleet

import (
	"slices"
	"time"
)

// This file has the limits that upstreams name in their answers: how many requests a second one takes from all boxes together. A limit lasts
// for as long as answers name it: the first one that does not, to a request sent after the latest one that did, ends it. Boxes tell each
// other, and what an answer told last goes first.

// limitMemory is for how long it is kept that a limit has ended: far longer than reports of it are under way between boxes.
const limitMemory = time.Minute

// Limit is what is known of the limit of one upstream.
type Limit struct {
	PerSecond float64
	// At is when the latest answer told of it; zero if none did.
	At time.Time
	// Ended means that this answer named none.
	Ended bool
}

// Named reports whether there is a limit.
func (l Limit) Named() bool { return !l.At.IsZero() && !l.Ended }

// same reports whether two limits bind alike.
func (l Limit) same(other Limit) bool {
	return l.Named() == other.Named() && (!l.Named() || l.PerSecond == other.PerSecond)
}

// LimitReport is what one box tells another of the limit of an upstream.
type LimitReport struct {
	Upstream string `json:"upstream"`
	// PerSecond is the limit; nil if it has ended.
	PerSecond *float64 `json:"perSecond,omitempty"`
	// Age is how long ago an answer told so.
	Age time.Duration `json:"age"`
}

// report is what another box is told of a limit.
func (l Limit) report(upstream string, now time.Time) LimitReport {
	report := LimitReport{Upstream: upstream, Age: now.Sub(l.At)}
	if l.Named() {
		report.PerSecond = &l.PerSecond
	}
	return report
}

// limit is what a report tells.
func (r LimitReport) limit(now time.Time) Limit {
	limit := Limit{At: now.Add(-max(0, min(r.Age, limitMemory))), Ended: r.PerSecond == nil}
	if r.PerSecond != nil {
		limit.PerSecond = max(0, *r.PerSecond)
	}
	return limit
}

// Limit returns what this box knows of the limit of an upstream.
func (d *Directory) Limit(id string) Limit {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.told[id].limit
}

// takeLimit takes what an answer tells of the limit, and returns what is new of that. The caller holds the lock.
func (t *told) takeLimit(now time.Time, n Notice) (named *float64, ended bool) {
	before := t.limit
	switch {
	case n.Limit != nil:
		t.limit = Limit{PerSecond: *n.Limit, At: now}
	case n.Unlimited && before.Named() && before.At.Before(n.begun):
		t.limit = Limit{At: now, Ended: true}
	}
	if t.limit.same(before) {
		return nil, false
	}
	return n.Limit, t.limit.Ended
}

// noteLimitChanged has the other boxes told of an upstream's limit, and has this box ask anew whether it may send there. The caller holds
// the lock.
func (d *Directory) noteLimitChanged(id string) {
	d.changedLimits[id] = true
	delete(d.heldBack, id)
}

// NoteLimits takes in what another box told, and returns the upstreams of which that is news. Upstreams that this box does not list are left
// out, and of what is older than what it knows another box is told again.
func (d *Directory) NoteLimits(reports []LimitReport) (news []string) {
	now := time.Now()
	for _, report := range reports {
		if d.noteLimit(report, now) {
			news = append(news, report.Upstream)
		}
	}
	return news
}

func (d *Directory) noteLimit(report LimitReport, now time.Time) (isNews bool) {
	if isNews = d.storeLimit(report, now); isNews && d.OnNotice != nil {
		d.OnNotice(Noted{
			Notice: Notice{Limit: report.PerSecond, Unlimited: report.PerSecond == nil, Source: SourceBox}, Upstream: report.Upstream,
		})
	}
	return isNews
}

func (d *Directory) storeLimit(report LimitReport, now time.Time) (isNews bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := report.Upstream
	if d.states[id] == nil {
		return false
	}
	known, told := d.told[id], report.limit(now)
	isNews = !known.limit.same(told)
	if known.limit.At.After(told.At) {
		if isNews {
			d.changedLimits[id] = true
		}
		return false
	}
	known.limit, known.lastKnown = told, now
	d.told[id] = known
	if isNews {
		delete(d.heldBack, id)
	}
	return isNews
}

// TakeChangedLimits returns the upstreams whose limits other boxes are to be told of, once.
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

// LimitedUpstreams lists the upstreams that name a limit, in the order of their ids.
func (d *Directory) LimitedUpstreams() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var ids []string
	for id, known := range d.told {
		if known.limit.Named() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// LimitReports returns what other boxes are told of the limits of upstreams, as far as anything is known of them.
func (d *Directory) LimitReports(ids []string) []LimitReport {
	d.mu.RLock()
	defer d.mu.RUnlock()
	now := time.Now()
	var reports []LimitReport
	for _, id := range ids {
		if limit := d.told[id].limit; !limit.At.IsZero() {
			reports = append(reports, limit.report(id, now))
		}
	}
	return reports
}
