package customers

import "time"

// Tolerance is by how much what all boxes spend together may exceed a limit, within any one span of time. It pays for
// what boxes can't know of each other in the moment: it is no part of what a customer is promised.
type Tolerance struct {
	// Window is the span.
	Window time.Duration
	// Overage is a share of what the limit allows in the span, and Slack a number of units on top.
	Overage, Slack float64
}

// units is the tolerance of a limit.
func (t Tolerance) units(limit Limit) float64 {
	return t.Overage*(limit.PerSecond*t.Window.Seconds()+limit.Burst) + t.Slack
}

// Scope is whose part of a quota an account holds.
type Scope string

// The scopes, in the order in which a box tries them.
const (
	// FleetScope is the account of all boxes that are in touch, and the only one while all of them are.
	FleetScope Scope = "fleet"
	// HallScope is the account of one hall, for boxes that do not reach the fleet's.
	HallScope Scope = "hall"
	// BoxScope is one box's own account, for when it reaches neither.
	BoxScope Scope = "box"
)

// Ask asks the keeper of an account to take the costs of some requests off it.
type Ask struct {
	Customer string `json:"customer"`
	Scope    Scope  `json:"scope"`
	// Limit is the customer's in a version of the configuration.
	Limit   Limit `json:"limit"`
	Version int64 `json:"version"`
	// Costs are those of the requests, in the order of their arrival.
	Costs []float64 `json:"costs,omitempty"`
	// Settled is what was spent on other accounts, or less than 0 what was taken here and is returned.
	Settled float64 `json:"settled,omitempty"`
}

// Never is the wait of a request that is too dear for its customer's limit at any time.
const Never time.Duration = -1

// Grant answers an Ask.
type Grant struct {
	// Waits are for each cost the time after which it probably is granted: 0 for one that is granted now, and Never.
	Waits []time.Duration `json:"waits,omitempty"`
	// Level is what is left on the account; below 0 it is overdrawn.
	Level float64 `json:"level"`
	// Share is the account's part of the limit, 0 to 1.
	Share float64 `json:"share"`
}
