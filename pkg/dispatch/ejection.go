package dispatch

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

const (
	// outcomeWeight is the weight of one outcome in the running mean of failures.
	outcomeWeight = 0.15
	// ejectionMargin is how far an upstream's share of failures lies above the usual one for an
	// ejection.
	ejectionMargin = 0.25
	// minOutcomes is how many outcomes since the last ejection the next one needs.
	minOutcomes = 4
	// minEjection is the length of a first ejection, and maxEjection that of the longest. Each one
	// is twice as long as the one before.
	minEjection = 2 * time.Second
	maxEjection = 8 * time.Second
	// ejectionReset is the time after an ejection from which the next one is short again.
	ejectionReset = 10 * time.Second
)

// outlierEjection keeps requests away from an upstream that fails more than the others.
type outlierEjection struct {
	// outcomes since the last ejection.
	outcomes int
	// failureShare is the running mean of failures, from 0 to 1.
	failureShare float64
	// until is the end of the latest ejection, and length how long it was.
	until  time.Time
	length time.Duration
}

func (e *outlierEjection) recordOutcome(succeeded bool) {
	e.outcomes++
	failed := 1.0
	if succeeded {
		failed = 0
	}
	e.failureShare += outcomeWeight * (failed - e.failureShare)
}

// ejected reports whether the upstream is to be left out, and begins an ejection if it is an
// outlier by now. Usual is the usual share of failures of the candidates.
func (e *outlierEjection) ejected(usual float64, now time.Time) bool {
	if now.Before(e.until) {
		return true
	}
	if e.outcomes < minOutcomes || e.failureShare < usual+ejectionMargin {
		return false
	}
	e.eject(usual, now)
	return true
}

func (e *outlierEjection) eject(usual float64, now time.Time) {
	if now.Sub(e.until) > ejectionReset {
		e.length = 0
	}
	e.length = min(maxEjection, max(minEjection, 2*e.length))
	e.until = now.Add(e.length)
	// After the ejection a few outcomes decide on the next one.
	e.failureShare = usual + ejectionMargin/2
	e.outcomes = 0
}

// usualFailureShare lies halfway between the least and the mean share of failures of the
// candidates: the mean alone would let one bad upstream of a few hide itself. The caller holds the
// lock.
func (t *LoadTracker) usualFailureShare(candidates []*fleet.State) float64 {
	least, sum := 1.0, 0.0
	for _, upstream := range candidates {
		share := t.record(upstream.ID).ejection.failureShare
		least = min(least, share)
		sum += share
	}
	return (least + sum/float64(len(candidates))) / 2
}
