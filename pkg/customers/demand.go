package customers

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the estimated demand. A flood is noticed while the burst lasts, which is
	// about a second at the limit's rate.
	demandTime = time.Second
	// minDemandTime keeps the first requests at a new account from being taken for a flood.
	minDemandTime = 100 * time.Millisecond
)

// demand is what one customer asks for lately in one class.
type demand struct {
	class Class
	// units is the sum of all costs, and largest the largest cost; both decay by demandTime.
	units, largest float64
	// awaitingRetry is the cost of the refused requests whose retry time is not reached yet.
	awaitingRetry float64
	// rate is units per second, as of the last call of demands.order.
	rate float64
	// threshold and ahead are set by demands.order: the level above which requests are granted, and the rate, in
	// units per second, of the classes that are granted first.
	threshold, ahead float64
	// covered means that the class is ahead: its service's part of the rate covers its demand, while the demand of all
	// classes exceeds the rate.
	covered bool
	// unserved is the fraction of the class's demand that the account can't grant beside the classes ahead, in a flood
	// that lasts.
	unserved float64
}

// demands holds the estimated demand of a customer at one account, ordered by class. A request that was refused and
// comes back is counted again, since it can't be told from a new one.
type demands struct {
	list []*demand
	at   time.Time
	// overSince is since when the demand exceeds the account's rate; zero if it does not.
	overSince time.Time
	// span is the decayed time that units are the sum of, in seconds.
	span float64
}

// decay applies the time since the last call. filled is the rate at which the account filled meanwhile.
func (d *demands) decay(now time.Time, filled float64) {
	elapsed := max(0, now.Sub(d.at).Seconds())
	d.at = now
	if elapsed == 0 {
		return
	}
	keep := math.Exp(-elapsed / demandTime.Seconds())
	d.span = d.span*keep + demandTime.Seconds()*(1-keep)
	for _, c := range d.list {
		c.units *= keep
		c.largest *= keep
		c.awaitingRetry = max(0, c.awaitingRetry-elapsed*max(0, filled-c.ahead))
	}
}

// add adds a cost to the demand.
func (c *demand) add(cost float64) {
	c.units += cost
	c.largest = max(c.largest, cost)
}

// of returns the demand of a class. If the class is new and there are maxClasses, it replaces the one with the least
// demand.
func (d *demands) of(class Class) *demand {
	at, found := slices.BinarySearchFunc(d.list, class, func(c *demand, class Class) int { return c.class.compare(class) })
	if found {
		return d.list[at]
	}
	if len(d.list) >= maxClasses {
		least := 0
		for i, c := range d.list {
			if c.units < d.list[least].units {
				least = i
			}
		}
		d.list = slices.Delete(d.list, least, least+1)
		if least < at {
			at--
		}
	}
	c := &demand{class: class}
	d.list = slices.Insert(d.list, at, c)
	return c
}

// setRates sets the rates of all classes and returns their sum.
func (d *demands) setRates() float64 {
	span, total := max(d.span, minDemandTime.Seconds()), 0.0
	for _, c := range d.list {
		c.rate = c.units / span
		total += c.rate
	}
	return total
}
