package dispatch

import "time"

const (
	// verdictWeight is that of a new verdict in the running mean of failures.
	verdictWeight = 0.15
	// ejectAbove is the share of failures above that of all back ends at which one is left alone.
	ejectAbove = 0.25
	// leastVerdicts is how many are needed for an ejection.
	leastVerdicts = 4
	// firstEjection and longEjection bound how long a back end is left alone.
	firstEjection = 2 * time.Second
	longEjection  = 8 * time.Second
	// probationTime is after how long without failures the next ejection is short again.
	probationTime = 10 * time.Second
)

// health follows the failures of one back end.
type health struct {
	verdicts int
	failures float64
	// until is the end of the latest ejection, and span its length.
	until time.Time
	span  time.Duration
}

func (h *health) note(good bool) {
	h.verdicts++
	failed := 0.0
	if !good {
		failed = 1
	}
	h.failures += verdictWeight * (failed - h.failures)
}

// ejected tells whether the back end fails so much more than usual that it is left alone.
func (h *health) ejected(usual float64, now time.Time) bool {
	if now.Before(h.until) {
		return true
	}
	if h.verdicts < leastVerdicts || h.failures < usual+ejectAbove {
		return false
	}
	if now.Sub(h.until) > probationTime {
		h.span = 0
	}
	h.span = min(longEjection, max(firstEjection, 2*h.span))
	h.until = now.Add(h.span)
	// Afterwards a few requests tell whether it still fails.
	h.failures = usual + ejectAbove/2
	h.verdicts = 0
	return true
}
