package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

const (
	// maxReservations is the number of engines at which a request tries to reserve time before it waits. Each try
	// costs a call to another box.
	maxReservations = 10
	// minMaxDelay is the shortest delay for which another engine is tried. A try takes about half of it.
	minMaxDelay = 10 * time.Millisecond
)

// triedEngine is an engine that has no time for a prompt soon enough.
type triedEngine struct {
	choice dispatch.Choice
	// first is the predicted time to the first token there, by the keeper's answer if it answered, and the penalty
	// for queuing behind others there.
	first time.Duration
	// late means that it has time, but only after the other engines.
	late bool
}

// choose selects the best candidate that begins with the prompt soon, and reserves time there. An engine is passed
// over if its keeper says that it begins with the prompt so late that the next candidate is expected to be faster.
// If all are passed over, the one that is expected to be the fastest by the answers is selected. If none has time,
// choose returns that one, and wait is the time until another try is worthwhile.
func (r *inflight) choose(ctx context.Context, candidates []*fleet.State) (choice dispatch.Choice, wait time.Duration, ok bool) {
	next, ok := r.gateway.Chooser.Choose(r.need, candidates)
	if !ok {
		return dispatch.Choice{}, 0, false
	}
	var tried []triedEngine
	best := next
	for range maxReservations {
		candidates = without(candidates, next.Upstream.ID)
		after, more := r.gateway.Chooser.Choose(r.need, candidates)
		var maxDelay time.Duration
		if more {
			maxDelay = max(minMaxDelay, after.OwnWait()-next.OwnWait())
		}
		result := r.reserve(ctx, &next, maxDelay)
		if result.free {
			return next, 0, true
		}
		tried = append(tried, triedEngine{choice: next, first: next.Wait + next.QueuePenalty(r.need), late: result.late})
		wait = shorterWait(wait, result.retry)
		if !more || after.PausesStreams(r.need) && !best.PausesStreams(r.need) {
			break
		}
		next = after
	}
	return r.fastestTried(ctx, tried, wait)
}

// fastestTried reserves time at the fastest of the tried engines that has time at all.
func (r *inflight) fastestTried(ctx context.Context, tried []triedEngine, wait time.Duration) (dispatch.Choice, time.Duration, bool) {
	slices.SortStableFunc(tried, func(a, b triedEngine) int { return cmp.Compare(a.first, b.first) })
	for i := range tried {
		if tried[i].late {
			if result := r.reserve(ctx, &tried[i].choice, 0); result.free {
				return tried[i].choice, 0, true
			}
			break
		}
	}
	return tried[0].choice, wait, true
}

func without(candidates []*fleet.State, id string) []*fleet.State {
	return slices.DeleteFunc(candidates, func(state *fleet.State) bool { return state.ID == id })
}

// shorterWait returns the shorter of two waits, of which 0 means none.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// reserveResult is the result of a try to reserve an engine's time.
type reserveResult struct {
	// free means that the prompt may be sent there.
	free bool
	// late means that it could be sent, but the engine begins with it after the asked delay.
	late bool
	// retry is the time until it probably has time.
	retry time.Duration
}

// reserve reserves time at the chosen engine to prefill the request's prompt, if the engine begins with it within
// maxDelay; 0 sets no limit. The keeper's answer corrects the choice's predicted wait. If a reservation is not
// worthwhile or cannot be made, it decides by the reported loads.
func (r *inflight) reserve(ctx context.Context, choice *dispatch.Choice, maxDelay time.Duration) reserveResult {
	asked, worthIt := choice.Reservation(r.need)
	r.reservation = reservationNone
	if !worthIt || r.gateway.Reserve == nil || r.attempts.mayHaveRun > 0 {
		return r.promptCapacity(choice)
	}
	r.reservation = reservationUnasked
	asked.ID, asked.MaxDelay = r.promptID(), maxDelay
	answer, err := r.gateway.Reserve(ctx, asked)
	if err != nil {
		// The error is not logged: the caller of the keeper logs when it loses and regains it.
		return r.promptCapacity(choice)
	}
	if answer.Predicted {
		choice.SetDelay(answer.Delay)
	}
	if answer.Taken {
		r.reservation, r.delay, r.reservedEngine = reservationGranted, answer.Delay, asked.Engine
		return reserveResult{free: true}
	}
	return reserveResult{
		late:  answer.Delay > maxDelay && answer.Wait == answer.Delay-maxDelay,
		retry: max(capacityPollInterval, min(maxCapacityWait, answer.Wait)),
	}
}

// promptCapacity reports whether the chosen engine has time to prefill the prompt, judged by the reported loads.
func (r *inflight) promptCapacity(choice *dispatch.Choice) reserveResult {
	if choice.Crowded(r.need) {
		return reserveResult{retry: capacityPollInterval}
	}
	return reserveResult{free: true}
}

// reserveOverCapacity reserves time at an engine that has none left, because the request cannot wait any longer,
// so that other boxes take this load into account. It does not wait for the answer.
func (r *inflight) reserveOverCapacity(ctx context.Context, choice dispatch.Choice) {
	asked, worthIt := choice.Reservation(r.need)
	if !worthIt || r.gateway.Reserve == nil {
		return
	}
	asked.Budget, asked.ID = dispatch.UnlimitedBudget, r.promptID()
	r.reservedEngine = asked.Engine
	go func() { _, _ = r.gateway.Reserve(context.WithoutCancel(ctx), asked) }()
}

// promptID returns the name of the prompt in its reservation; empty if its end will not be reported.
func (r *inflight) promptID() string {
	if r.gateway.FinishPrompt == nil {
		return ""
	}
	return r.request.ID
}

// finishReservation reports that the engine has prefilled the prompt, or will not do so. Calls after the first one
// do nothing.
func (r *inflight) finishReservation(ctx context.Context) {
	if r.reservedEngine == "" || r.gateway.FinishPrompt == nil {
		return
	}
	finished := dispatch.FinishedPrompt{Engine: r.reservedEngine, ID: r.promptID()}
	r.reservedEngine = ""
	go r.gateway.FinishPrompt(context.WithoutCancel(ctx), finished)
}
