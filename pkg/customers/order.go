package customers

import (
	"slices"
	"time"
)

const (
	// roomTime is how long the classes ahead find room at an account, at the rate that they ask for, before requests
	// of a class behind them have filled it up again. It covers a call between boxes and what boxes send at once.
	roomTime = 100 * time.Millisecond
	// maxThresholdShare is the fraction of an account's burst at which all classes are granted: so each is from time
	// to time where the demand of those ahead of it leaves room. Thresholds up to freeThresholdShare are not reduced
	// for it.
	maxThresholdShare  = 0.75
	freeThresholdShare = 0.5
	// floodTime is how long the demand must exceed the limit's rate to be taken for a flood that lasts on. Requests
	// that come at once are over by then.
	floodTime = time.Second
)

// order decides what an account grants first: it sets the threshold of each class, the level of the account above
// which its requests are granted. It answers a customer that asks for several times its limit, mostly for what is
// large (captions of 9,244 tokens), and whose plain requests (200 tokens) and chats (1,120 tokens) cost less than a
// third of the limit together.
//
// While the demand is within the account's rate, all thresholds are 0. Otherwise the services of the customer get
// equal parts of the rate; what one doesn't ask for, the others get. Within a service, the part goes to the most
// urgent classes. So a class lies ahead (its service's part covers it whole), at the margin or behind. The threshold
// leaves room for the classes before it: more urgent ones of the service, and for those at the margin and behind also
// the classes ahead of other services. No threshold is below that of a more urgent class of the same service.
func (d *demands) order(rate, burst float64) {
	total := d.setRates()
	for _, c := range d.list {
		c.threshold, c.ahead, c.unserved, c.covered = 0, 0, 0, false
	}
	if total <= rate || rate <= 0 {
		d.overSince = time.Time{}
		return
	}
	if d.overSince.IsZero() {
		d.overSince = d.at
	}
	d.place(d.part(rate), rate)
	highest, previous := 0.0, &demand{}
	for _, c := range d.list {
		if c.ahead > 0 {
			c.threshold = c.ahead*roomTime.Seconds() + c.largest
		}
		if previous.class.Service == c.class.Service {
			c.threshold = max(c.threshold, previous.threshold)
		}
		highest, previous = max(highest, c.threshold), c
	}
	for _, c := range d.list {
		c.threshold = fit(c.threshold, highest, burst)
	}
}

// fit returns a threshold that fits the burst, given the highest of all. Thresholds keep their order.
func fit(threshold, highest, burst float64) float64 {
	from, most := freeThresholdShare*burst, maxThresholdShare*burst
	if threshold <= from || highest <= most {
		return threshold
	}
	return from + (most-from)*(threshold-from)/(highest-from)
}

// place sets which classes are covered, the rates ahead of them and what is unserved, given the part of the rate that
// each service gets.
func (d *demands) place(part, rate float64) {
	flood := min(1, d.at.Sub(d.overSince).Seconds()/floodTime.Seconds())
	var ahead, margin float64
	d.eachWithSum(func(c *demand, before float64) {
		switch {
		case before+c.rate <= part:
			ahead += c.rate
		case before < part:
			margin += min(c.rate, rate)
		}
	})
	d.eachWithSum(func(c *demand, before float64) {
		switch {
		case before+c.rate <= part:
			c.ahead, c.covered = before, c.class != Class{}
		case before < part:
			c.ahead, c.unserved = ahead, flood*(1-(part-before)/c.rate)
		default:
			c.ahead, c.unserved = ahead+margin+before-part, flood
		}
		if c.class == (Class{}) {
			c.unserved = 0 // As in builds without classes.
		}
	})
}

// eachWithSum calls a function for each class with the rate of the more urgent classes of its service.
func (d *demands) eachWithSum(call func(c *demand, before float64)) {
	before := 0.0
	for i, c := range d.list {
		if i > 0 && d.list[i-1].class.Service != c.class.Service {
			before = 0
		}
		call(c, before)
		before += c.rate
	}
}

// part returns the rate up to which each service is granted what it asks for, so that all together get the account's
// rate. The sum of all rates is larger than the account's.
func (d *demands) part(rate float64) float64 {
	var sums []float64
	for i, c := range d.list {
		if i == 0 || d.list[i-1].class.Service != c.class.Service {
			sums = append(sums, 0)
		}
		sums[len(sums)-1] += c.rate
	}
	slices.Sort(sums)
	part := rate
	for i, sum := range sums {
		part = rate / float64(len(sums)-i)
		if sum > part {
			break
		}
		rate -= sum
	}
	return part
}
