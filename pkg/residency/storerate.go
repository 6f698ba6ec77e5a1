package residency

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// storeBurst is how many loads from the weight store may begin at once.
	storeBurst = 4
	// storeShare is the part of the weight store's rate that is used. The platform's bound is
	// the whole rate.
	storeShare = 0.95
)

// storeRate bounds the loads from the weight store. The controller's lock guards it.
type storeRate struct {
	// limiter is nil until the first plan of a term.
	limiter *rate.Limiter
	// planned counts the loads that are planned and not ordered yet.
	planned int
}

// begin starts the limiter. A new holder counts the weight store's rate as used up, since the former
// one may have used it.
func (r *storeRate) begin(loadsPerSecond float64, now time.Time) {
	if r.limiter != nil {
		return
	}
	r.limiter = rate.NewLimiter(rate.Limit(storeShare*loadsPerSecond), storeBurst)
	r.limiter.AllowN(now, storeBurst)
}

// left is how many more loads may be planned; it may be negative.
func (r *storeRate) left(now time.Time) int { return int(r.limiter.TokensAt(now)) - r.planned }

// drawLoad waits until the weight store allows a planned load, at the moment of its order. Drawn upon
// when planned, the platform's bound was broken on four of eighty days, since the unloads before the
// loads bunched their orders. It reports whether the load may be ordered.
func (c *Controller) drawLoad(ctx context.Context, term int64) bool {
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

// cancelLoad forgets a planned load that is not ordered after all.
func (c *Controller) cancelLoad(term int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term {
		c.storeRate.planned--
	}
}
