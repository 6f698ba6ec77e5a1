package dispatch

import (
	"math"
	"sync"
	"time"
)

// Reservation asks for an engine's time to read a prompt.
type Reservation struct {
	Engine string `json:"engine"`
	// Read is how long the engine reads the prompt.
	Read time.Duration `json:"read"`
	// Window is a span in which the engine may read prompts for Budget at most, this one included.
	Window time.Duration `json:"window"`
	Budget time.Duration `json:"budget"`
}

// AnyBudget is the budget of a prompt that is sent however long the engine reads others.
const AnyBudget = time.Duration(math.MaxInt64)

// ReservationAnswer answers a Reservation.
type ReservationAnswer struct {
	// Taken means that the time is reserved.
	Taken bool `json:"taken"`
	// Wait is after how long it could be, if nobody else takes it; 0 if it is taken.
	Wait time.Duration `json:"wait,omitempty"`
}

// Reservations are when engines read the prompts that boxes reserved time for, one after the other. Nobody reports the end
// of a prompt. They are advice: prompts that are sent without one, and engines that are slower than predicted, take longer
// than they say. It is safe for concurrent use.
//
// One box keeps those of an engine for all others, which makes them as fresh as one call. The loads that boxes report to
// each other are a quarter to two thirds of a second old, longer than a prompt takes to read: several boxes choose the same
// idle engine, and each stream that runs there pauses until it has read all their prompts.
type Reservations struct {
	mu sync.Mutex
	// spans are those of each engine that are not over for longer than their window, the earliest first.
	spans map[string][]span
}

// span is when an engine reads one prompt.
type span struct{ begin, end time.Time }

// NewReservations returns reservations of idle engines.
func NewReservations() *Reservations { return &Reservations{spans: map[string][]span{}} }

// Reserve takes the time at an engine, if what it reads in the window that ends with the prompt is within the budget. A
// prompt that is longer by itself is taken if the engine reads no other in that window.
func (r *Reservations) Reserve(asked Reservation, now time.Time) ReservationAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := over(r.spans[asked.Engine], now.Add(-asked.Window))
	begin := now
	if len(spans) > 0 && spans[len(spans)-1].end.After(begin) {
		begin = spans[len(spans)-1].end
	}
	next := span{begin: begin, end: begin.Add(asked.Read)}
	others := readSince(spans, next.end.Add(-asked.Window))
	if excess := others - max(0, asked.Budget-asked.Read); excess > 0 {
		r.keep(asked.Engine, spans)
		return ReservationAnswer{Wait: passes(spans, next.end.Add(-asked.Window), excess)}
	}
	r.keep(asked.Engine, append(spans, next))
	return ReservationAnswer{Taken: true}
}

// keep keeps an engine's spans; one without any is dropped. The caller holds the lock.
func (r *Reservations) keep(engine string, spans []span) {
	if len(spans) == 0 {
		delete(r.spans, engine)
		return
	}
	r.spans[engine] = spans
}

// over drops the spans that ended before a time.
func over(spans []span, before time.Time) []span {
	for len(spans) > 0 && !spans[0].end.After(before) {
		spans = spans[1:]
	}
	return spans
}

// readSince is for how long the engine reads after a time.
func readSince(spans []span, since time.Time) time.Duration {
	var sum time.Duration
	for _, s := range spans {
		if begin := latest(s.begin, since); s.end.After(begin) {
			sum += s.end.Sub(begin)
		}
	}
	return sum
}

// passes is how much later a window must begin than at a time for so much less reading in it.
func passes(spans []span, from time.Time, excess time.Duration) time.Duration {
	for _, s := range spans {
		begin := latest(s.begin, from)
		if !s.end.After(begin) {
			continue
		}
		length := s.end.Sub(begin)
		if length >= excess {
			return begin.Add(excess).Sub(from)
		}
		excess -= length
	}
	return excess
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

const (
	// reservedShare is the part of the longest pause in time from which reading a prompt is worth a reservation. Shorter ones
	// pause streams little, and are many.
	reservedShare = 0.1
	// leastBudgetShare is the part of the longest pause in time that any engine may read prompts and make the event's
	// tokens: an engine's pauseShare, where that is more.
	leastBudgetShare = 0.7
)

// Reservation returns what to reserve at the chosen engine, so that the streams there pause no longer than they may while it
// reads the prompt and others. It reports false for a prompt that is too short to matter.
func (c *Choice) Reservation(need Requirements) (Reservation, bool) {
	if need.GapTarget <= 0 || c.read < scale(need.GapTarget, reservedShare) {
		return Reservation{}, false
	}
	budget := max(0, scale(need.GapTarget, max(leastBudgetShare, float64(c.pauseShare)))-c.event)
	return Reservation{Engine: c.Upstream.ID, Read: c.read, Window: need.GapTarget, Budget: budget}, true
}
