package admission

import (
	"sync"
	"time"
)

// Request holds what decides about the admission of a request.
type Request struct {
	Customer string
	// Weight is the customer's weight in the fair share; 0 means 1.
	Weight float64
	// Limits must all hold.
	Limits []Limit
	// Wait is the estimated time until a slot is free.
	Wait time.Duration
	// Target is the longest acceptable wait.
	Target time.Duration
	// Slots is how many requests all engines of the pool in the whole fleet can run at once.
	Slots int
}

// Controller admits the requests of one box. It is safe for concurrent use.
type Controller struct {
	// boxes returns the number of boxes that share the fleet's limits and slots.
	boxes func() int

	mu       sync.Mutex
	limits   map[string]*limitState
	inFlight int
	// customers holds those with requests in flight; others have no entry.
	customers map[string]*customerState
}

// New returns a controller. boxes returns the number of boxes that share the fleet's limits and slots; nil means
// one.
func New(boxes func() int) *Controller {
	if boxes == nil {
		boxes = func() int { return 1 }
	}
	return &Controller{boxes: boxes, limits: map[string]*limitState{}, customers: map[string]*customerState{}}
}

// Admit admits a request and returns a function to call at its end, or refuses it. Only the first call of the
// function has an effect. The target is checked first, then the fair share, then the limits.
func (c *Controller) Admit(r Request) (done func(), refusal *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	boxes := max(1, c.boxes())
	if r.Wait > r.Target {
		return nil, refuse(ReasonTooLate, "", r.Wait-r.Target)
	}
	if excess := c.overShareWait(r, boxes); excess > 0 {
		return nil, refuse(ReasonFairShare, "", excess)
	}
	if refusal := c.takeLimits(r.Limits, boxes); refusal != nil {
		return nil, refusal
	}
	c.addInFlight(r)
	var once sync.Once
	return func() { once.Do(func() { c.removeInFlight(r) }) }, nil
}

// InFlight returns the number of admitted requests that have not ended.
func (c *Controller) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

func (c *Controller) addInFlight(r Request) {
	c.inFlight++
	customer := c.customerStateFor(r)
	customer.inFlight++
	c.customers[r.Customer] = customer
	for _, limit := range r.Limits {
		c.limits[limit.Name].inFlight++
	}
}

func (c *Controller) removeInFlight(r Request) {
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
