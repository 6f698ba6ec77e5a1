package places

import (
	"slices"
	"time"
)

// arrivalRate returns the asks per second of the last rateWindow or so, of the urgencies below a level.
func (a *Account) arrivalRate(below int, now time.Time) float64 {
	sum := 0.0
	for level := range below {
		sum += a.arrivals[level].at(now)
	}
	return sum / rateWindow.Seconds()
}

// deny denies an ask whose expected end is after its deadline. More urgent ones that arrive meanwhile go first. One
// that would miss its aim waits until those that make theirs leave places over; if they leave none it is denied at
// once.
func (a *Account) deny(w *waiter, now time.Time) Answer {
	rate, free := a.rate(w, now)
	ahead := 0.0
	for _, other := range a.waiting {
		if other != w && a.before(other, w, now, a.mean) {
			ahead++
		}
	}
	if len(a.waiting) > maxWaiting {
		return Answer{Denied: true, Wait: seconds(maxWait)}
	}
	if ahead < free {
		if inTime(now, a.mean, w.deadline) {
			return Answer{}
		}
		return Answer{Denied: true}
	}
	left := max(minSpare*rate, rate-a.arrivalRate(w.ask.level(), now))
	wait := (ahead - free + 1) / left
	ends := func(wait float64, limit time.Time) bool { return inTime(now, seconds(waitMargin*wait)+a.mean, limit) }
	if ends(wait, w.aim) && ends(wait, w.deadline) {
		return Answer{}
	}
	spare := rate - a.arrivalRate(urgencyLevels, now)
	if spare >= minSpare*rate && ends(max(wait, float64(len(a.waiting))/spare), w.deadline) {
		return Answer{}
	}
	return Answer{Denied: true, Wait: seconds(wait)}
}

// maxWaiting bounds the asks that wait, which have no other bound where routes have no timeout.
const maxWaiting = 2000

// maxWait bounds the waits that are computed from rates near 0.
const maxWait = 10.0

func seconds(s float64) time.Duration {
	return time.Duration(max(0, min(s, maxWait)) * float64(time.Second))
}

// rate returns how many requests per second the upstreams that may get an ask end while all places are taken, and how
// many places are free there.
func (a *Account) rate(w *waiter, now time.Time) (perSecond, free float64) {
	rested := a.anyRested(&w.ask, now)
	for n := range a.usable {
		c := &a.usable[n]
		if !c.mayGet(&w.ask, rested, now) {
			continue
		}
		perSecond += min(c.places, c.slots()) / a.work(c, now).Seconds()
		free += max(0, c.places-float64(len(c.held)))
	}
	return perSecond, free
}

// work returns the time of a request at an upstream without the wait for a slot, which the requests beyond its
// slots have in their time.
func (a *Account) work(c *candidate, now time.Time) time.Duration {
	crowd := max(1, float64(len(c.held))/c.slots())
	return max(minTime, time.Duration(float64(c.expected(a.mean, now))/crowd))
}

// mayServe reports whether any upstream may get an ask.
func (a *Account) mayServe(ask *Ask) bool {
	return slices.ContainsFunc(a.usable, func(c candidate) bool { return !slices.Contains(ask.Except, c.ID) })
}

// anyRested reports whether any upstream that may get an ask does not rest.
func (a *Account) anyRested(ask *Ask, now time.Time) bool {
	return slices.ContainsFunc(a.usable, func(c candidate) bool { return c.mayGet(ask, true, now) })
}

// mayGet reports whether the upstream may get an ask. One that rests may only if all do.
func (c *candidate) mayGet(ask *Ask, anyRested bool, now time.Time) bool {
	return !(anyRested && c.restUntil.After(now)) && !slices.Contains(ask.Except, c.ID)
}
