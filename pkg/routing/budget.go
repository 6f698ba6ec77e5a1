package routing

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retryBurst bounds the retries that are saved up, of the share and of the minimum each.
	retryBurst = 10
	// minRetriesPerSecond is how many retries a second are allowed in addition to the share.
	minRetriesPerSecond = 1
)

// RetryBudget bounds a box's retries to a share of its requests, so that a failing upstream does not
// multiply the load. It is safe for concurrent use.
//
// The retry budget of internal/gateway follows another rule: the node's bound is set for each service
// over the whole fleet, so that a box has its part of it and no minimum of its own. Here one bound
// covers all that a box sends, and a box with few requests may always make a few retries.
type RetryBudget struct {
	// share is the share of requests that may be retried.
	share float64

	mu      sync.Mutex
	tokens  float64
	minimum *rate.Limiter
}

// NewRetryBudget returns a budget for a share of requests, such as 0.1.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, minimum: rate.NewLimiter(minRetriesPerSecond, retryBurst)}
}

// RecordRequest records a request's first attempt.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+b.share)
}

// TryRetry takes one retry from the budget and reports whether there was one left.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	return b.minimum.AllowN(time.Now(), 1)
}
