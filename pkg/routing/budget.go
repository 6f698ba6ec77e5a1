package routing

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RetryBudget bounds retries to a share of requests, so that a failing upstream makes no storm.
type RetryBudget struct {
	// Share of requests that may be retried, such as 0.1.
	Share float64

	mu     sync.Mutex
	tokens float64
	// floor lets a quiet box retry at all.
	floor *rate.Limiter
}

const (
	// retryBurst bounds the retries saved up.
	retryBurst = 10
	// retryFloor is the retries a second that are always allowed.
	retryFloor = 1
)

// NewRetryBudget returns a budget for a share of requests.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{Share: share, floor: rate.NewLimiter(retryFloor, retryBurst)}
}

// Request notes a first try.
func (b *RetryBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+b.Share)
}

// Retry tells whether one more retry is within the budget, and takes it.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	return b.floor.AllowN(time.Now(), 1)
}
