package dispatch

import (
	"math"
	"time"
)

const (
	// slownessWeight and paceWeight are those of a new observation in the running means.
	slownessWeight = 0.05
	paceWeight     = 0.1
	// leastFactor and mostFactor bound the factors and one observation.
	leastFactor = 0.2
	mostFactor  = 1.5
	// leastPredicted is too short to compare with.
	leastPredicted = 8 * time.Millisecond
)

// observe corrects the factors by a prediction and what came of it. The caller holds the lock.
func (b *LoadTracker) observe(entry *backendBook, model string, predicted, observed time.Duration) {
	if predicted < leastPredicted {
		return
	}
	ratio := bounded(float64(observed) / float64(predicted))
	entry.slowness = bounded(entry.slowness * math.Pow(ratio, slownessWeight))
	if model != "" {
		b.pace[model] = bounded(b.paceOf(model) * math.Pow(ratio, paceWeight))
	}
}

func bounded(factor float64) float64 { return min(mostFactor, max(leastFactor, factor)) }

// paceOf is the factor of a model's work. The caller holds the lock.
func (b *LoadTracker) paceOf(model string) float64 {
	if pace, ok := b.pace[model]; ok {
		return pace
	}
	return 1
}
