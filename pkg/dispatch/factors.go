package dispatch

import (
	"math"
	"time"
)

const (
	// upstreamFactorWeight is the weight of one observation in an upstream's factor.
	upstreamFactorWeight = 0.05
	// modelFactorWeight is the weight of one observation in a model's factor. Faster learning at the beginning
	// lowered the share of the value of all requests that was earned by serving them in time, in simulated days,
	// from 0.691 to 0.684.
	modelFactorWeight = 0.1
	// minFactor and maxFactor bound both factors and each observation.
	minFactor = 0.2
	maxFactor = 1.5
	// minPredicted is the shortest prediction that updates the factors. Below it the observed time is
	// mostly overhead.
	minPredicted = 8 * time.Millisecond
)

// updateFactors updates the factors of the upstream and of the model from a predicted time to the first
// token and the observed one. Each factor is a moving geometric mean of observed / predicted. The caller
// holds the lock.
func (t *LoadTracker) updateFactors(record *upstreamRecord, model string, predicted, observed time.Duration) {
	if predicted < minPredicted {
		return
	}
	ratio := clampFactor(float64(observed) / float64(predicted))
	record.factor = clampFactor(record.factor * math.Pow(ratio, upstreamFactorWeight))
	if model != "" {
		t.modelFactors[model] = clampFactor(t.modelFactor(model) * math.Pow(ratio, modelFactorWeight))
	}
}

// modelFactor returns the factor by which a model's work takes longer than predicted; 1 if nothing was
// observed. The caller holds the lock.
func (t *LoadTracker) modelFactor(model string) float64 {
	if factor, ok := t.modelFactors[model]; ok {
		return factor
	}
	return 1
}

func clampFactor(factor float64) float64 { return min(maxFactor, max(minFactor, factor)) }

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}
