package quarantine

import "time"

// Verdict reports whether a request is held, and because of which crashes. The zero value means that no crash is
// known.
type Verdict struct {
	// Held reports whether the request is sent to no upstream until RetryAfter has passed.
	Held       bool
	RetryAfter time.Duration
	// Crashes is how many crashes in a row there were under the request. Upstreams lists those that this box knows.
	Crashes   int
	Upstreams []string
	// Age is how long ago the latest crash was, KnownFor how long this box has known of it, and Source how it learned
	// of it.
	Age      time.Duration
	KnownFor time.Duration
	Source   Source
}

// Verdict returns the verdict on a request at this moment.
func (r *Register) Verdict(f Fingerprint) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[f]
	if rec == nil || rec.crashCount() == 0 {
		return Verdict{}
	}
	return rec.verdict(&r.Policy, time.Now())
}

// verdict returns the verdict by one record.
func (r *record) verdict(policy *Policy, now time.Time) Verdict {
	left := r.heldUntil(policy).Sub(now)
	verdict := Verdict{
		Held: left > 0, RetryAfter: max(0, left), Crashes: r.crashCount(),
		Age: now.Sub(r.latestCrash()), KnownFor: now.Sub(r.restoredAt), Source: FromStore,
	}
	for _, c := range r.crashes {
		verdict.Upstreams = append(verdict.Upstreams, c.upstream)
		verdict.KnownFor, verdict.Source = now.Sub(c.knownSince), c.source
	}
	return verdict
}

// Counts holds how many requests with crashes a register has.
type Counts struct {
	// Suspected counts requests that may be sent, Held those that may not.
	Suspected, Held int
}

// Counts drops the expired records and counts the others.
func (r *Register) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.prune(now)
	var counts Counts
	for _, rec := range r.records {
		switch {
		case rec.crashCount() == 0:
		case rec.heldUntil(&r.Policy).After(now):
			counts.Held++
		default:
			counts.Suspected++
		}
	}
	return counts
}
