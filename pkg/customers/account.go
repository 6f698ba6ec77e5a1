package customers

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialShare is the fraction of the tolerance that a new account starts with. What its predecessor granted
	// is not known: the whole burst may have been spent a moment ago.
	initialShare = 0.35
	// overdraftShare is the fraction of the tolerance by which an account with less than the whole limit may be
	// overdrawn. The other boxes, which do not reach it, are often down and spend nothing.
	overdraftShare = 0.125
	// usableShare is the fraction of what limit and tolerance allow that is granted to customers. The rest covers
	// spending that boxes can't know of each other.
	usableShare = 0.85
	// reserveShare is the fraction of account.reserve that is required.
	reserveShare = 0.2
	// debtShare is the fraction of the rate by which the debt ends, so that classes ahead that ask for more find no
	// room in it.
	debtShare = 0.5
	// minBurst is the burst of a limit without one, as time at its rate. Any value above 0 allows single requests.
	minBurst = 100 * time.Millisecond
	// minRate, in units per second, keeps the wait at an account without a rate finite.
	minRate = 0.001
)

// account is a token bucket that holds what one customer may still spend. A request is granted while more is left
// than the threshold of its class, which is 0 while the customer's demand is within the limit. If it costs more, it
// overdraws the account: so a request that costs more than the account's part of the burst is granted, too.
//
// Where a limit is split into many accounts, each could be overdrawn by one request, and together they would
// exceed the limit. So the smaller an account's part is, the larger is the fraction of a request's cost that it
// must hold; the fraction is drawn at random.
//
// Under load far above the limit (a customer with 7.5 times its usual demand), requests within the limit are not
// refused.
type account struct {
	limit   Limit
	version int64
	// level is the balance in units, as of at.
	level float64
	at    time.Time
	// debt is the part of an overdraft that comes from what was spent on other accounts. It does not keep classes that
	// are ahead from being granted.
	debt float64
	// demands holds what the customer asks for lately, by class.
	demands demands
	// reserve is the fraction of the next request's cost that a small account must hold, 0 to 1.
	reserve float64
}

// burst returns the most that the account holds.
func (a *account) burst(share float64) float64 {
	return share * max(a.limit.Burst, a.limit.PerSecond*minBurst.Seconds())
}

// initialLevel returns what a new account holds.
func (a *account) initialLevel(share float64, tolerance Tolerance) float64 {
	minLevel := a.limit.PerSecond * minBurst.Seconds()
	return min(a.burst(share), share*max(minLevel, initialShare*tolerance.units(a.limit)))
}

// setLimit applies a limit unless its version is older. A lower limit takes effect at once.
func (a *account) setLimit(limit Limit, version int64) {
	if version >= a.version {
		a.limit, a.version = limit, version
	}
}

// rate returns the units per second by which the account fills. It is the limit's rate, or more where the tolerance
// leaves room for it: requests are refused only where spending could otherwise exceed the limit and its
// tolerance.
func (a *account) rate(share float64, tolerance Tolerance) float64 {
	if tolerance.Window <= 0 {
		return share * a.limit.PerSecond
	}
	window := tolerance.Window.Seconds()
	allowed := a.limit.PerSecond*window + a.limit.Burst + tolerance.units(a.limit)
	return share * max(a.limit.PerSecond, (usableShare*allowed-a.burst(1))/window)
}

// refill adds the units for the time since the last call.
func (a *account) refill(share float64, tolerance Tolerance, now time.Time) {
	added := a.rate(share, tolerance) * max(0, now.Sub(a.at).Seconds())
	a.level = min(a.burst(share), a.level+added)
	a.debt = max(0, a.debt-debtShare*added)
	if a.level >= 0 {
		a.debt = 0
	}
	a.demands.decay(now, a.rate(share, tolerance))
	a.at = now
}

// settle subtracts what was spent elsewhere, or adds what is returned if spent is negative, up to the burst.
func (a *account) settle(spent, share float64) {
	a.level = min(a.burst(share), a.level-spent)
	a.debt += max(0, min(spent, -a.level))
}

// take subtracts each cost for which enough is left, counting the overdraft: first the costs of the classes with the
// lowest thresholds. It returns the waits of all costs.
func (a *account) take(ask SpendRequest, classes []*demand, overdraft, share float64, k *Keeper) []time.Duration {
	waits := make([]time.Duration, len(ask.Costs))
	rate := a.rate(share, k.Tolerance)
	for _, i := range inOrder(classes) {
		cost, c := max(0, ask.Costs[i]), classes[i]
		needed := max(c.threshold, reserveShare*a.reserve*cost*(1-share)) - overdraft
		switch {
		case a.exceedsLimit(cost, k.Tolerance):
			waits[i] = Never
		case a.available(c) > needed:
			a.level -= cost
			a.reserve = k.Random()
		default:
			waits[i] = a.wait(c, needed, rate)
			c.awaitingRetry = min(c.awaitingRetry+cost, rate*maxWait.Seconds())
		}
	}
	return waits
}

// available returns what requests of a class may be granted from.
func (a *account) available(c *demand) float64 {
	if c.covered {
		return a.level + a.debt
	}
	return a.level
}

// noteDemand adds the costs of a SpendRequest to the demand of their classes, orders these and returns the demand of
// each cost's class. Costs that the limit never grants don't count.
func (a *account) noteDemand(ask SpendRequest, share float64, tolerance Tolerance) []*demand {
	classes := make([]*demand, len(ask.Costs))
	for i, cost := range ask.Costs {
		classes[i] = a.demands.of(ask.Classes.class(i))
		if !a.exceedsLimit(cost, tolerance) {
			classes[i].add(max(0, cost))
		}
	}
	rate := a.rate(share, tolerance)
	if ask.Classes != nil {
		for i, units := range ask.Classes.Unasked {
			a.demands.of(ask.Classes.Classes[i]).units += max(0, min(units, rate*demandTime.Seconds()))
		}
	}
	a.demands.order(rate, a.burst(share))
	return classes
}

// inOrder returns the indexes of costs by the thresholds of their classes.
func inOrder(classes []*demand) []int {
	order := make([]int, len(classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(classes[i].threshold, classes[j].threshold) })
	return order
}

// thresholds returns the thresholds of the classes of a list.
func (a *account) thresholds(list *ClassList) []float64 {
	if list == nil {
		return nil
	}
	thresholds := make([]float64, len(list.Classes))
	for i, class := range list.Classes {
		thresholds[i] = a.demands.of(class).threshold
	}
	return thresholds
}

// exceedsLimit reports whether a request is too expensive for the limit, however long it waits.
func (a *account) exceedsLimit(cost float64, tolerance Tolerance) bool {
	return cost > a.limit.PerSecond*tolerance.Window.Seconds()+a.burst(1)+tolerance.units(a.limit)
}

// wait returns the time until the account holds what is needed, at the rate that the classes ahead leave, after all
// refused requests of the class that retry before this one. With the same retry time for all, all would retry at once
// and most would be refused.
//
// In a flood, a class that asks for more than the account can grant would be refused again at that time, because of
// the new requests. The more of it is refused, the longer is the time, up to maxWait.
func (a *account) wait(c *demand, needed, rate float64) time.Duration {
	seconds := (c.awaitingRetry + needed - a.available(c)) / max(minRate, rate-c.ahead)
	seconds = max(seconds, c.unserved*maxWait.Seconds())
	return time.Duration(max(minWait.Seconds(), min(maxWait.Seconds(), seconds)) * float64(time.Second))
}

const (
	// minWait and maxWait bound the retry time of a refused request. Callers wait for a few seconds at most, and a
	// longer time would be a guess.
	minWait = 50 * time.Millisecond
	maxWait = 10 * time.Second
)
