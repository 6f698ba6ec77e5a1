package places

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// hallWay is the time that a request to an upstream of another hall and its answer take longer.
	hallWay = 3 * time.Millisecond
	// nearlyFull is by how much an upstream is expected to be slower with all slots taken than with none.
	nearlyFull = 0.3
	// rateWindow is the time over which arrivals are averaged.
	rateWindow = 500 * time.Millisecond
	// lostAfter is the time after which an ask that was not sent again is dropped: its box is gone or its caller has
	// left.
	lostAfter = 4 * holdTime
	// returnSlack is how long after the deadline a place that was not returned is free.
	returnSlack = 200 * time.Millisecond
	// withdrawnTime is how long an ask may be on its way, and maxWithdrawn bounds those that are remembered.
	withdrawnTime = 5 * time.Second
	maxWithdrawn  = 2000
	// minHealth keeps an upstream that always fails in use for single requests, which show when it is well again.
	minHealth = 0.05
	// minSpare is the share of the rate that must be left over by those in aim, for a late request to wait for it.
	minSpare = 0.1
)

// Account counts the places at the upstreams of one service and orders the asks that wait. It is not safe for
// concurrent use.
type Account struct {
	before  order
	began   time.Time
	records map[string]*record
	// taken holds the upstream of each place that is taken.
	taken   map[uint64]string
	waiting []*waiter
	// withdrawn holds, for withdrawnTime, the asks that were withdrawn before they arrived.
	withdrawn map[uint64]time.Time
	// asks counts all asks.
	asks uint64
	// arrivals is the number of asks of about the last rateWindow, by urgency.
	arrivals [urgencyLevels]decayingCount
	// share is that of the latest call of Update, and usable the upstreams then, with their places as of the latest
	// change.
	share  float64
	usable []candidate
	// mean is the average time of a request over all upstreams.
	mean time.Duration
}

// NewAccount returns an account without asks.
func NewAccount(now time.Time) *Account {
	return &Account{before: aimFirst, began: now, records: map[string]*record{}, taken: map[uint64]string{}, withdrawn: map[uint64]time.Time{}, mean: defaultTime, share: 1}
}

// Update sets the upstreams that may get requests and the share of all boxes that the account serves. running returns
// the number of requests that boxes report at an upstream; a new account counts them as places for a moment.
func (a *Account) Update(upstreams []Upstream, share float64, running func(id string) int, now time.Time) {
	a.share = max(0, min(1, share))
	if math.IsNaN(share) {
		a.share = 1
	}
	a.usable = a.usable[:0]
	for _, upstream := range upstreams {
		r := a.records[upstream.ID]
		if r == nil {
			r = newRecord()
			a.records[upstream.ID] = r
			for range min(running(upstream.ID), int(upstream.places(a.mean, a.share))) {
				r.held[rand.Uint64()] = place{taken: now, until: now.Add(a.mean)}
			}
		}
		for _, id := range r.refresh(now) {
			delete(a.taken, id)
		}
		a.usable = append(a.usable, candidate{Upstream: upstream, record: r})
	}
	a.forget()
	a.updateMean(now)
	a.recount(now)
}

// candidate is an upstream with its record.
type candidate struct {
	Upstream
	*record
	// places is the number of places, and health is 1 if the upstream fails no more often than the best one.
	places, health float64
}

// hasFree reports whether a place is free.
func (c *candidate) hasFree() bool { return float64(len(c.held))+1 <= c.places }

// recount sets the places and the health of the upstreams.
func (a *Account) recount(now time.Time) {
	least := 1.0
	for _, c := range a.usable {
		least = min(least, c.failureShare)
	}
	for n := range a.usable {
		c := &a.usable[n]
		c.health = max(minHealth, 1-(c.failureShare-least))
		c.places = c.limit(c.Upstream.places(a.mean, a.share), now)
		if c.health < 1-failingShare {
			c.places *= c.health
		}
		c.places = max(1, math.Floor(c.places))
	}
}

// forget drops the records of upstreams that are gone.
func (a *Account) forget() {
	if len(a.records) == len(a.usable) {
		return
	}
	for id, r := range a.records {
		listed := slices.ContainsFunc(a.usable, func(c candidate) bool { return c.ID == id })
		if !listed && len(r.held) == 0 {
			delete(a.records, id)
		}
	}
}

// updateMean sets the average time over the upstreams that answered lately.
func (a *Account) updateMean(now time.Time) {
	var sum time.Duration
	known := 0
	for _, r := range a.records {
		if r.time > 0 && now.Sub(r.last) < timeDecay {
			sum += r.time
			known++
		}
	}
	if known > 0 {
		a.mean = sum / time.Duration(known)
	}
}

// Offer adds an ask or renews one that waits, and denies it if it cannot be served before its deadline. Assign gives
// it a place.
func (a *Account) Offer(ask Ask, now time.Time) Answer {
	ask = ask.bounded()
	w := a.waiter(ask.ID)
	if _, withdrawn := a.withdrawn[ask.ID]; withdrawn || !a.mayServe(&ask) {
		a.withdraw(ask.ID)
		return Answer{None: true}
	}
	if w == nil {
		a.asks++
		w = &waiter{ask: ask, number: a.asks}
		if ask.Aim > 0 {
			w.aim = now.Add(ask.Aim)
		}
		if ask.Deadline > 0 {
			w.deadline = now.Add(ask.Deadline)
		}
		a.waiting = append(a.waiting, w)
		a.arrivals[ask.level()].add(now)
	}
	w.ask, w.asked = ask, now
	if answer := a.deny(w, now); answer.Denied {
		a.withdraw(ask.ID)
		return answer
	}
	return Answer{}
}

func (a *Account) waiter(id uint64) *waiter {
	at := slices.IndexFunc(a.waiting, func(w *waiter) bool { return w.ask.ID == id })
	if at < 0 {
		return nil
	}
	return a.waiting[at]
}

func (a *Account) withdraw(id uint64) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool { return w.ask.ID == id })
}

// Return ends the use of a place, or withdraws an ask that waits. Messages may overtake each other: after a freeze the
// keeper may read the withdrawal of an ask before the ask, whose place nobody would return.
func (a *Account) Return(back Return, now time.Time) {
	waits := a.waiter(back.ID) != nil
	a.withdraw(back.ID)
	id, ok := a.taken[back.ID]
	delete(a.taken, back.ID)
	if !ok && !waits {
		a.noteWithdrawn(back.ID, now)
	}
	r := a.records[id]
	if !ok || r == nil {
		return
	}
	held, ok := r.held[back.ID]
	if !ok {
		return
	}
	delete(r.held, back.ID)
	slots, places := 1.0, 1.0
	if at := slices.IndexFunc(a.usable, func(c candidate) bool { return c.ID == id }); at >= 0 {
		slots, places = a.usable[at].slots(), a.usable[at].Upstream.places(a.mean, a.share)
	}
	took := now.Sub(held.taken)
	if back.Took > 0 {
		took = min(took, back.Took)
	}
	r.end(took, back.Result, slots, places, now)
	a.recount(now)
}

// noteWithdrawn notes an ask that was withdrawn before it arrived.
func (a *Account) noteWithdrawn(id uint64, now time.Time) {
	if len(a.withdrawn) >= maxWithdrawn {
		for other, at := range a.withdrawn {
			if now.Sub(at) > withdrawnTime {
				delete(a.withdrawn, other)
			}
		}
	}
	if len(a.withdrawn) < maxWithdrawn {
		a.withdrawn[id] = now
	}
}

// Counts returns the places that the account counts by, how many of them are taken, and how many asks wait.
func (a *Account) Counts() (known, taken, waiting int) {
	for _, c := range a.usable {
		known += int(c.places)
		taken += len(c.held)
	}
	return known, taken, len(a.waiting)
}
