package dispatch

import (
	"math"
	"slices"
	"time"
)

// This file bounds the requests that an upstream rejects for want of room, over all boxes, where it states how many it
// can reject in a second without failing. It answers a burst at brittle upstreams: each box by itself sends what would
// fit, and together they send what the upstream has to reject.
//
// A request within the upstream's room is granted freely. The room is its slots at first, and less than what was in
// flight when it rejected a request; it grows again slowly. Beyond the room, as many requests are granted as the upstream
// can reject. While it rejects nearly as many as that, only part of the room is granted.

const (
	// reportLag is how long after a grant the keeper may not know of the request from the loads that boxes report.
	reportLag = 500 * time.Millisecond
	// answerTime is how long after a grant a rejection may not be reported yet.
	answerTime = RateGrantTTL + 50*time.Millisecond
	// minGrantSpan is the least time for which a grant counts as a request in flight: what it takes to be used.
	minGrantSpan = 20 * time.Millisecond
	// rejectionWindow is the time in which an upstream's rejections are counted.
	rejectionWindow = time.Second
	// riskShare is the share of an upstream's rejections that may be risked at once, and again in each second. Requests
	// granted within a second and a half may arrive within one.
	riskShare = 0.2
	// maxRejectedShare is the share of them from which on only cautiousShare of the room is granted. The upstream may have
	// less room than it had, so all requests granted meanwhile may be rejected without making it fail.
	maxRejectedShare = 0.5
	cautiousShare    = 0.5
	// roomGrowth is by how much the room grows per second after a rejection, as a share of it, and minRoomGrowth the least
	// growth, in requests per second.
	roomGrowth    = 0.05
	minRoomGrowth = 0.2
	// asksPerEnd spreads the retries of denied boxes: about as many of them arrive while one request ends.
	asksPerEnd = 4
	// defaultHold is how long a request is in flight at an upstream where none has ended yet.
	defaultHold = 2 * time.Second
	// defaultSlots is the number of slots of an upstream that states none.
	defaultSlots = 4
)

// Occupancy is what the keeper of an upstream knows about its requests in flight, of all boxes.
type Occupancy struct {
	// Running is their number as reported by the boxes, and Slots how many the upstream runs at once; 0 if unknown.
	Running, Slots int
	// HoldTime is how long a request is in flight; 0 if unknown.
	HoldTime time.Duration
}

func (o Occupancy) slots() float64 {
	if o.Slots <= 0 {
		return defaultSlots
	}
	return float64(o.Slots)
}

// hold returns how long a request is in flight.
func (o Occupancy) hold() time.Duration {
	if o.HoldTime <= 0 {
		return defaultHold
	}
	return o.HoldTime
}

// endsPerSecond returns how many requests end per second while all slots are in use.
func (o Occupancy) endsPerSecond() float64 { return o.slots() / o.hold().Seconds() }

// roomAccount is the account of one upstream. The zero value has the room of its slots and risks nothing.
type roomAccount struct {
	// grants are the times of the latest grants.
	grants []time.Time
	// rejections are the times of the latest rejections.
	rejections []time.Time
	// learned is the room at the time learnedAt; learnedAt is zero if there was no rejection.
	learned   float64
	learnedAt time.Time
	// risk is how many requests beyond the room may be granted at the time riskAt.
	risk   float64
	riskAt time.Time
}

// inFlight returns how many requests are in flight: those that the boxes report, and those granted too recently to be
// reported.
func (a *roomAccount) inFlight(o Occupancy, now time.Time) float64 {
	span := min(reportLag, o.hold()+minGrantSpan)
	a.grants = slices.DeleteFunc(a.grants, func(at time.Time) bool { return now.Sub(at) > span })
	return float64(o.Running + len(a.grants))
}

// unanswered returns how many of the granted requests the upstream may not have answered yet.
func (a *roomAccount) unanswered(now time.Time) float64 {
	count := 0.0
	for _, at := range a.grants {
		if now.Sub(at) <= answerTime {
			count++
		}
	}
	return count
}

// room returns how many requests the upstream has room for.
func (a *roomAccount) room(o Occupancy, now time.Time) float64 {
	if a.learnedAt.IsZero() {
		return o.slots()
	}
	growth := max(minRoomGrowth, roomGrowth*a.learned)
	return min(o.slots(), a.learned+now.Sub(a.learnedAt).Seconds()*growth)
}

// take grants one more request if the upstream has room for it, or if its rejection may be risked.
func (a *roomAccount) take(o Occupancy, rejections, share float64, now time.Time) (granted bool) {
	a.rejections = slices.DeleteFunc(a.rejections, func(at time.Time) bool { return now.Sub(at) > rejectionWindow })
	inFlight, room := a.inFlight(o, now), share*a.room(o, now)
	if rejected := float64(len(a.rejections)); rejected >= max(1, maxRejectedShare*rejections) {
		granted = rejected+a.unanswered(now) < share*rejections && inFlight < cautiousShare*room
	} else {
		granted = inFlight < room || a.takeRisk(share*rejections, now)
	}
	if granted {
		a.grants = append(a.grants, now)
	}
	return granted
}

// takeRisk reports whether one request beyond the room may be granted, and uses that up.
func (a *roomAccount) takeRisk(rejections float64, now time.Time) bool {
	a.refillRisk(rejections, now)
	if a.risk < 1 {
		return false
	}
	a.risk--
	return true
}

// refillRisk adds what may be risked since the last call. It is at least one request at a time if the upstream can reject
// one, then less often.
func (a *roomAccount) refillRisk(rejections float64, now time.Time) {
	rate := riskShare * rejections
	if !a.riskAt.IsZero() {
		a.risk += rate * now.Sub(a.riskAt).Seconds()
	}
	a.risk = min(a.risk, max(math.Min(1, math.Floor(rejections)), rate))
	a.riskAt = now
}

// recordRejection learns from a rejection that the other requests in flight fill the upstream.
func (a *roomAccount) recordRejection(o Occupancy, now time.Time) {
	a.grants = a.grants[:max(0, len(a.grants)-1)]
	a.learned = max(1, min(a.room(o, now), a.inFlight(o, now)))
	a.learnedAt = now
	a.rejections = append(a.rejections, now)
}
