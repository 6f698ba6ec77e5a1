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

// updateFactor updates the factor of the upstream from a predicted time to the first token and the observed
// one. The factor is a moving geometric mean of observed / predicted.
func (r *upstreamRecord) updateFactor(predicted, observed time.Duration) {
	if predicted < minPredicted {
		return
	}
	ratio := clampFactor(float64(observed) / float64(predicted))
	r.factor = clampFactor(r.factor * math.Pow(ratio, upstreamFactorWeight))
}

func clampFactor(factor float64) float64 { return min(maxFactor, max(minFactor, factor)) }

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}
