package dispatch

import (
	"math"
	"time"
)

const (
	// upstreamFactorWeight is the weight of one observation in an upstream's factor.
	upstreamFactorWeight = 0.05
	// demandFactorWeight is the weight of one observation in a model's demand factor.
	demandFactorWeight = 0.1
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

// updateDemandFactor updates the factor by which placement corrects a model's demand. Unlike the model's pace it
// includes waits, so that a model whose prompts wait gets more replicas.
func (t *LoadTracker) updateDemandFactor(model string, predicted, observed time.Duration) {
	if model == "" || predicted < minPredicted {
		return
	}
	ratio := clampFactor(float64(observed) / float64(predicted))
	t.demandFactors[model] = clampFactor(t.demandFactor(model) * math.Pow(ratio, demandFactorWeight))
}

// demandFactor returns a model's demand factor; 1 if nothing was observed. The caller holds the lock.
func (t *LoadTracker) demandFactor(model string) float64 {
	if factor, ok := t.demandFactors[model]; ok {
		return factor
	}
	return 1
}

func clampFactor(factor float64) float64 { return min(maxFactor, max(minFactor, factor)) }

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}
