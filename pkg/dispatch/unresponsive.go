package dispatch

import "time"

// An upstream becomes unresponsive after unresponsiveFailures consecutive failures that span at least
// unresponsiveMinSpan. This ends when a request succeeds or none has failed for unresponsiveTTL.
const (
	unresponsiveFailures = 3
	unresponsiveMinSpan  = 300 * time.Millisecond
	unresponsiveTTL      = 4 * time.Second
)

// failureStreak counts an upstream's consecutive failures, over all boxes.
type failureStreak struct {
	failures    int
	first, last time.Time
}

// Unresponsive reports whether an upstream seems to be gone although it is still listed: several requests in a
// row failed and none succeeded. It returns false for an unknown upstream.
func (t *LoadTracker) Unresponsive(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.upstreams[id]
	return record != nil && record.streak.unresponsive(time.Now())
}

func (s *failureStreak) unresponsive(now time.Time) bool {
	return s.failures >= unresponsiveFailures &&
		s.last.Sub(s.first) >= unresponsiveMinSpan &&
		now.Sub(s.last) < unresponsiveTTL
}

func (s *failureStreak) recordOutcome(succeeded bool, now time.Time) {
	if succeeded {
		s.failures = 0
		return
	}
	if s.failures == 0 || now.Sub(s.last) >= unresponsiveTTL {
		s.failures, s.first = 0, now
	}
	s.failures++
	s.last = now
}
