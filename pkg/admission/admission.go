// Package admission decides at once whether a request may run.
//
// Nothing waits here: what cannot be served within its target is refused at its arrival,
// with the time after which coming back makes sense. Limits of the whole fleet are shared
// evenly by the boxes. When slots are scarce a customer beyond its fair share is refused
// first, so that one customer's surge leaves the others' targets alone.
package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Reasons of a refusal; they label the metrics.
const (
	ReasonRate      = "rate limit"
	ReasonInFlight  = "in-flight limit"
	ReasonFairShare = "fair share"
	ReasonTooLate   = "target out of reach"
)

// Limit bounds one customer, model or service in the whole fleet; 0 is no limit.
type Limit struct {
	// Name tells limits apart, such as customer/model.
	Name              string
	RequestsPerSecond float64
	InFlight          int
}

// Request is what admission looks at.
type Request struct {
	Customer string
	// Weight is the customer's share against others.
	Weight float64
	// Limits that all must hold.
	Limits []Limit
	// Wait is the estimated time until a slot is free, and Target the time to the first token.
	Wait   time.Duration
	Target time.Duration
	// Slots is what all engines of the pool run at once, all together.
	Slots int
}

// Refusal says why a request is not admitted and when to come back.
type Refusal struct {
	Reason string
	// Limit is the name of the limit that was passed, if one was.
	Limit      string
	RetryAfter time.Duration
}

// Error names the remedy.
func (r *Refusal) Error() string {
	if r.Limit != "" {
		return fmt.Sprintf("%s of %s reached: come back in %s", r.Reason, r.Limit, r.RetryAfter)
	}
	return fmt.Sprintf("%s: come back in %s", r.Reason, r.RetryAfter)
}

// Controller admits requests to one box. It is safe for concurrent use.
type Controller struct {
	// Boxes returns how many boxes share the fleet's limits; nil means this one alone.
	Boxes func() int

	mu        sync.Mutex
	limits    map[string]*limitState
	customers map[string]*customerState
	inFlight  int
}

type limitState struct {
	limiter  *rate.Limiter
	inFlight int
}

type customerState struct {
	weight   float64
	inFlight int
}

const (
	// shareTarget is the part of its target that a customer beyond its share may wait. The rest
	// is left to the others, so that whoever comes next is not refused because of its surge.
	shareTarget = 0.5
	// leastRetry and mostRetry bound when to come back.
	leastRetry = 200 * time.Millisecond
	mostRetry  = time.Minute
	// burstTime is how much of a rate limit can be used at once.
	burstTime = time.Second
	// retryJitter spreads those who come back.
	retryJitter = 0.2
	// inFlightRetry is when a place below an in-flight limit is looked for again.
	inFlightRetry = time.Second
)

// New returns a controller that shares limits with boxes-1 others.
func New(boxes func() int) *Controller {
	if boxes == nil {
		boxes = func() int { return 1 }
	}
	return &Controller{Boxes: boxes, limits: map[string]*limitState{}, customers: map[string]*customerState{}}
}

// Admit takes a request in and returns the function to call at its end, or refuses it.
func (c *Controller) Admit(r Request) (done func(), refusal *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	boxes := max(1, c.Boxes())
	if r.Wait > r.Target {
		return nil, refuse(ReasonTooLate, "", r.Wait-r.Target)
	}
	if over := c.beyondShare(r, boxes); over > 0 {
		return nil, refuse(ReasonFairShare, "", over)
	}
	if refusal := c.checkLimits(r.Limits, boxes); refusal != nil {
		return nil, refusal
	}
	c.start(r)
	var once sync.Once
	return func() { once.Do(func() { c.end(r) }) }, nil
}

// InFlight is the number of admitted requests that have not ended.
func (c *Controller) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// beyondShare is how much longer than a customer may that has more in flight than its part of
// the slots the request would wait; 0 if it may run.
func (c *Controller) beyondShare(r Request, boxes int) time.Duration {
	weight := weightOf(r.Weight)
	weights := weight
	for name, customer := range c.customers {
		if name != r.Customer {
			weights += customer.weight
		}
	}
	share := float64(r.Slots) / float64(boxes) * weight / weights
	if float64(c.customer(r).inFlight) < max(1, share) {
		return 0
	}
	return max(0, r.Wait-time.Duration(shareTarget*float64(r.Target)))
}

// checkLimits takes a token of each limit, or none if one is passed.
func (c *Controller) checkLimits(limits []Limit, boxes int) *Refusal {
	now := time.Now()
	for _, limit := range limits {
		state := c.limit(limit, boxes)
		if limit.InFlight > 0 && state.inFlight >= shareOf(limit.InFlight, boxes) {
			return refuse(ReasonInFlight, limit.Name, inFlightRetry)
		}
		if limit.RequestsPerSecond > 0 && state.limiter.TokensAt(now) < 1 {
			missing := 1 - state.limiter.TokensAt(now)
			seconds := missing / float64(state.limiter.Limit())
			return refuse(ReasonRate, limit.Name, time.Duration(seconds*float64(time.Second)))
		}
	}
	for _, limit := range limits {
		if limit.RequestsPerSecond > 0 {
			c.limits[limit.Name].limiter.AllowN(now, 1)
		}
	}
	return nil
}

// limit finds a limit's state and brings its rate to this box's present share.
func (c *Controller) limit(limit Limit, boxes int) *limitState {
	state, ok := c.limits[limit.Name]
	if !ok {
		state = &limitState{}
		c.limits[limit.Name] = state
	}
	if limit.RequestsPerSecond == 0 {
		return state
	}
	perBox := rate.Limit(limit.RequestsPerSecond / float64(boxes))
	burst := max(1, int(math.Ceil(float64(perBox)*burstTime.Seconds())))
	switch {
	case state.limiter == nil:
		state.limiter = rate.NewLimiter(perBox, burst)
	case state.limiter.Limit() != perBox:
		state.limiter.SetLimit(perBox)
		state.limiter.SetBurst(burst)
	}
	return state
}

func (c *Controller) start(r Request) {
	c.inFlight++
	customer := c.customer(r)
	customer.inFlight++
	c.customers[r.Customer] = customer
	for _, limit := range r.Limits {
		c.limits[limit.Name].inFlight++
	}
}

func (c *Controller) end(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	customer := c.customers[r.Customer]
	customer.inFlight--
	if customer.inFlight == 0 {
		delete(c.customers, r.Customer)
	}
	for _, limit := range r.Limits {
		c.limits[limit.Name].inFlight--
	}
}

// customer returns the state of a customer; one with nothing in flight has no entry.
func (c *Controller) customer(r Request) *customerState {
	if state, ok := c.customers[r.Customer]; ok {
		return state
	}
	return &customerState{weight: weightOf(r.Weight)}
}

func weightOf(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// shareOf is one box's part of a whole number, rounded up.
func shareOf(whole, boxes int) int { return (whole + boxes - 1) / boxes }

func refuse(reason, limit string, after time.Duration) *Refusal {
	after = min(max(after, leastRetry), mostRetry)
	after += time.Duration(retryJitter * rand.Float64() * float64(after))
	return &Refusal{Reason: reason, Limit: limit, RetryAfter: after.Round(time.Millisecond)}
}
