package fleet

import "time"

// Notice is what the head of one answer tells of the upstream's process, beside the answer itself.
type Notice struct {
	// Leaving means that the process ends soon.
	Leaving bool
	// Rest is for how long it wants nothing from this box; 0 if it asked for none.
	Rest time.Duration
	// Unreadable is a value that tells nothing, shortened; empty if all could be read.
	Unreadable string
	// Call is what was answered.
	Call Call
	// Status of the answer.
	Status int
}

// Call is a kind of call of an upstream, for logs and metrics.
type Call string

// The kinds of call.
const (
	CallRequest Call = "request"
	CallOrder   Call = "order"
	CallReport  Call = "report"
)

// Endpoint is one life of an upstream as something to send to. Only a Directory makes one, so that each sending can take in what its
// answer tells.
type Endpoint struct {
	Upstream
	// Told takes what an answer tells. It is called once for each answer, as soon as its head is there.
	Told func(Notice)
}

// Endpoint returns an upstream to send to.
func (d *Directory) Endpoint(upstream Upstream) Endpoint {
	return Endpoint{Upstream: upstream, Told: func(n Notice) { d.note(upstream.ID, n) }}
}

// Noted is a notice that told something new.
type Noted struct {
	Notice
	// Upstream is its id.
	Upstream string
}

// told is what the answers of one life of an upstream told.
type told struct {
	// leavingAt is when an answer first told that it leaves; zero if none did.
	leavingAt time.Time
	// restUntil is the end of the rest it asked for.
	restUntil time.Time
}

// note takes in what an answer of an upstream told.
func (d *Directory) note(id string, n Notice) {
	if !n.Leaving && n.Rest <= 0 && n.Unreadable == "" {
		return
	}
	if d.remember(id, n) && d.OnNotice != nil {
		d.OnNotice(Noted{Notice: n, Upstream: id})
	}
}

// remember stores a notice, and reports whether it tells something new.
func (d *Directory) remember(id string, n Notice) (isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.told[id]
	now := time.Now()
	if n.Leaving && known.leavingAt.IsZero() {
		known.leavingAt, isNew = now, true
	}
	if n.Rest > 0 {
		known.restUntil, isNew = now.Add(n.Rest), true
	}
	d.told[id] = known
	return isNew || n.Unreadable != ""
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
	if n.Unreadable != "" {
		kinds = append(kinds, "unreadable")
	}
	return kinds
}

// Against is what a sending to an upstream would go against at this moment.
type Against struct {
	// LeavingFor is since when an answer has told that it leaves; 0 if none has.
	LeavingFor time.Duration
	// RestLeft is how much of the rest is left that it asked for; 0 if it asked for none or that is over.
	RestLeft time.Duration
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
	against := Against{RestLeft: max(0, known.restUntil.Sub(now))}
	if !known.leavingAt.IsZero() {
		against.LeavingFor = max(1, now.Sub(known.leavingAt))
	}
	return against
}

// Any reports whether it goes against anything.
func (a Against) Any() bool { return a.LeavingFor > 0 || a.RestLeft > 0 }
