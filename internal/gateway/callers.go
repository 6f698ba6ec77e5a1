package gateway

import (
	"sync"
	"time"
)

// callerTimes learns how much time callers of a route give at their first try. It is safe for
// concurrent use.
type callerTimes struct {
	mu sync.Mutex
	// usual is the most time that was given lately, by route.
	usual map[string]time.Duration
}

const (
	// firstTryShare is the part of the usual time that a caller gives at least at its first try.
	firstTryShare = 0.97
	// usualDecay is the part by which the usual time comes closer to one that is shorter.
	usualDecay = 0.005
)

// cameBack tells whether a caller seems to have been refused before: it gives less time than others
// do at their first try.
func (c *callerTimes) cameBack(route string, request *Request) bool {
	if request.Deadline.IsZero() {
		return false
	}
	given := request.Deadline.Sub(request.Arrived)
	c.mu.Lock()
	defer c.mu.Unlock()
	usual := c.usual[route]
	if given >= usual {
		if c.usual == nil {
			c.usual = map[string]time.Duration{}
		}
		c.usual[route] = given
		return false
	}
	c.usual[route] = usual - time.Duration(usualDecay*float64(usual-given))
	return given < time.Duration(firstTryShare*float64(usual))
}
