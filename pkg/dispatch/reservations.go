package dispatch

import (
	"math"
	"sync"
	"time"
)

// Reservation asks to reserve an engine's time to prefill a prompt.
type Reservation struct {
	Engine string `json:"engine"`
	// PrefillTime is how long the engine takes to prefill the prompt.
	PrefillTime time.Duration `json:"read"`
	// Window is a time span in which the engine may prefill for at most Budget, this prompt included.
	Window time.Duration `json:"window"`
	Budget time.Duration `json:"budget"`
}

// UnlimitedBudget is the budget of a prompt that is sent no matter how long the engine prefills others.
const UnlimitedBudget = time.Duration(math.MaxInt64)

// ReservationAnswer is the response to a Reservation.
type ReservationAnswer struct {
	// Taken means that the time is reserved.
	Taken bool `json:"taken"`
	// Wait is the time after which it could be reserved, if no other box takes it; 0 if it is taken.
	Wait time.Duration `json:"wait,omitempty"`
}

// Reservations hold when engines prefill the prompts that boxes reserved time for, one prompt after the other.
// The end of a prefill is not reported. Reservations are advisory: prompts sent without one, and engines slower
// than predicted, take longer than recorded here. They are safe for concurrent use.
//
// One box keeps the reservations of an engine for all boxes, so that they are only one call old. The loads that
// boxes report to each other are a quarter to two thirds of a second old, longer than the prefill of a prompt.
// By these loads several boxes choose the same idle engine, and each stream that runs there pauses until all
// their prompts are prefilled.
type Reservations struct {
	mu sync.Mutex
	// spans holds, for each engine, the spans that ended no longer than their window ago, earliest first.
	spans map[string][]span
}

// span is the predicted time in which an engine prefills one prompt.
type span struct{ begin, end time.Time }

// NewReservations returns reservations without any span: all engines are idle.
func NewReservations() *Reservations { return &Reservations{spans: map[string][]span{}} }

// Reserve reserves the time at an engine if its prefill time in the window that ends with the prompt stays
// within the budget. A prompt that exceeds the budget by itself is accepted if the engine prefills no other
// prompt in that window.
func (r *Reservations) Reserve(asked Reservation, now time.Time) ReservationAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := dropEnded(r.spans[asked.Engine], now.Add(-asked.Window))
	begin := now
	if len(spans) > 0 && spans[len(spans)-1].end.After(begin) {
		begin = spans[len(spans)-1].end
	}
	next := span{begin: begin, end: begin.Add(asked.PrefillTime)}
	others := prefillTimeSince(spans, next.end.Add(-asked.Window))
	if excess := others - max(0, asked.Budget-asked.PrefillTime); excess > 0 {
		r.setSpans(asked.Engine, spans)
		return ReservationAnswer{Wait: waitForBudget(spans, next.end.Add(-asked.Window), excess)}
	}
	r.setSpans(asked.Engine, append(spans, next))
	return ReservationAnswer{Taken: true}
}

// setSpans stores an engine's spans and drops an engine without any. The caller holds the lock.
func (r *Reservations) setSpans(engine string, spans []span) {
	if len(spans) == 0 {
		delete(r.spans, engine)
		return
	}
	r.spans[engine] = spans
}

// dropEnded drops the spans that ended by a time.
func dropEnded(spans []span, before time.Time) []span {
	for len(spans) > 0 && !spans[0].end.After(before) {
		spans = spans[1:]
	}
	return spans
}

// prefillTimeSince returns for how long the engine prefills after a time.
func prefillTimeSince(spans []span, since time.Time) time.Duration {
	var sum time.Duration
	for _, s := range spans {
		if begin := laterOf(s.begin, since); s.end.After(begin) {
			sum += s.end.Sub(begin)
		}
	}
	return sum
}

// waitForBudget returns by how much a window that begins at windowBegin must move for the prefill time in it to
// shrink by excess.
func waitForBudget(spans []span, windowBegin time.Time, excess time.Duration) time.Duration {
	for _, s := range spans {
		begin := laterOf(s.begin, windowBegin)
		if !s.end.After(begin) {
			continue
		}
		length := s.end.Sub(begin)
		if length >= excess {
			return begin.Add(excess).Sub(windowBegin)
		}
		excess -= length
	}
	return excess
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

const (
	// minReservedShare is the fraction of the gap target from which a prompt's prefill time is reserved.
	// Shorter prompts pause streams little, and there are many of them.
	minReservedShare = 0.1
	// minBudgetShare is the fraction of the gap target that every engine may spend on prefilling and on
	// decoding the event's tokens. An engine's pauseShare applies where it is larger.
	minBudgetShare = 0.7
)

// Reservation returns the reservation to make at the chosen engine, so that its streams pause no longer than
// the gap target while it prefills this prompt and others. It reports false for a prompt that is too short to
// matter, and for requests without a gap target.
func (c *Choice) Reservation(need Requirements) (Reservation, bool) {
	if need.GapTarget <= 0 || c.prefillTime < scale(need.GapTarget, minReservedShare) {
		return Reservation{}, false
	}
	budget := max(0, scale(need.GapTarget, max(minBudgetShare, float64(c.pauseShare)))-c.eventTime)
	return Reservation{Engine: c.Upstream.ID, PrefillTime: c.prefillTime, Window: need.GapTarget, Budget: budget}, true
}
