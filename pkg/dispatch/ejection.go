package dispatch

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

const (
	// outcomeWeight is the weight of one outcome in the moving average of failures.
	outcomeWeight = 0.15
	// ejectionMargin is by how much an upstream's failure rate must exceed the baseline to eject it.
	ejectionMargin = 0.25
	// minOutcomes is the number of outcomes required since the last ejection before the next one.
	minOutcomes = 4
	// minEjection and maxEjection bound the length of an ejection. Each ejection is twice as long as the
	// one before.
	minEjection = 2 * time.Second
	maxEjection = 8 * time.Second
	// ejectionReset is the time after an ejection from which the next one starts at minEjection again.
	ejectionReset = 10 * time.Second
)

// outlierEjection keeps requests away from an upstream that fails more often than the others.
type outlierEjection struct {
	// outcomes counts the outcomes since the last ejection.
	outcomes int
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate float64
	// until is the end of the latest ejection, and length its duration.
	until  time.Time
	length time.Duration
}

func (e *outlierEjection) recordOutcome(succeeded bool) {
	e.outcomes++
	failed := 1.0
	if succeeded {
		failed = 0
	}
	e.failureRate += outcomeWeight * (failed - e.failureRate)
}

// ejectIfOutlier reports whether the upstream must be left out. It starts an ejection if the upstream has
// become an outlier. baseline is the baseline failure rate of the candidates.
func (e *outlierEjection) ejectIfOutlier(baseline float64, now time.Time) bool {
	if now.Before(e.until) {
		return true
	}
	if e.outcomes < minOutcomes || e.failureRate < baseline+ejectionMargin {
		return false
	}
	e.eject(baseline, now)
	return true
}

func (e *outlierEjection) eject(baseline float64, now time.Time) {
	if now.Sub(e.until) > ejectionReset {
		e.length = 0
	}
	e.length = min(maxEjection, max(minEjection, 2*e.length))
	e.until = now.Add(e.length)
	// Start above the baseline, so that a few outcomes after the ejection decide about the next one.
	e.failureRate = baseline + ejectionMargin/2
	e.outcomes = 0
}

// baselineFailureRate returns the midpoint between the lowest and the mean failure rate of the candidates.
// With few candidates, one bad upstream raises the mean so much that it would not stand out from the mean
// alone. The caller holds the lock.
func (t *LoadTracker) baselineFailureRate(candidates []*fleet.State) float64 {
	least, sum := 1.0, 0.0
	for _, upstream := range candidates {
		share := t.record(upstream.ID).ejection.failureRate
		least = min(least, share)
		sum += share
	}
	return (least + sum/float64(len(candidates))) / 2
}
