package fleet

import "time"

// BackoffPolicy sets how boxes apply the backoffs that upstreams ask for. Logs and messages call a backoff a
// rest.
type BackoffPolicy struct {
	// Max bounds a backoff. An upstream that asked for a longer one is tried again at that time, by one
	// request.
	Max time.Duration
	// Window is how many requests of this box may await an answer at first when the backoff is over. It
	// doubles with each answer; 0 sets no bound.
	Window int
	// RetryJitter is the largest random delay after the end of a backoff until callers that were
	// refused because of it come back.
	RetryJitter time.Duration
}

// DefaultBackoffPolicy is the policy in use. It keeps engines that all asked for a backoff at once from getting
// all waiting requests at the same moment. An upstream that asked for more than Max is tried again by
// one request.
var DefaultBackoffPolicy = BackoffPolicy{Max: 10 * time.Minute, Window: 1, RetryJitter: 500 * time.Millisecond}

// unlimitedWindow is the window from which on requests are not restricted any more: more than the slots
// of engines.
const unlimitedWindow = 64

// backoff is one backoff of an upstream, and the gradual return from it.
type backoff struct {
	// until is its end; zero if there is none.
	until time.Time
	// window is how many requests may await an answer after that; 0 sets no bound. inFlight is how many
	// do.
	window, inFlight int
}

// start returns a backoff that begins now.
func (r BackoffPolicy) start(now time.Time, asked time.Duration) backoff {
	return backoff{until: now.Add(min(asked, r.Max)), window: r.Window}
}

// ended reports whether requests are not restricted any more.
func (r *backoff) ended(now time.Time) bool { return !now.Before(r.until) && r.window == 0 }

// mustWait reports whether a request must wait.
func (r *backoff) mustWait(now time.Time) bool {
	return now.Before(r.until) || r.window > 0 && r.inFlight >= r.window
}

// beginAfterBackoff counts a request to an upstream that returns from a backoff, and returns the end of
// that backoff; zero if the request is not counted. It returns false if the request must wait.
func (d *Directory) beginAfterBackoff(id string) (end time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, isKnown := d.notices[id]
	switch {
	case !isKnown:
		return time.Time{}, true
	case known.backoff.mustWait(time.Now()):
		return time.Time{}, false
	case known.backoff.window == 0:
		return time.Time{}, true
	}
	known.backoff.inFlight++
	d.notices[id] = known
	return known.backoff.until, true
}

// endAfterBackoff counts the end of a request that was counted after a backoff. If it was answered
// without a new backoff, the window doubles.
func (d *Directory) endAfterBackoff(id string, end time.Time, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.notices[id]
	if !ok || !known.backoff.until.Equal(end) || known.backoff.window == 0 {
		return
	}
	known.backoff.inFlight--
	if answered {
		known.backoff.window *= 2
	}
	if known.backoff.window >= unlimitedWindow {
		known.backoff.window, known.backoff.inFlight = 0, 0
	}
	d.notices[id] = known
}

// InBackoff reports whether this box must send no request to an upstream that asked for a backoff, and
// returns the end of the backoff. An end that has passed means that the upstream takes only few
// requests at a time.
func (d *Directory) InBackoff(id string) (until time.Time, resting bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	known, ok := d.notices[id]
	if !ok {
		return time.Time{}, false
	}
	return known.backoff.until, known.backoff.mustWait(time.Now())
}
