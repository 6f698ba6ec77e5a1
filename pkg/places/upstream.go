package places

import (
	"math"
	"time"
)

const (
	// returnTime is how long a slot may be idle until its next request arrives: the ways of a return, of the next
	// place and of its request between halls, with a new connection. As many requests as the slots end meanwhile wait
	// at the upstream, and one more, up to its slots.
	returnTime = 15 * time.Millisecond
	// defaultTime is the time that a place is taken for before one was returned.
	defaultTime = 50 * time.Millisecond
	// minTime bounds times from below, because rates are divided by them.
	minTime = time.Millisecond
	// timeWeight is the weight of one request in the average time. An upstream that turns slow for half a second
	// ends some 15 requests meanwhile.
	timeWeight = 0.2
	// timeDecay is the time without an answer after which the average of an upstream falls back to that of all. One
	// that was slow gets few requests and would otherwise count as slow long after.
	timeDecay = 2 * time.Second
	// failureWeight is the weight of one request in the share of failures. Some 20 requests tell a share of a third
	// from the failures that all upstreams have.
	failureWeight = 0.05
	// failingShare is the share of failures beyond those of the best upstream from which an upstream gets fewer
	// places. Below it, requests only prefer others: the places of one that fails now and then are needed.
	failingShare = 0.3
	// fullCut is what remains of the places of an upstream that turned a request away, down to minFullShare of its
	// slots. They are all back within fullRecovery: others may have stopped sending there.
	fullCut      = 0.75
	minFullShare = 0.5
	fullRecovery = time.Second
	// lostFactor is the factor on the average time after which a place counts as lost whose upstream ended others
	// meanwhile, at least minLostTime. Its box may be gone, and its deadline be far off.
	lostFactor  = 8
	minLostTime = 300 * time.Millisecond
	// failuresBeforeRest is the number of failures in a row after which an upstream gets no requests for firstRest,
	// and twice as long after each further one, up to maxRest. One that fails at once would otherwise always have
	// free places, and get most requests.
	failuresBeforeRest = 2
	firstRest          = 50 * time.Millisecond
	maxRest            = time.Second
	// refreshInterval is the least time between two searches for places that were not returned.
	refreshInterval = 20 * time.Millisecond
)

// place is a place that is taken.
type place struct {
	taken, until time.Time
}

// record is what an account knows of an upstream.
type record struct {
	held map[uint64]place
	// cut is the number of places less that was learned from requests turned away, as of cutAt.
	cut   float64
	cutAt time.Time
	// time is the average time for which a place is taken; 0 before the first one was returned. last is when one was.
	time time.Duration
	last time.Time
	// ended is when the latest place ended in any way, and oldest when the oldest of those taken was taken, as of
	// refreshed.
	ended, oldest, refreshed time.Time
	// failureShare is the average share of failures.
	failureShare float64
	// failures counts the requests in a row that were not served, and restUntil is until when none is sent.
	failures  int
	restUntil time.Time
}

func newRecord() *record {
	return &record{held: map[uint64]place{}}
}

// refresh drops the places that were not returned in time, and returns their asks.
func (r *record) refresh(now time.Time) (dropped []uint64) {
	if now.Sub(r.refreshed) < refreshInterval {
		return nil
	}
	r.refreshed, r.oldest = now, time.Time{}
	for id, held := range r.held {
		if now.After(held.until) || r.isLost(held, now) {
			delete(r.held, id)
			dropped = append(dropped, id)
			continue
		}
		if r.oldest.IsZero() || held.taken.Before(r.oldest) {
			r.oldest = held.taken
		}
	}
	return dropped
}

// isLost reports whether a place is probably not under way any more although it was not returned.
func (r *record) isLost(held place, now time.Time) bool {
	span := max(minLostTime, lostFactor*r.time)
	return now.Sub(held.taken) > span && r.ended.Sub(held.taken) > span/2
}

// limit returns the number of places, given how many there are without requests turned away.
func (r *record) limit(places float64, now time.Time) float64 {
	back := places * now.Sub(r.cutAt).Seconds() / fullRecovery.Seconds()
	return places - max(0, r.cut-back)
}

// end records the end of a place that was taken for a time, at an upstream with so many slots and places.
func (r *record) end(took time.Duration, result Result, slots, places float64, now time.Time) {
	r.ended = now
	switch result {
	case Served:
		r.failureShare -= failureWeight * r.failureShare
		r.failures, r.restUntil = 0, time.Time{}
		took = max(minTime, took)
		if r.time == 0 {
			r.time = took
		} else {
			r.time += time.Duration(timeWeight * float64(took-r.time))
		}
		r.last = now
	case TurnedAway:
		left := max(minFullShare*slots, min(r.limit(places, now), float64(len(r.held)+1))*fullCut)
		r.cut, r.cutAt = max(0, places-left), now
		r.fail(now)
	case Failed:
		r.failureShare += failureWeight * (1 - r.failureShare)
		r.fail(now)
	}
}

// fail counts a request that was not served, and lets the upstream rest after several.
func (r *record) fail(now time.Time) {
	r.failures++
	if over := r.failures - failuresBeforeRest; over >= 0 {
		r.restUntil = now.Add(min(maxRest, firstRest<<min(over, 5)))
	}
}

// expected returns the time for which a place is probably taken, given the average of all upstreams. While places are
// taken and none ends, it is at least as long as that: the upstream has turned slow. A place that is not returned
// alone shows nothing.
func (r *record) expected(mean time.Duration, now time.Time) time.Duration {
	span := mean
	if r.time > 0 {
		own := math.Exp(-now.Sub(r.last).Seconds() / timeDecay.Seconds())
		span += time.Duration(own * float64(r.time-mean))
	}
	if !r.oldest.IsZero() {
		span = max(span, min(now.Sub(r.oldest), now.Sub(r.ended)))
	}
	return max(minTime, span)
}
