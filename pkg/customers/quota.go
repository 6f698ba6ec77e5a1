package customers

import "time"

// Tolerance is by how much the spending of all boxes together may exceed a limit, within any one window of time. It
// covers what boxes can't know of each other's spending yet. It is not part of what a customer is promised.
type Tolerance struct {
	// Window is the length of the window.
	Window time.Duration
	// Overage is a fraction of what the limit allows in the window; Slack is a number of units on top.
	Overage, Slack float64
}

// units returns the tolerance of a limit in units.
func (t Tolerance) units(limit Limit) float64 {
	return t.Overage*(limit.PerSecond*t.Window.Seconds()+limit.Burst) + t.Slack
}

// Scope tells which boxes share an account.
type Scope string

// Scopes, in the order in which a box tries them.
const (
	// FleetScope is the account of all reachable boxes, and the only one in use while all boxes are reachable.
	FleetScope Scope = "fleet"
	// HallScope is the account of one hall, for boxes that do not reach the fleet's account.
	HallScope Scope = "hall"
	// BoxScope is one box's own account, for when it reaches neither of the others.
	BoxScope Scope = "box"
)

// SpendRequest asks the keeper of an account to subtract the costs of some requests.
type SpendRequest struct {
	Customer string `json:"customer"`
	Scope    Scope  `json:"scope"`
	// Limit is the customer's limit in the given version of the configuration.
	Limit   Limit `json:"limit"`
	Version int64 `json:"version"`
	// Costs are the costs of the requests, in the order of arrival.
	Costs []float64 `json:"costs,omitempty"`
	// Classes tells the classes of the costs; nil if the box's build doesn't.
	Classes *ClassList `json:"classes,omitempty"`
	// Settled is what was spent on other accounts. It is negative for units that were taken from this account and
	// are returned.
	Settled float64 `json:"settled,omitempty"`
}

// Never is the wait of a request that is too expensive for its customer's limit at any time.
const Never time.Duration = -1

// Grant is the response to a SpendRequest.
type Grant struct {
	// Waits holds, for each cost, the time after which it will probably be granted: 0 if it is granted now, or
	// Never.
	Waits []time.Duration `json:"waits,omitempty"`
	// Level is what is left on the account; a negative level means that it is overdrawn.
	Level float64 `json:"level"`
	// Share is the fraction of the limit that the account holds, 0 to 1.
	Share float64 `json:"share"`
	// Thresholds holds, for each class of the SpendRequest, the level above which its requests are granted. It is
	// empty if the keeper's build knows no classes.
	Thresholds []float64 `json:"thresholds,omitempty"`
}

// threshold returns the threshold of the class of a cost; 0 if the keeper told none.
func (g Grant) threshold(list *ClassList, cost int) float64 {
	if i := list.Of[cost]; i >= 0 && i < len(g.Thresholds) {
		return g.Thresholds[i]
	}
	return 0
}
