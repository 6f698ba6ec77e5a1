package residency

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// storeBurst is how many loads from the weight store may start at once.
	storeBurst = 4
	// storeRateFraction is the fraction of the weight store's rate that is used. The platform's bound is the
	// whole rate.
	storeRateFraction = 0.95
)

// storeRate limits the rate of loads from the weight store. The controller's lock guards it.
type storeRate struct {
	// limiter is nil until the first plan of a term.
	limiter *rate.Limiter
	// planned counts the loads that are planned but not ordered yet.
	planned int
}

// start creates the limiter on the first call. It begins without tokens, because the former holder of the
// order lease may have used them.
func (r *storeRate) start(loadsPerSecond float64, now time.Time) {
	if r.limiter != nil {
		return
	}
	r.limiter = rate.NewLimiter(rate.Limit(storeRateFraction*loadsPerSecond), storeBurst)
	r.limiter.AllowN(now, storeBurst)
}

// remaining returns how many more loads may be planned; it may be negative.
func (r *storeRate) remaining(now time.Time) int { return int(r.limiter.TokensAt(now)) - r.planned }

// takeStoreLoad waits until the rate limit of the weight store allows a planned load, and reports whether
// the load may be ordered. It is called at the moment of the order: when the limit was applied at the time
// of planning instead, the platform's bound was exceeded on four of eighty days, because the unloads before
// the loads bunched the load orders together.
func (c *Controller) takeStoreLoad(ctx context.Context, term int64) bool {
	c.mu.Lock()
	limiter := c.storeRate.limiter
	if c.term != term || limiter == nil {
		c.mu.Unlock()
		return false
	}
	c.storeRate.planned--
	c.mu.Unlock()
	return limiter.Wait(ctx) == nil
}

// cancelStoreLoad removes a planned load that will not be ordered.
func (c *Controller) cancelStoreLoad(term int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term {
		c.storeRate.planned--
	}
}
