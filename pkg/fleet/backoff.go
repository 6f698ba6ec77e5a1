package fleet

import "time"

// BackoffPolicy sets how boxes apply the backoffs that upstreams ask for. Log fields and error texts call a
// backoff a rest.
type BackoffPolicy struct {
	// Max bounds a backoff. An upstream that asked for a longer one is tried again after Max, by one
	// request.
	Max time.Duration
	// Window is the number of requests of this box that may await an answer at first when the backoff is
	// over. It doubles with each answer; 0 sets no bound.
	Window int
	// RetryJitter bounds the random time by which callers that were refused because of a backoff are
	// asked to retry later than its end.
	RetryJitter time.Duration
}

// DefaultBackoffPolicy is the policy in use. It keeps engines that all asked for a backoff at once from getting
// all waiting requests at the same moment. An upstream that asked for more than Max is tried again by
// one request.
var DefaultBackoffPolicy = BackoffPolicy{Max: 10 * time.Minute, Window: 1, RetryJitter: 500 * time.Millisecond}

// unlimitedWindow is the window at which requests are no longer restricted. It is larger than the number
// of slots of engines.
const unlimitedWindow = 64

// backoff is one backoff of an upstream, and the gradual return from it.
type backoff struct {
	// until is its end; zero if there is none.
	until time.Time
	// window is the number of requests that may await an answer after the end; 0 sets no bound. inFlight
	// is the number that do.
	window, inFlight int
}

// start returns a backoff that begins now.
func (p BackoffPolicy) start(now time.Time, asked time.Duration) backoff {
	return backoff{until: now.Add(min(asked, p.Max)), window: p.Window}
}

// ended reports whether requests are not restricted any more.
func (b *backoff) ended(now time.Time) bool { return !now.Before(b.until) && b.window == 0 }

// mustWait reports whether a request must wait.
func (b *backoff) mustWait(now time.Time) bool {
	return now.Before(b.until) || b.window > 0 && b.inFlight >= b.window
}

// beginAfterBackoff counts a request to an upstream that returns from a backoff, and returns the end of
// that backoff; zero if the request is not counted. It returns false if the request must wait.
func (d *Directory) beginAfterBackoff(id string) (end time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stored, found := d.notices[id]
	switch {
	case !found:
		return time.Time{}, true
	case stored.backoff.mustWait(time.Now()):
		return time.Time{}, false
	case stored.backoff.window == 0:
		return time.Time{}, true
	}
	stored.backoff.inFlight++
	d.notices[id] = stored
	return stored.backoff.until, true
}

// endAfterBackoff counts the end of a request that was counted after a backoff. If it was answered
// without a new backoff, the window doubles.
func (d *Directory) endAfterBackoff(id string, end time.Time, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stored, ok := d.notices[id]
	if !ok || !stored.backoff.until.Equal(end) || stored.backoff.window == 0 {
		return
	}
	stored.backoff.inFlight--
	if answered {
		stored.backoff.window *= 2
	}
	if stored.backoff.window >= unlimitedWindow {
		stored.backoff.window, stored.backoff.inFlight = 0, 0
	}
	d.notices[id] = stored
}

// InBackoff reports whether this box must send no request to an upstream that asked for a backoff, and
// returns the end of the backoff. An end that has passed means that the upstream takes only few
// requests at a time.
func (d *Directory) InBackoff(id string) (until time.Time, inBackoff bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	stored, ok := d.notices[id]
	if !ok {
		return time.Time{}, false
	}
	return stored.backoff.until, stored.backoff.mustWait(time.Now())
}
