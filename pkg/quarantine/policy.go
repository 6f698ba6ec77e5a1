package quarantine

import "time"

// Policy is the rule on a request under which upstreams crash one after the other, without a whole answer in between.
type Policy struct {
	// PauseAfter is how many crashes hold the request for Pause after the latest.
	PauseAfter int
	Pause      time.Duration
	// HoldAfter is how many hold it for Hold, and for twice as long after each further one.
	HoldAfter int
	Hold      time.Duration
}

// DefaultPolicy is the rule in force. One crash holds nothing: most upstreams crash for causes of their own, and a request that is
// sent on at once is served. Of two in a row the cause is probably the request; whoever only ran beside it twice comes again
// half a minute later.
var DefaultPolicy = Policy{
	PauseAfter: 2,
	Pause:      30 * time.Second,
	HoldAfter:  3,
	Hold:       10 * time.Minute,
}

// span is how long a request is held after the latest of its crashes; 0 for as many as it may have.
func (p *Policy) span(crashes int) time.Duration {
	switch {
	case crashes >= p.HoldAfter:
		return p.Hold << min(crashes-p.HoldAfter, keptCrashes)
	case crashes >= p.PauseAfter:
		return p.Pause
	}
	return 0
}
