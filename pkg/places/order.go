package places

import (
	"math"
	"time"
)

const (
	// timeMargin is the factor on the expected time of a request when it is decided whether it can make its aim.
	// Requests of one upstream differ by as much in the short spans in which it is slow.
	timeMargin = 1.3
	// waitMargin is the factor on the expected wait.
	waitMargin = 1.2
)

// waiter is an ask that waits for a place.
type waiter struct {
	ask Ask
	// aim and deadline are the times of the ask's; zero means none.
	aim, deadline time.Time
	// number counts the asks of the account.
	number uint64
	// asked is when the box last asked.
	asked time.Time
}

// inTime reports whether a request that begins at a time and takes a span ends before a limit; zero means none.
func inTime(begin time.Time, span time.Duration, limit time.Time) bool {
	return limit.IsZero() || !begin.Add(span).After(limit)
}

// order reports whether a goes before b, for requests that begin now and take span.
type order func(a, b *waiter, now time.Time, span time.Duration) bool

// aimFirst orders waiting requests: those that can still make their aim, then the more urgent, then by the time that
// is left. A late answer is worth a part of one in time, so that a request that is late already goes only where it
// makes no other late.
func aimFirst(a, b *waiter, now time.Time, span time.Duration) bool {
	margin := time.Duration(timeMargin * float64(span))
	aInAim, bInAim := inTime(now, margin, a.aim), inTime(now, margin, b.aim)
	if aInAim != bInAim {
		return aInAim
	}
	if a.ask.Urgency != b.ask.Urgency {
		return a.ask.Urgency < b.ask.Urgency
	}
	limitA, limitB := a.deadline, b.deadline
	if aInAim {
		limitA, limitB = a.aim, b.aim
	}
	return sooner(a, b, limitA, limitB)
}

// sooner orders by limits, of which none is the latest, and then by arrival.
func sooner(a, b *waiter, limitA, limitB time.Time) bool {
	switch {
	case limitA.Equal(limitB):
		return a.number < b.number
	case limitA.IsZero():
		return false
	case limitB.IsZero():
		return true
	}
	return limitA.Before(limitB)
}

// decayingCount counts what happened in about the last rateWindow.
type decayingCount struct {
	count float64
	last  time.Time
}

func (c *decayingCount) at(now time.Time) float64 {
	return c.count * math.Exp(-now.Sub(c.last).Seconds()/rateWindow.Seconds())
}

func (c *decayingCount) add(now time.Time) {
	c.count, c.last = c.at(now)+1, now
}
