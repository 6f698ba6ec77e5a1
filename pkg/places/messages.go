package places

import (
	"math"
	"time"
)

// Ask asks the keeper of a service for a place at one of the upstreams.
type Ask struct {
	Service string `json:"service"`
	// ID identifies the ask. An ask that is sent again keeps its ID and its position.
	ID uint64 `json:"id"`
	// Hall is the hall of the asking box. Of equal upstreams it gets one there.
	Hall    string `json:"hall,omitempty"`
	Urgency int    `json:"urgency,omitempty"`
	// Aim and Deadline are the times left to the route's target and to the deadline; 0 means none.
	Aim      time.Duration `json:"aim,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty"`
	// Except names the upstreams that must not get the request.
	Except []string `json:"except,omitempty"`
}

// Answer is the keeper's answer to an Ask: a place, a denial or, if both are absent, the advice to ask again.
type Answer struct {
	// Upstream is where the place is; empty if there is none yet.
	Upstream string `json:"upstream,omitempty"`
	// Denied means that the request cannot be served before its deadline. Wait is then the time until one that
	// arrives can be.
	Denied bool          `json:"denied,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	// None means that the keeper knows no upstream that may get the request. The box then chooses itself.
	None bool `json:"none,omitempty"`
	// Known is the number of places that the keeper counts by, Taken and Waiting how many of them are taken and how
	// many asks wait. Age is the age of the account.
	Known   int           `json:"known,omitempty"`
	Taken   int           `json:"taken,omitempty"`
	Waiting int           `json:"waiting,omitempty"`
	Age     time.Duration `json:"age,omitempty"`
}

// Result is how the use of a place ended.
type Result int

const (
	// Unused: the request was not sent, or its end shows nothing about the upstream.
	Unused Result = iota
	// Served: the upstream answered.
	Served
	// TurnedAway: the upstream did not run the request.
	TurnedAway
	// Failed: the upstream failed or could not be reached.
	Failed
)

// Return gives back the place of an ask, or withdraws an ask that waits.
type Return struct {
	ID     uint64 `json:"id"`
	Result Result `json:"result,omitempty"`
	// Took is how long the box used the place; 0 if unknown. The return may come later.
	Took time.Duration `json:"took,omitempty"`
}

// Returns are the places that a box gives back in one message.
type Returns struct {
	Service string   `json:"service"`
	Places  []Return `json:"places"`
}

// Upstream is an upstream of the service that may get requests.
type Upstream struct {
	ID   string
	Hall string
	// Slots is the number of requests that it runs at once.
	Slots int
}

const (
	// maxSlots bounds the slots that an entry may state.
	maxSlots = 1024
	// maxTimeLeft bounds the times that an ask may state, and is how long a place without a deadline is kept.
	maxTimeLeft = 10 * time.Second
	// urgencyLevels is the number of urgencies that are told apart.
	urgencyLevels = 3
	// maxExcept bounds the upstreams that an ask may exclude.
	maxExcept = 64
)

// bounded returns the ask with its values within their bounds.
func (a Ask) bounded() Ask {
	a.Urgency = a.level()
	a.Aim = max(0, min(a.Aim, maxTimeLeft))
	a.Deadline = max(0, min(a.Deadline, maxTimeLeft))
	a.Except = a.Except[:min(len(a.Except), maxExcept)]
	return a
}

// level returns the urgency within its bounds.
func (a *Ask) level() int { return max(0, min(a.Urgency, urgencyLevels-1)) }

// slots returns the slots within their bounds.
func (u *Upstream) slots() float64 { return float64(max(1, min(u.Slots, maxSlots))) }

// places returns the number of requests that all boxes may have under way at the upstream: its slots, and a few that
// wait there, given the average time of a request and the share of the boxes that the account serves. An account of
// most boxes has all slots: the few requests that the others may send there wait at the upstream.
func (u *Upstream) places(mean time.Duration, share float64) float64 {
	slots := u.slots()
	waiting := min(slots, math.Round(1+slots*returnTime.Seconds()/max(minTime, mean).Seconds()))
	places := math.Ceil((slots + waiting) * share)
	if share > 0.5 {
		return max(slots, places)
	}
	return max(1, places)
}
