package dispatch

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// usualFailures is the middle share of failures of the candidates. The caller holds the lock.
func (b *LoadTracker) usualFailures(candidates []*fleet.State) float64 {
	least, sum := 1.0, 0.0
	for _, state := range candidates {
		failures := b.of(state.ID).health.failures
		least = min(least, failures)
		sum += failures
	}
	// Between the best and the mean, so that one bad back end of a few does not hide itself.
	return (least + sum/float64(len(candidates))) / 2
}

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
	// bad counts the failures since the last good verdict, firstBad and lastBad are when the
	// first and the last of them came.
	bad               int
	firstBad, lastBad time.Time
}

func (h *health) note(good bool) {
	h.count(good, time.Now())
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
