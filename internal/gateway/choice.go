package gateway

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// pick returns the upstream for the next attempt: the best candidate, if it is expected to answer soon enough.
// While all candidates are busy with the prefill of prompts, a request that has the time waits. While there is no
// candidate, pick has what is lacking provided, for as long as the request may wait. It returns the refusal of a
// request under which upstreams crash.
func (r *inflight) pick(ctx context.Context) (dispatch.Choice, *refusal) {
	for {
		if r.sendCheck()() != nil {
			return dispatch.Choice{}, r.refusalFor(reasonStopping, 0)
		}
		if refused := r.quarantined(); refused != nil {
			return dispatch.Choice{}, refused
		}
		candidates, lacking, refused := r.placedCandidates(ctx)
		if refused != nil {
			return r.lastChoice, refused
		}
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
				r.finishReservation(ctx)
				r.reportUnservedDemand(choice.Uncached)
				return choice, refused
			}
			if !r.acquireRateGrant(ctx, choice) || !r.beginSend(choice) {
				r.finishReservation(ctx)
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
// more: choosing may have waited for another box, and meanwhile the list or an answer may have stated that the upstream
// leaves, or an answer that asked for a backoff.
func (r *inflight) beginSend(choice dispatch.Choice) bool {
	if !r.useRateGrant(choice.Upstream.ID) {
		return false
	}
	endpoint, err := r.gateway.Directory.Begin(choice.Upstream.Upstream)
	if err != nil {
		// The error is not logged: the notice was logged, and the next choice leaves the upstream out.
		return false
	}
	if endpoint.Check() != nil {
		endpoint.End()
		return false
	}
	r.endpoint = endpoint
	return true
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
