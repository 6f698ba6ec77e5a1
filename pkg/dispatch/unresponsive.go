package dispatch

import "time"

// An upstream is unresponsive after this many failures in a row over this time, until a request
// succeeds or none has failed for a while.
const (
	unresponsiveFailures = 3
	unresponsiveSpan     = 300 * time.Millisecond
	unresponsiveMemory   = 4 * time.Second
)

// failureStreak counts an upstream's failures since its last success, on all boxes.
type failureStreak struct {
	failures    int
	first, last time.Time
}

// Unresponsive reports whether an upstream seems to be gone though it is still listed: several
// requests in a row failed and none succeeded. It is false for an unknown upstream.
func (t *LoadTracker) Unresponsive(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.upstreams[id]
	return record != nil && record.streak.unresponsive(time.Now())
}

func (s *failureStreak) unresponsive(now time.Time) bool {
	return s.failures >= unresponsiveFailures &&
		s.last.Sub(s.first) >= unresponsiveSpan &&
		now.Sub(s.last) < unresponsiveMemory
}

func (s *failureStreak) recordOutcome(succeeded bool, now time.Time) {
	if succeeded {
		s.failures = 0
		return
	}
	if s.failures == 0 || now.Sub(s.last) >= unresponsiveMemory {
		s.failures, s.first = 0, now
	}
	s.failures++
	s.last = now
}
