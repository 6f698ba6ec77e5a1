package fleet

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// This file has what upstreams tell of themselves in their answers. A Directory owns it: it is kept under the id of one life of an
// upstream and binds whatever this box sends there, since all of it passes Begin.
//
//	told     begins                        binds                    ends
//	leaving  with the answer that told it  every box that knows it  with that life; no list takes it back
//	rest     with the answer that asked    this box                 after the time it asked for; see rest
//	limit    with the answer that named it every box that knows it  with an answer that names none; see Limit

// Notice is what the head of one answer tells of the upstream's process, beside the answer itself.
type Notice struct {
	// Leaving means that the process ends soon.
	Leaving bool
	// Rest is for how long it wants nothing from this box; 0 if it asked for none.
	Rest time.Duration
	// Cold is for how long it is cold; 0 if it did not say so.
	Cold time.Duration
	// Limit is how many requests a second it takes from all boxes together; nil if the answer names no limit.
	Limit *float64
	// Unlimited means that the answer, which is that to the request that was sent, names no limit.
	Unlimited bool
	// Unreadable is a value that tells nothing, which Note shortens; empty if all could be read.
	Unreadable string
	// Source is what was answered, or another box that was told.
	Source Source
	// Status of the answer.
	Status int
	// begun is when the sending began that was answered.
	begun time.Time
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

// Why an upstream may not be sent anything by this box now.
const (
	ErrLeaving = errors.ConstError("upstream leaves: choose another one")
	ErrResting = errors.ConstError("upstream asked this box for rest: choose another one, or come again at its end")
)

// Noted is a notice that told something new.
type Noted struct {
	Notice
	// Upstream is its id.
	Upstream string
}

// Kinds names what a notice tells.
func (n Notice) Kinds() []string {
	var kinds []string
	if n.Leaving {
		kinds = append(kinds, "leaving")
	}
	if n.Rest > 0 {
		kinds = append(kinds, "rest")
	}
	if n.Cold > 0 {
		kinds = append(kinds, "cold")
	}
	if n.Limit != nil {
		kinds = append(kinds, "limit")
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
	return !n.Leaving && n.Rest <= 0 && n.Cold <= 0 && n.Limit == nil && !n.Unlimited && n.Unreadable == ""
}

// told is what the answers of one life of an upstream told.
type told struct {
	// leavingAt is when this box came to know that it leaves; zero if it does not know of it.
	leavingAt time.Time
	rest      rest
	limit     Limit
	// lastKnown is when the directory last had the upstream.
	lastKnown time.Time
}

// Endpoint is one sending to one life of an upstream, from Begin to End.
type Endpoint struct {
	Upstream

	directory *Directory
	begun     time.Time
	// after is the end of the rest after which the sending is one of the first; zero if it is not.
	after time.Time
	// answered is set once the head of the answer is there, and rested if that asked for rest.
	answered, rested bool
}

// Begin returns an upstream to send to, once, or ErrLeaving, ErrEvacuated or ErrResting. It is asked right before each sending, whatever was known
// when the upstream was chosen: what is sent then arrives within the 0.4 s that a connection takes at most, and so within the half second
// that the platform allows after an answer that asks for rest. The caller must call End.
func (d *Directory) Begin(upstream *Upstream) (*Endpoint, error) {
	d.mu.RLock()
	known, isKnown := d.told[upstream.ID]
	evacuated := d.evacuated[upstream.Hall]
	d.mu.RUnlock()
	if isKnown && !known.leavingAt.IsZero() {
		return nil, ErrLeaving
	}
	if evacuated {
		return nil, ErrEvacuated
	}
	endpoint := &Endpoint{Upstream: *upstream, directory: d, begun: time.Now()}
	if isKnown {
		var ok bool
		if endpoint.after, ok = d.beginAfterRest(upstream.ID); !ok {
			return nil, ErrResting
		}
	}
	return endpoint, nil
}

// Told takes what an answer tells, as soon as its head is there, whatever becomes of the rest of it.
func (e *Endpoint) Told(n Notice) {
	e.answered, e.rested = true, n.Rest > 0
	n.begun = e.begun
	n.Unlimited = n.Unlimited && e.directory.Limit(e.ID).Named()
	if !n.empty() {
		e.directory.Note(e.ID, n)
	}
}

// AskedForRest reports whether the answer asked for rest.
func (e *Endpoint) AskedForRest() bool { return e.rested }

// End ends the sending, answered or not.
func (e *Endpoint) End() {
	if !e.after.IsZero() {
		e.directory.endAfterRest(e.ID, e.after, e.answered && !e.rested)
	}
}

// maxUnreadable bounds what is kept of a value that can't be read, in bytes, for its log line.
const maxUnreadable = 40

// Note takes in a notice of an upstream, and calls OnNotice if it tells something new.
func (d *Directory) Note(id string, n Notice) {
	n.Unreadable = n.Unreadable[:min(len(n.Unreadable), maxUnreadable)]
	if news := d.remember(id, n); !news.empty() && d.OnNotice != nil {
		d.OnNotice(Noted{Notice: news, Upstream: id})
	}
}

// remember stores a notice, and returns what is new of it: answers that were under way together tell the same.
func (d *Directory) remember(id string, n Notice) (news Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	known := d.told[id]
	known.lastKnown = now
	news = n
	news.Leaving = n.Leaving && known.leavingAt.IsZero()
	if n.Cold > 0 {
		if time.Now().Before(d.cold[id].coldUntil) {
			news.Cold = 0
		}
		d.noteCold(id, n.Cold)
	}
	if news.Leaving {
		known.leavingAt = now
	}
	if n.Rest > 0 {
		known.rest = d.Rests.begin(now, n.Rest)
	}
	news.Limit, news.Unlimited = known.takeLimit(now, n)
	if news.Limit != nil || news.Unlimited {
		d.noteLimitChanged(id)
	}
	if !news.Leaving && n.Rest <= 0 && n.Limit == nil && !news.Unlimited {
		return news
	}
	d.told[id] = known
	if state := d.states[id]; state != nil && !known.leavingAt.IsZero() && !state.Leaving {
		left := *state
		left.leave()
		d.states[id] = &left
		d.reindex(id)
	}
	return news
}

// LeavingByAnswer lists the upstreams that leave by what answers told, and whose entries do not say so yet. Other boxes, the one that
// plans among them, learn it from this box. The list is in the order of ids.
func (d *Directory) LeavingByAnswer() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var ids []string
	for id, known := range d.told {
		if state := d.states[id]; state != nil && !known.leavingAt.IsZero() && !state.listedLeaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// NoteLeaving takes in which upstreams leave by what another box was told. Those that this box does not know are left out: the other box
// tells of them again.
func (d *Directory) NoteLeaving(ids []string) {
	for _, id := range ids {
		if state := d.Get(id); state != nil && !state.Leaving {
			d.Note(id, Notice{Leaving: true, Source: SourceBox})
		}
	}
}

// Against is what a sending to an upstream would go against at this moment.
type Against struct {
	// LeavingFor is since when this box has known that it leaves; 0 if it does not.
	LeavingFor time.Duration
	// RestLeft is how much of the rest is left that it asked for; 0 if it asked for none or that is over.
	RestLeft time.Duration
	// Limit is the limit that it names.
	Limit Limit
}

// Against returns what a sending to an upstream goes against.
func (d *Directory) Against(id string) Against {
	d.mu.RLock()
	defer d.mu.RUnlock()
	known, ok := d.told[id]
	if !ok {
		return Against{}
	}
	now := time.Now()
	against := Against{RestLeft: max(0, known.rest.until.Sub(now)), Limit: known.limit}
	if !known.leavingAt.IsZero() {
		against.LeavingFor = max(1, now.Sub(known.leavingAt))
	}
	return against
}

// Any reports whether it goes against anything. A limit allows some sendings.
func (a Against) Any() bool { return a.LeavingFor > 0 || a.RestLeft > 0 }

// toldMemory is for how long what an upstream told is kept while no list has it. A list of a store that was away may have lost entries
// that come back; afterwards an id is not seen again. Well above the outages that the platform names.
const toldMemory = 5 * time.Minute

// expireTold forgets what upstreams told that are gone, and rests that are over. The caller holds the lock.
func (d *Directory) expireTold(now time.Time) {
	for id, known := range d.told {
		if d.states[id] != nil {
			known.lastKnown = now
			d.told[id] = known
		}
		if now.Sub(known.lastKnown) > toldMemory || known.leavingAt.IsZero() && known.rest.over(now) && !known.limit.Named() && now.Sub(known.limit.At) > limitMemory {
			delete(d.told, id)
		}
	}
}
