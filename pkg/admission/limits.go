package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstDuration is the burst of a rate limit, as time at its rate.
	burstDuration = time.Second
	// inFlightRetry is the time after which to retry a request that was refused by an in-flight limit.
	inFlightRetry = time.Second
)

// Limit bounds the requests of one customer, model or service in the whole fleet; 0 means no limit.
type Limit struct {
	// Name identifies the limit, such as customer/model.
	Name              string
	RequestsPerSecond float64
	// InFlight is the number of requests in flight at once. Each box takes its part, rounded up.
	InFlight int
}

// limitState is this box's part of a limit.
type limitState struct {
	// limiter is nil for a limit without a rate.
	limiter  *rate.Limiter
	inFlight int
}

// takeLimits takes a token from each rate limit. If a limit is reached, it takes none and returns a refusal.
func (c *Controller) takeLimits(limits []Limit, boxes int) *Refusal {
	now := time.Now()
	for _, limit := range limits {
		state := c.limitStateFor(limit, boxes)
		if limit.InFlight > 0 && state.inFlight >= perBoxLimit(limit.InFlight, boxes) {
			return refuse(ReasonInFlight, limit.Name, inFlightRetry)
		}
		if limit.RequestsPerSecond > 0 && state.limiter.TokensAt(now) < 1 {
			return refuse(ReasonRate, limit.Name, untilToken(state.limiter, now))
		}
	}
	for _, limit := range limits {
		if limit.RequestsPerSecond > 0 {
			c.limits[limit.Name].limiter.AllowN(now, 1)
		}
	}
	return nil
}

func untilToken(limiter *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - limiter.TokensAt(now)
	seconds := missing / float64(limiter.Limit())
	return time.Duration(seconds * float64(time.Second))
}

// limitStateFor returns a limit's state, with its rate set to this box's current part.
func (c *Controller) limitStateFor(limit Limit, boxes int) *limitState {
	state, ok := c.limits[limit.Name]
	if !ok {
		state = &limitState{}
		c.limits[limit.Name] = state
	}
	if limit.RequestsPerSecond == 0 {
		return state
	}
	perBox := rate.Limit(limit.RequestsPerSecond / float64(boxes))
	burst := max(1, int(math.Ceil(float64(perBox)*burstDuration.Seconds())))
	switch {
	case state.limiter == nil:
		state.limiter = rate.NewLimiter(perBox, burst)
	case state.limiter.Limit() != perBox:
		state.limiter.SetLimit(perBox)
		state.limiter.SetBurst(burst)
	}
	return state
}

// perBoxLimit returns one box's part of a limit, rounded up.
func perBoxLimit(limit, boxes int) int { return (limit + boxes - 1) / boxes }
