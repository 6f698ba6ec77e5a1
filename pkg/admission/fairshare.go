package admission

import "time"

// shareTarget is the part of its target that a request of a customer beyond its share may wait. The
// rest is left to other customers.
const shareTarget = 0.5

// customerState is a customer with requests in flight on this box.
type customerState struct {
	weight   float64
	inFlight int
}

// shareExcess is how much longer the request would wait than a customer may that has its fair share
// of this box's part of the slots in flight; 0 if it may run. The share is weighted against the
// customers that have requests in flight now, and is one request at least.
func (c *Controller) shareExcess(r Request, boxes int) time.Duration {
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

// customer returns the state of a request's customer, a new one if it has nothing in flight.
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
