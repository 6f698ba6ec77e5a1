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
	// bad counts the failures since the last good verdict, firstBad and lastBad are when the
	// first and the last of them came.
	bad               int
	firstBad, lastBad time.Time
}

const (
	// silentVerdicts failures in a row, over at least silentTime, have a back end taken for gone;
	// that is forgotten when none came for silentMemory.
	silentVerdicts = 3
	silentTime     = 300 * time.Millisecond
	silentMemory   = 4 * time.Second
)

// silent tells whether nobody got an answer from the back end lately, though several tried.
func (h *health) silent(now time.Time) bool {
	return h.bad >= silentVerdicts && h.lastBad.Sub(h.firstBad) >= silentTime && now.Sub(h.lastBad) < silentMemory
}

// count follows the failures in a row.
func (h *health) count(good bool, now time.Time) {
	if good {
		h.bad = 0
		return
	}
	if h.bad == 0 || now.Sub(h.lastBad) >= silentMemory {
		h.bad, h.firstBad = 0, now
	}
	h.bad++
	h.lastBad = now
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
