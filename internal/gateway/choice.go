package gateway

import (
	"context"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// pick returns the upstream for the next attempt: the best candidate, if it is expected to answer soon enough.
// While all candidates are busy with the prefill of prompts, a request that has the time waits. While there is no
// candidate, pick has what is lacking provided, for as long as the request may wait. It returns the refusal of a
// request under which upstreams crash.
func (r *inflight) pick(ctx context.Context) (dispatch.Choice, *refusal) {
	for {
		if refused := r.quarantined(); refused != nil {
			return dispatch.Choice{}, refused
		}
		candidates, lacking := r.candidates()
		if choice, wait, ok := r.choose(ctx, candidates); ok {
			r.lastChoice = choice
			if wait > 0 && r.mayDelay(choice) {
				if err := pause.For(ctx, wait); err != nil {
					return dispatch.Choice{}, r.contextRefusal(ctx)
				}
				continue
			}
			refused := r.admit(choice)
			if refused != nil {
				r.reportUnservedDemand(choice.Uncached)
				return choice, refused
			}
			if !r.acquireRateGrant(ctx, choice) || !r.beginSend(choice) {
				if ctx.Err() != nil {
					return dispatch.Choice{}, r.contextRefusal(ctx)
				}
				continue
			}
			if wait > 0 {
				r.reservation = reservationOver
				r.reserveOverCapacity(ctx, choice)
			}
			r.noteSent()
			return choice, nil
		}
		wait, refused := r.provide(ctx, lacking)
		if refused != nil {
			return dispatch.Choice{}, refused
		}
		if err := pause.For(ctx, wait); err != nil {
			return dispatch.Choice{}, r.contextRefusal(ctx)
		}
	}
}

// beginSend begins sending to the chosen upstream. It returns false if the upstream may not get the request any
// more: choosing may have waited for another box, and meanwhile an answer may have given notice that the upstream
// leaves or wants a backoff.
func (r *inflight) beginSend(choice dispatch.Choice) bool {
	if !r.useRateGrant(choice.Upstream.ID) {
		return false
	}
	endpoint, err := r.gateway.Directory.Begin(choice.Upstream.Upstream)
	if err != nil {
		// The error is not logged: the notice was logged, and the next choice leaves the upstream out.
		return false
	}
	r.endpoint = endpoint
	return true
}

// maxReservations is the number of engines at which a request tries to reserve time before it waits. Each try
// costs a call to another box.
const maxReservations = 5

// choose selects the best candidate and reserves time there to prefill the prompt. If that engine has none, it
// tries the other candidates. If none has time, it returns the best of all, and wait is the time until another try
// is worthwhile.
func (r *inflight) choose(ctx context.Context, candidates []*fleet.State) (choice dispatch.Choice, wait time.Duration, ok bool) {
	best, ok := r.gateway.Chooser.Choose(r.need, candidates)
	if !ok {
		return dispatch.Choice{}, 0, false
	}
	next := best
	for range maxReservations {
		free, retry := r.reserve(ctx, next)
		if free {
			return next, 0, true
		}
		wait = shorterWait(wait, retry)
		candidates = slices.DeleteFunc(candidates, func(state *fleet.State) bool { return state.ID == next.Upstream.ID })
		next, ok = r.gateway.Chooser.Choose(r.need, candidates)
		if !ok || next.PausesStreams(r.need) && !best.PausesStreams(r.need) {
			break
		}
	}
	return best, wait, true
}

// shorterWait returns the shorter of two waits, of which 0 means none.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// reserve reserves time at the chosen engine to prefill the request's prompt. If a reservation is not worthwhile or
// cannot be made, it decides by the reported loads. retry is the time until the engine probably has time.
func (r *inflight) reserve(ctx context.Context, choice dispatch.Choice) (free bool, retry time.Duration) {
	asked, worthIt := choice.Reservation(r.need)
	r.reservation = reservationNone
	if !worthIt || r.gateway.Reserve == nil || r.attempts.mayHaveRun > 0 {
		return r.hasPromptCapacity(choice)
	}
	r.reservation = reservationUnasked
	answer, err := r.gateway.Reserve(ctx, asked)
	switch {
	case err != nil:
		// The error is not logged: the caller of the keeper logs when it loses and regains it.
		return r.hasPromptCapacity(choice)
	case answer.Taken:
		r.reservation = reservationGranted
		return true, 0
	}
	return false, max(capacityPollInterval, min(maxCapacityWait, answer.Wait))
}

// hasPromptCapacity reports whether the chosen engine has time to prefill the prompt, judged by the reported loads.
// If not, retry is the time until another try.
func (r *inflight) hasPromptCapacity(choice dispatch.Choice) (free bool, retry time.Duration) {
	if choice.Crowded(r.need) {
		return false, capacityPollInterval
	}
	return true, 0
}

// reserveOverCapacity reserves time at an engine that has none left, because the request cannot wait any longer,
// so that other boxes take this load into account. It does not wait for the answer.
func (r *inflight) reserveOverCapacity(ctx context.Context, choice dispatch.Choice) {
	asked, worthIt := choice.Reservation(r.need)
	if !worthIt || r.gateway.Reserve == nil {
		return
	}
	asked.Budget = dispatch.UnlimitedBudget
	go func() { _, _ = r.gateway.Reserve(context.WithoutCancel(ctx), asked) }()
}

const (
	// capacityPollInterval is the pause before another try at engines that have enough prompts to prefill.
	capacityPollInterval = 10 * time.Millisecond
	// maxCapacityWait limits the pause where engines state when they have time, since others may give up reserved
	// time earlier.
	maxCapacityWait = 100 * time.Millisecond
	// delayShare is the share of the route's target up to which a request is delayed in this way.
	delayShare = 0.6
)

// mayDelay reports whether the request has time to wait until the engine has prefilled other prompts. Prompts that
// are prefilled together delay the events of all streams at the engine beyond their target, and each such stream
// loses most of its value. One answer in ten was late because of such a pause alone.
func (r *inflight) mayDelay(choice dispatch.Choice) bool {
	if r.attempts.mayHaveRun > 0 {
		return false
	}
	due := time.Since(r.request.Arrived) + choice.Wait
	return due < time.Duration(delayShare*float64(r.route.Target))
}
