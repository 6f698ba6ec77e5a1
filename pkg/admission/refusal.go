package admission

import (
	"math/rand/v2"
	"time"
)

// Reasons of a refusal. They are label values of metrics.
const (
	ReasonRate      = "rate limit"
	ReasonInFlight  = "in-flight limit"
	ReasonFairShare = "fair share"
	ReasonTooLate   = "target out of reach"
)

const (
	// minRetry and maxRetry bound the time to retry, before the jitter.
	minRetry = 200 * time.Millisecond
	maxRetry = time.Minute
	// retryJitter is the largest fraction of the time to retry that is added at random, so that refused
	// callers do not retry all at once.
	retryJitter = 0.2
)

// Refusal tells why a request is not admitted, and when to retry it.
type Refusal struct {
	Reason string
	// Limit is the name of the limit that was reached, if one was.
	Limit      string
	RetryAfter time.Duration
}

func refuse(reason, limit string, after time.Duration) *Refusal {
	after = min(max(after, minRetry), maxRetry)
	after += time.Duration(retryJitter * rand.Float64() * float64(after))
	return &Refusal{Reason: reason, Limit: limit, RetryAfter: after.Round(time.Millisecond)}
}
