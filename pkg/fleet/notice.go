package fleet

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// This file has what upstreams state about themselves in their answers. A Directory stores it under the
// id of one incarnation of an upstream. It binds every request that this box sends there, since all of
// them go through Begin.
//
//	notice   begins                          binds                    ends
//	leaving  with the answer that stated it  every box that knows it  with that incarnation; no list revokes it
//	backoff  with the answer that asked      this box                 after the time it asked for; see backoff
//	limit    with the answer that named it   every box that knows it  with an answer that names none; see Limit

// Notice holds what the head of one answer states about the upstream's process, apart from the answer
// itself.
type Notice struct {
	// Leaving means that the process ends soon.
	Leaving bool
	// Backoff is the backoff that the upstream asks of this box: how long it wants no requests; 0 if it
	// asked for none.
	Backoff time.Duration
	// Cold is how long the upstream stays cold; 0 if the answer does not state it.
	Cold time.Duration
	// Limit is the number of requests per second that the upstream accepts from all boxes together; nil
	// if the answer names no limit.
	Limit *float64
	// Rejections is how many requests the upstream can reject in a second without failing; nil if the answer does not name
	// it.
	Rejections *float64
	// Unlimited means that the answer names neither of these limits, and belongs to the request that was sent.
	Unlimited bool
	// Unreadable is a value that could not be parsed, which RecordNotice shortens; empty if all values could.
	Unreadable string
	// Source tells what was answered, or is SourceBox if another box reported the notice.
	Source Source
	// Status is the HTTP status of the answer.
	Status int
	// requestStart is when the answered request began.
	requestStart time.Time
}

// Source is where a notice comes from, for logs and metrics.
type Source string

// The sources of notices.
const (
	SourceRequest Source = "request"
	SourceOrder   Source = "order"
	SourceReport  Source = "report"
	SourceBox     Source = "box"
)

// Reasons why this box may not send anything to an upstream now.
const (
	ErrLeaving = errors.ConstError("upstream leaves: choose another one")
	ErrGone    = errors.ConstError("upstream is gone: choose another one")
	ErrBackoff = errors.ConstError("upstream asked this box for rest: choose another one, or come again at its end")
)

// NoticeEvent is a notice that stated something new.
type NoticeEvent struct {
	Notice
	// Upstream is its id.
	Upstream string
}

// Kinds returns the names of what a notice states.
func (n Notice) Kinds() []string {
	var kinds []string
	if n.Leaving {
		kinds = append(kinds, "leaving")
	}
	if n.Backoff > 0 {
		kinds = append(kinds, "rest")
	}
	if n.Cold > 0 {
		kinds = append(kinds, "cold")
	}
	if n.Limit != nil {
		kinds = append(kinds, "limit")
	}
	if n.Rejections != nil {
		kinds = append(kinds, "brittle")
	}
	if n.Unlimited {
		kinds = append(kinds, "limit ended")
	}
	if n.Unreadable != "" {
		kinds = append(kinds, "unreadable")
	}
	return kinds
}

func (n Notice) empty() bool {
	return !n.Leaving && n.Backoff <= 0 && n.Cold <= 0 && n.Limit == nil && n.Rejections == nil && !n.Unlimited && n.Unreadable == ""
}

// noticeState holds what the answers of one incarnation of an upstream stated.
type noticeState struct {
	// leavingAt is when this box learned that the upstream is leaving; zero if it did not.
	leavingAt time.Time
	backoff   backoff
	limit     Limit
	// lastSeen is when the directory last had the upstream, or a notice of it.
	lastSeen time.Time
}

// Endpoint is the target of one attempt at one incarnation of an upstream, from Begin to End.
type Endpoint struct {
	Upstream

	directory *Directory
	startedAt time.Time
	// backoffEnd is the end of the backoff after which the request is one of the first; zero if it is
	// not.
	backoffEnd time.Time
	// answered is set once the head of the answer has arrived, and backoffAsked if that asked for a
	// backoff.
	answered, backoffAsked bool
}

// Begin returns the target for one attempt at an upstream, or ErrLeaving, ErrEvacuated or ErrBackoff.
// It is called right before each attempt, whatever was known when the upstream was chosen. The request
// then arrives within the 0.4 s that a connection takes at most, and so within the half second that the
// platform allows after an answer that asks for a backoff. The caller must call End.
func (d *Directory) Begin(upstream *Upstream) (*Endpoint, error) {
	d.mu.RLock()
	stored, found := d.notices[upstream.ID]
	evacuated := d.evacuated[upstream.Hall]
	d.mu.RUnlock()
	if found && !stored.leavingAt.IsZero() {
		return nil, ErrLeaving
	}
	if evacuated {
		return nil, ErrEvacuated
	}
	endpoint := &Endpoint{Upstream: *upstream, directory: d, startedAt: time.Now()}
	if found {
		var ok bool
		if endpoint.backoffEnd, ok = d.beginAfterBackoff(upstream.ID); !ok {
			return nil, ErrBackoff
		}
	}
	return endpoint, nil
}

// Check returns why the upstream may get no request now, whatever was known at Begin: ErrLeaving, ErrGone or ErrEvacuated;
// nil if it may. A request may wait for a connection after Begin.
func (e *Endpoint) Check() error {
	e.directory.mu.RLock()
	defer e.directory.mu.RUnlock()
	state := e.directory.states[e.ID]
	switch {
	case state == nil:
		return ErrGone
	case state.Leaving:
		return ErrLeaving
	case !state.Usable(time.Now()):
		return ErrGone
	case state.Evacuated:
		return ErrEvacuated
	}
	return nil
}

// HandleNotice applies what an answer states. It is called as soon as the head of the answer has arrived,
// whatever happens to the rest of the answer.
func (e *Endpoint) HandleNotice(n Notice) {
	e.answered, e.backoffAsked = true, n.Backoff > 0
	n.requestStart = e.startedAt
	n.Unlimited = n.Unlimited && e.directory.Limit(e.ID).Named()
	if !n.empty() {
		e.directory.RecordNotice(e.ID, n)
	}
}

// AskedForBackoff reports whether the answer asked for a backoff.
func (e *Endpoint) AskedForBackoff() bool { return e.backoffAsked }

// End ends the attempt, whether it was answered or not. Calls after the first one do nothing.
func (e *Endpoint) End() {
	if !e.backoffEnd.IsZero() {
		e.directory.endAfterBackoff(e.ID, e.backoffEnd, e.answered && !e.backoffAsked)
		e.backoffEnd = time.Time{}
	}
}

// maxUnreadableBytes bounds what is kept, for its log line, of a value that could not be parsed.
const maxUnreadableBytes = 40

// RecordNotice stores a notice of an upstream, and calls OnNotice if it states something new.
func (d *Directory) RecordNotice(id string, n Notice) {
	n.Unreadable = n.Unreadable[:min(len(n.Unreadable), maxUnreadableBytes)]
	if changed := d.storeNotice(id, n); !changed.empty() && d.OnNotice != nil {
		d.OnNotice(NoticeEvent{Notice: changed, Upstream: id})
	}
}

// storeNotice stores a notice, and returns the part that is new, since concurrent answers may state the same.
func (d *Directory) storeNotice(id string, n Notice) (changed Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	stored := d.notices[id]
	stored.lastSeen = now
	changed = n
	changed.Leaving = n.Leaving && stored.leavingAt.IsZero()
	if n.Cold > 0 {
		if time.Now().Before(d.cold[id].coldUntil) {
			changed.Cold = 0
		}
		d.setCold(id, n.Cold)
	}
	if changed.Leaving {
		stored.leavingAt = now
	}
	if n.Backoff > 0 {
		stored.backoff = d.BackoffPolicy.start(now, n.Backoff)
	}
	limitChanged := stored.updateLimit(now, n)
	changed.Unlimited = limitChanged && stored.limit.Ended
	if limitChanged {
		d.recordLimitChange(id)
	} else {
		changed.Limit, changed.Rejections = nil, nil
	}
	if !changed.Leaving && n.Backoff <= 0 && n.Limit == nil && n.Rejections == nil && !changed.Unlimited {
		return changed
	}
	d.notices[id] = stored
	if state := d.states[id]; state != nil && !stored.leavingAt.IsZero() && !state.Leaving {
		leaving := *state
		leaving.setLeaving()
		d.states[id] = &leaving
		d.reindex(id)
	}
	return changed
}

// LeavingByAnswer returns the upstreams that are leaving by what answers stated, but not yet by their
// entries, sorted by id. Other boxes, including the one that plans, learn it from this box.
func (d *Directory) LeavingByAnswer() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var ids []string
	for id, stored := range d.notices {
		if state := d.states[id]; state != nil && !stored.leavingAt.IsZero() && !state.listedLeaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RecordLeaving records which upstreams are leaving by what answers stated to another box. It skips those
// that this box does not know: the other box reports them again.
func (d *Directory) RecordLeaving(ids []string) {
	for _, id := range ids {
		if state := d.Get(id); state != nil && !state.Leaving {
			d.RecordNotice(id, Notice{Leaving: true, Source: SourceBox})
		}
	}
}

// Restrictions holds the notices that a request sent to an upstream at this moment would disregard, and its
// rate limit.
type Restrictions struct {
	// LeavingFor is how long this box has known that the upstream is leaving; 0 if it does not.
	LeavingFor time.Duration
	// BackoffLeft is the remaining time of the backoff that it asked for; 0 if it asked for none or that
	// is over.
	BackoffLeft time.Duration
	// Limit is the rate limit that it names.
	Limit Limit
}

// Restrictions returns the restrictions on requests to an upstream as of now.
func (d *Directory) Restrictions(id string) Restrictions {
	d.mu.RLock()
	defer d.mu.RUnlock()
	stored, ok := d.notices[id]
	if !ok {
		return Restrictions{}
	}
	now := time.Now()
	restrictions := Restrictions{BackoffLeft: max(0, stored.backoff.until.Sub(now)), Limit: stored.limit}
	if !stored.leavingAt.IsZero() {
		restrictions.LeavingFor = max(1, now.Sub(stored.leavingAt))
	}
	return restrictions
}

// Any reports whether the request would disregard anything. A limit does not count, since it allows
// some requests.
func (r Restrictions) Any() bool { return r.LeavingFor > 0 || r.BackoffLeft > 0 }

// noticeRetention is how long the notices of an upstream are kept while no list has it. After an outage
// of the store, its list may lack entries that come back later; after that time an id is not seen
// again. The value is well above the outages that the platform names.
const noticeRetention = 5 * time.Minute

// expireNotices drops the notices of upstreams that have been gone for longer than noticeRetention, and
// those that are no longer in force. The caller holds the lock.
func (d *Directory) expireNotices(now time.Time) {
	for id, stored := range d.notices {
		if d.states[id] != nil {
			stored.lastSeen = now
			d.notices[id] = stored
		}
		if now.Sub(stored.lastSeen) > noticeRetention || stored.leavingAt.IsZero() && stored.backoff.ended(now) && !stored.limit.Named() && now.Sub(stored.limit.At) > endedLimitRetention {
			delete(d.notices, id)
		}
	}
}
