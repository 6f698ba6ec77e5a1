// Package shedding decides which share of new connections a box closes before it reads a request, so that their callers
// try another box.
//
// A load balancer may hand most new connections to one box. A box whose processor or link does not bear it then serves all of its callers late,
// while other boxes are idle. A Controller sheds only while the box falls behind and has far more requests in flight than
// the others: where all boxes are as busy, a caller that is sent away finds no better one.
//
// The package owns the share. Its callers measure the box (internal/gateway, which closes the connections).
//
// `ospreymoor node` uses it.
package shedding

import (
	"sync"
	"time"
)

// Policy defines when a box sheds connections.
type Policy struct {
	// MaxLag is how late the box's timers may be on average before it sheds, and MaxLinkUse which part of its network link
	// may be in use.
	MaxLag     time.Duration
	MaxLinkUse float64
	// Unevenness is how many times the average of the other boxes its requests in flight must be, and MinInFlight how many
	// they are at least.
	Unevenness  float64
	MinInFlight int
	// Raise is added to the share with each sample of a box that must shed, and Lower taken from it with each other one.
	Raise, Lower float64
	// MaxShare is the largest share. Some connections are always taken, so that the box learns when the load ends.
	MaxShare float64
}

// DefaultPolicy is the policy in use.
var DefaultPolicy = Policy{
	MaxLag: 50 * time.Millisecond, MaxLinkUse: 0.7, Unevenness: 2, MinInFlight: 16,
	Raise: 0.25, Lower: 0.05, MaxShare: 0.95,
}

// sampleWeight is the weight of one sample in the averages.
const sampleWeight = 0.4

// Sample is what a box measured of itself.
type Sample struct {
	// Lag is how late a timer of the box was, and LinkUse the part of its network link that was in use, 0 to 1; 0 if the
	// link's rate is unknown.
	Lag     time.Duration
	LinkUse float64
	// InFlight is the number of requests in flight at this box, and Others that at all other boxes together.
	InFlight, Others int
	// Boxes is the number of boxes that it is in touch with, itself included.
	Boxes int
}

// Controller holds the share of new connections to close. It is safe for concurrent use.
type Controller struct {
	Policy Policy

	mu sync.Mutex
	// lag and linkUse are moving averages.
	lag     time.Duration
	linkUse float64
	// share is the share to close. owed adds it up over the connections; one is closed each time that it reaches 1.
	share, owed float64
}

// Observe adjusts the share to a sample. Callers take samples at regular intervals.
func (c *Controller) Observe(s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lag += time.Duration(sampleWeight * float64(s.Lag-c.lag))
	c.linkUse += sampleWeight * (s.LinkUse - c.linkUse)
	if (c.lag >= c.Policy.MaxLag || c.linkUse >= c.Policy.MaxLinkUse) && c.uneven(s) {
		c.share = min(c.Policy.MaxShare, c.share+c.Policy.Raise)
		return
	}
	c.share = max(0, c.share-c.Policy.Lower)
}

// uneven reports whether this box has far more requests in flight than the others.
func (c *Controller) uneven(s Sample) bool {
	if s.Boxes < 2 || s.InFlight < c.Policy.MinInFlight {
		return false
	}
	return float64(s.InFlight) >= c.Policy.Unevenness*float64(s.Others)/float64(s.Boxes-1)
}

// Share returns the share of new connections to close, 0 to 1.
func (c *Controller) Share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share
}

// Sheds reports whether to close the connection that was just accepted. It spreads the share evenly over connections.
func (c *Controller) Sheds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.share == 0 {
		c.owed = 0
		return false
	}
	if c.owed += c.share; c.owed < 1 {
		return false
	}
	c.owed--
	return true
}
