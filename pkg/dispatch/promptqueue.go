package dispatch

import (
	"slices"
	"time"
)

const (
	// maxOverdueShare bounds how long after its predicted end a prompt counts as not prefilled yet, as a share of
	// its prefill time. Engines are now and then slower by a multiple; beyond it the report was lost.
	maxOverdueShare = 2
	// maxQueuedPrompts bounds the prompts kept for an engine.
	maxQueuedPrompts = 500
)

// span is the time in which an engine prefills one prompt.
type span struct {
	begin, end time.Time
	// id is the prompt's Reservation.ID, and prefill its PrefillTime.
	id      string
	prefill time.Duration
	// reserved is the time of the reservation.
	reserved time.Time
	// done means that the prefill has ended.
	done bool
}

// promptQueue holds the prompts of one engine, which prefills them one after the other, in the order of their
// reservations. Spans that are not done are predictions.
type promptQueue []span

// predict updates the spans that are not done. A prompt whose end was not reported in time delays those behind it.
func (q promptQueue) predict(now time.Time) {
	var free time.Time
	for i := range q {
		s := &q[i]
		if !s.done {
			s.begin = laterOf(s.reserved, free)
			s.end = s.begin.Add(s.prefill)
			s.extend(now)
		}
		free = laterOf(free, s.end)
	}
}

// extend moves the end of a span that is overdue. It is expected to take as long again as it is overdue.
func (s *span) extend(now time.Time) {
	overdue := now.Sub(s.end)
	switch {
	case overdue < 0:
	case s.id == "" || overdue > maxOverdueShare*s.prefill:
		s.done = true
	default:
		s.end = now.Add(min(overdue, s.prefill))
	}
}

// drop returns the queue without the spans that ended by a time.
func (q promptQueue) drop(before time.Time) promptQueue {
	return slices.DeleteFunc(q, func(s span) bool { return s.done && !s.end.After(before) })
}

// finish records that the prefill of a prompt ended. A prompt that was not due yet was not prefilled, or faster
// than predicted.
func (q promptQueue) finish(id string, now time.Time) promptQueue {
	q.predict(now)
	q = slices.DeleteFunc(q, func(s span) bool { return s.id == id && !s.done && !now.After(s.begin) })
	for i := range q {
		if s := &q[i]; s.id == id && !s.done {
			s.end, s.done = now, true
		}
	}
	return q
}

// free returns when the engine has prefilled all prompts; no earlier than now.
func (q promptQueue) free(now time.Time) time.Time {
	free := now
	for _, s := range q {
		free = laterOf(free, s.end)
	}
	return free
}

// prefillTimeSince returns for how long the engine prefills after a time.
func (q promptQueue) prefillTimeSince(since time.Time) time.Duration {
	var sum time.Duration
	for _, s := range q {
		if begin := laterOf(s.begin, since); s.end.After(begin) {
			sum += s.end.Sub(begin)
		}
	}
	return sum
}

// waitForBudget returns by how much a window that begins at windowBegin must move for the prefill time in it to
// shrink by excess.
func (q promptQueue) waitForBudget(windowBegin time.Time, excess time.Duration) time.Duration {
	for _, s := range q {
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
