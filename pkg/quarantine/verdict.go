package quarantine

import "time"

// Verdict is whether a request is held, with what that goes by.
type Verdict struct {
	// Held requests get no upstream before RetryAfter is over.
	Held       bool
	RetryAfter time.Duration
	// Crashes is how many upstreams crashed in a row under the request, and Upstreams which of them this box knows.
	Crashes   int
	Upstreams []string
	// Age is how long ago the latest crashed, KnownFor for how long this box has known of it, and Source how it came to.
	Age      time.Duration
	KnownFor time.Duration
	Source   Source
}

// Verdict is that on a request now.
func (r *Register) Verdict(f Fingerprint) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[f]
	if known == nil || known.count() == 0 {
		return Verdict{}
	}
	return known.verdict(&r.Policy, time.Now())
}

// verdict is that by a record.
func (r *record) verdict(policy *Policy, now time.Time) Verdict {
	left := r.held(policy).Sub(now)
	verdict := Verdict{
		Held: left > 0, RetryAfter: max(0, left), Crashes: r.count(),
		Age: now.Sub(r.latest()), KnownFor: now.Sub(r.restored), Source: FromStore,
	}
	for _, c := range r.crashes {
		verdict.Upstreams = append(verdict.Upstreams, c.upstream)
		verdict.KnownFor, verdict.Source = now.Sub(c.known), c.source
	}
	return verdict
}

// Counts is how many requests a register knows of.
type Counts struct {
	// Suspected requests may be sent; Held ones may not.
	Suspected, Held int
}

// Counts drops the records that are over and counts the others.
func (r *Register) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.prune(now)
	var counts Counts
	for _, known := range r.records {
		switch {
		case known.count() == 0:
		case known.held(&r.Policy).After(now):
			counts.Held++
		default:
			counts.Suspected++
		}
	}
	return counts
}
