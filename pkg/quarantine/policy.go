package quarantine

import "time"

// Policy defines how long a request is held after upstreams crashed under it in a row, that is, without a complete
// answer in between.
type Policy struct {
	// PauseAfter is the number of crashes from which on the request is held for Pause after the latest crash.
	PauseAfter int
	Pause      time.Duration
	// HoldAfter is the number of crashes from which on it is held for Hold, doubled with each further crash.
	HoldAfter int
	Hold      time.Duration
}

// DefaultPolicy is the policy in use. After one crash the request is not held: most upstreams crash for causes of
// their own, and a request that is retried at once is served. After two crashes in a row the request is probably the
// cause. A request that was twice in flight only beside the cause can be sent again half a minute later.
var DefaultPolicy = Policy{
	PauseAfter: 2,
	Pause:      30 * time.Second,
	HoldAfter:  3,
	Hold:       10 * time.Minute,
}

// holdTime returns how long a request is held after the latest of its crashes; 0 if they are too few to hold it.
func (p *Policy) holdTime(crashes int) time.Duration {
	switch {
	case crashes >= p.HoldAfter:
		return p.Hold << min(crashes-p.HoldAfter, maxCrashes)
	case crashes >= p.PauseAfter:
		return p.Pause
	}
	return 0
}
