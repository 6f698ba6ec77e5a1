package admission

import "time"

// overShareTarget is the fraction of its target that a request may wait if its customer is beyond its fair
// share. The rest is left to other customers.
const overShareTarget = 0.5

// customerState is the state of a customer with requests in flight on this box.
type customerState struct {
	weight   float64
	inFlight int
}

// overShareWait returns by how much the request's wait exceeds what a customer may wait that already has its
// fair share in flight; 0 if the request may run. The share is a part of this box's slots, weighted against
// the customers that have requests in flight now, and at least one request.
func (c *Controller) overShareWait(r Request, boxes int) time.Duration {
	weight := weightOf(r.Weight)
	totalWeight := weight
	for name, customer := range c.customers {
		if name != r.Customer {
			totalWeight += customer.weight
		}
	}
	share := float64(r.Slots) / float64(boxes) * weight / totalWeight
	if float64(c.customerStateFor(r).inFlight) < max(1, share) {
		return 0
	}
	return max(0, r.Wait-time.Duration(overShareTarget*float64(r.Target)))
}

// customerStateFor returns the state of the request's customer, or a new one if it has nothing in flight.
func (c *Controller) customerStateFor(r Request) *customerState {
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
