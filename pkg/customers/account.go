package customers

import "time"

const (
	// openingShare is the part of the tolerance that a new account begins with. What its predecessor spent is not known: it
	// may have spent the whole burst a moment ago.
	openingShare = 0.35
	// overdraftShare is the part of the tolerance up to which an account that holds less than the whole limit may be
	// overdrawn: boxes that are out of touch are often down, and spend nothing.
	overdraftShare = 0.125
	// usedShare is the part of what the tolerance allows that customers get: the rest is for what boxes can't know of each
	// other.
	usedShare = 0.85
	// reserveShare is the part of account.reserve that counts.
	reserveShare = 0.2
	// leastBurst is the burst of a limit without one, as time at its rate. Any above 0 allows single requests.
	leastBurst = 100 * time.Millisecond
	// leastRate keeps the wait at an account without a rate finite, in units a second.
	leastRate = 0.001
)

// account is what one customer may still spend, as a token bucket. A request is granted while anything is left, and
// overdraws the account by what it costs beyond that: so one dearer than the account's part of the burst is granted, too.
//
// Where a limit is split into many accounts, each overdrawn by one request, they would add up to more than it allows. The
// smaller the account's part, the more of a request it therefore must have, by chance.
//
// It answers loads far above the limit (a customer that asks 7.5 times its usual) without refusing anyone within it.
type account struct {
	limit   Limit
	version int64
	// level in units, as of at.
	level float64
	at    time.Time
	// promised is what requests cost that were told to come back and are not due yet.
	promised float64
	// reserve is the part of the next request that a small account must have, 0 to 1.
	reserve float64
}

// burst is the most that the account holds.
func (a *account) burst(share float64) float64 {
	return share * max(a.limit.Burst, a.limit.PerSecond*leastBurst.Seconds())
}

// opening is what a new account holds.
func (a *account) opening(share float64, tolerance Tolerance) float64 {
	least := a.limit.PerSecond * leastBurst.Seconds()
	return min(a.burst(share), share*max(least, openingShare*tolerance.units(a.limit)))
}

// setLimit takes a limit of a version that is not older. A lower one binds at once.
func (a *account) setLimit(limit Limit, version int64) {
	if version >= a.version {
		a.limit, a.version = limit, version
	}
}

// rate is what the account fills by in a second. It is the limit's rate, or more where the tolerance leaves room for it: a
// customer is refused what is not worth refusing only as far as its limit can't be kept otherwise.
func (a *account) rate(share float64, tolerance Tolerance) float64 {
	if tolerance.Window <= 0 {
		return share * a.limit.PerSecond
	}
	window := tolerance.Window.Seconds()
	allowed := a.limit.PerSecond*window + a.limit.Burst + tolerance.units(a.limit)
	return share * max(a.limit.PerSecond, (usedShare*allowed-a.burst(1))/window)
}

// fill adds what was allowed since the last call.
func (a *account) fill(share float64, tolerance Tolerance, now time.Time) {
	added := a.rate(share, tolerance) * max(0, now.Sub(a.at).Seconds())
	a.level = min(a.burst(share), a.level+added)
	a.promised = max(0, a.promised-added)
	a.at = now
}

// settle takes off what was spent elsewhere, or adds what is returned, up to the burst.
func (a *account) settle(spent, share float64) {
	a.level = min(a.burst(share), a.level-spent)
}

// take takes each cost off as long as enough is left above the overdraft, and returns the waits of all.
func (a *account) take(costs []float64, overdraft, share float64, k *Keeper) []time.Duration {
	waits := make([]time.Duration, len(costs))
	for i, cost := range costs {
		needed := reserveShare*a.reserve*cost*(1-share) - overdraft
		switch {
		case a.tooDear(cost, k.Tolerance):
			waits[i] = Never
		case a.level > needed:
			a.level -= cost
			a.reserve = k.Random()
		default:
			waits[i] = a.wait(needed, a.rate(share, k.Tolerance))
			a.promised += cost
		}
	}
	return waits
}

// tooDear reports whether a request can never be within the limit, whatever it waits.
func (a *account) tooDear(cost float64, tolerance Tolerance) bool {
	return cost > a.limit.PerSecond*tolerance.Window.Seconds()+a.burst(1)+tolerance.units(a.limit)
}

// wait is the time until the account holds what is needed, after all requests that were told to come back before this one.
// Told the same time, all would come at once and most in vain.
func (a *account) wait(needed, rate float64) time.Duration {
	seconds := (a.promised + needed - a.level) / max(leastRate, rate)
	return time.Duration(max(leastWait.Seconds(), min(longestWait.Seconds(), seconds)) * float64(time.Second))
}

const (
	// leastWait and longestWait bound the time after which a caller is told to come back. Callers wait for a few
	// seconds at most, and what is told of a longer time is a guess.
	leastWait   = 50 * time.Millisecond
	longestWait = 10 * time.Second
)
