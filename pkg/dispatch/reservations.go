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
	// ID names the prompt in Finish. It is empty if its end will not be reported, as by the previous version.
	ID string `json:"id,omitempty"`
	// MaxDelay is the longest time until the engine begins with the prompt; 0 sets no limit.
	MaxDelay time.Duration `json:"delay,omitempty"`
}

// FinishedPrompt reports that an engine has prefilled a prompt, or that the prompt will not be prefilled there.
type FinishedPrompt struct {
	Engine string `json:"engine"`
	ID     string `json:"id"`
}

// UnlimitedBudget is the budget of a prompt that is sent no matter how long the engine prefills others.
const UnlimitedBudget = time.Duration(math.MaxInt64)

const (
	// maxReserved bounds the times of a reservation, so that a wrong one blocks an engine only for a moment.
	maxReserved = 10 * time.Second
	// maxPromptID bounds the length of an ID in bytes; a longer one counts as none.
	maxPromptID = 100
)

// ReservationAnswer is the response to a Reservation.
type ReservationAnswer struct {
	// Taken means that the time is reserved.
	Taken bool `json:"taken"`
	// Wait is the time after which it could be reserved, if no other box takes it; 0 if it is taken.
	Wait time.Duration `json:"wait,omitempty"`
	// Delay is the time until the engine begins with the prompt, if Predicted is set; a keeper of the previous
	// version sets neither.
	Delay     time.Duration `json:"delay,omitempty"`
	Predicted bool          `json:"predicted,omitempty"`
}

// Reservations hold when engines prefill the prompts that boxes reserved time for, one prompt after the other.
// Boxes report when a prompt's first token comes, so that an engine that is slower than predicted counts as
// occupied for longer, and one that is faster is free at once. Reservations are advisory: prompts sent without one
// are not recorded here. They are safe for concurrent use.
//
// One box keeps the reservations of an engine for all boxes, so that they are only one call old. The loads that
// boxes report to each other are a quarter to two thirds of a second old, longer than the prefill of a prompt.
// By these loads several boxes choose the same idle engine, and each stream that runs there pauses until all
// their prompts are prefilled.
type Reservations struct {
	mu sync.Mutex
	// queues holds, for each engine, the prompts whose prefill ended no longer than their window ago.
	queues map[string]promptQueue
}

// NewReservations returns reservations without any prompt: all engines are idle.
func NewReservations() *Reservations { return &Reservations{queues: map[string]promptQueue{}} }

// Reserve reserves the time at an engine if it begins with the prompt soon enough, and if its prefill time in the
// window that ends with the prompt stays within the budget. A prompt that exceeds the budget by itself is accepted
// if the engine prefills no other prompt in that window.
func (r *Reservations) Reserve(asked Reservation, now time.Time) ReservationAnswer {
	asked.bound()
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[asked.Engine]
	queue.predict(now)
	queue = queue.drop(now.Add(-asked.Window))
	begin := queue.free(now)
	next := span{begin: begin, end: begin.Add(asked.PrefillTime), id: asked.ID, prefill: asked.PrefillTime, reserved: now}
	answer := ReservationAnswer{Delay: begin.Sub(now), Predicted: true}
	windowBegin := next.end.Add(-asked.Window)
	excess := queue.prefillTimeSince(windowBegin) - max(0, asked.Budget-asked.PrefillTime)
	switch {
	case excess > 0:
		answer.Wait = queue.waitForBudget(windowBegin, excess)
	case asked.MaxDelay > 0 && answer.Delay > asked.MaxDelay:
		answer.Wait = answer.Delay - asked.MaxDelay
	case len(queue) < maxQueuedPrompts:
		answer.Taken = true
		queue = append(queue, next)
	}
	r.setQueue(asked.Engine, queue)
	return answer
}

// Valid reports whether the reservation is within the bounds that Reserve applies.
func (r *Reservation) Valid() bool {
	bounded := *r
	bounded.bound()
	return bounded == *r
}

// bound bounds a reservation that another box sent.
func (r *Reservation) bound() {
	r.MaxDelay = max(0, r.MaxDelay)
	if len(r.ID) > maxPromptID {
		r.ID = ""
	}
	r.PrefillTime = max(0, min(maxReserved, r.PrefillTime))
	r.Window = max(0, min(maxReserved, r.Window))
}

// Finish records that an engine has prefilled a prompt, or will not do so. An unknown prompt is ignored.
func (r *Reservations) Finish(finished FinishedPrompt, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if queue, ok := r.queues[finished.Engine]; ok && finished.ID != "" {
		r.setQueue(finished.Engine, queue.finish(finished.ID, now))
	}
}

// setQueue stores an engine's queue and drops an empty one. The caller holds the lock.
func (r *Reservations) setQueue(engine string, queue promptQueue) {
	if len(queue) == 0 {
		delete(r.queues, engine)
		return
	}
	r.queues[engine] = queue
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
