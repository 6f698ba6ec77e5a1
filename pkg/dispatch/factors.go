package dispatch

import (
	"math"
	"time"
)

const (
	// upstreamFactorWeight is the weight of one observation in an upstream's factor.
	upstreamFactorWeight = 0.05
	// minFactor and maxFactor bound the factor and each observation.
	minFactor = 0.2
	maxFactor = 1.5
	// minPredicted is the shortest prediction that updates the factors. Below it the observed time is
	// mostly overhead.
	minPredicted = 8 * time.Millisecond
)

// updateFactors updates the factor of the upstream and the common pace from a predicted time to the first token
// and the observed one. The factor is a moving geometric mean of observed / predicted.
//
// The common pace is that of the shortest first tokens at all upstreams. Without it, the upstreams that were used
// first would look faster than those that were not used yet wherever predictions are too long, and would get all
// requests. The caller holds the lock.
func (t *LoadTracker) updateFactors(record *upstreamRecord, predicted, observed time.Duration) {
	if predicted < minPredicted {
		return
	}
	ratio := float64(observed) / float64(predicted)
	t.commonPace.add(ratio * t.commonPace.value())
	record.factor = clampFactor(record.factor * math.Pow(clampFactor(ratio), upstreamFactorWeight))
}

// upstreamFactor returns the factor of all predicted waits at an upstream. The caller holds the lock.
func (t *LoadTracker) upstreamFactor(record *upstreamRecord) float64 {
	return clampFactor(record.factor * t.commonPace.value())
}

func clampFactor(factor float64) float64 { return min(maxFactor, max(minFactor, factor)) }

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}
