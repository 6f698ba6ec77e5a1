package gateway

import (
	"context"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// pick returns the upstream of the next attempt: the best of the candidates, if it answers soon
// enough. One under which upstreams crash gets none. A request that has the time waits while all of them are crowded with prompts. While there is
// no candidate, it has what is lacking provided, for as long as the request may wait.
func (r *inflight) pick(ctx context.Context) (dispatch.Choice, *refusal) {
	for {
		if refused := r.held(); refused != nil {
			return dispatch.Choice{}, refused
		}
		candidates, lacking := r.candidates()
		if choice, wait, ok := r.choose(ctx, candidates); ok {
			r.chosen = choice
			if wait > 0 && r.mayPace(choice) {
				if err := pause.For(ctx, wait); err != nil {
					return dispatch.Choice{}, r.ended(ctx)
				}
				continue
			}
			refused := r.admit(choice)
			if refused != nil {
				r.noteTurnedAway(choice.Uncached)
				return choice, refused
			}
			if !r.permitted(ctx, choice) || !r.begin(choice) {
				if ctx.Err() != nil {
					return dispatch.Choice{}, r.ended(ctx)
				}
				continue
			}
			if wait > 0 {
				r.reserveAnyway(ctx, choice)
			}
			return choice, nil
		}
		wait, refused := r.provide(ctx, lacking)
		if refused != nil {
			return dispatch.Choice{}, refused
		}
		if err := pause.For(ctx, wait); err != nil {
			return dispatch.Choice{}, r.ended(ctx)
		}
	}
}

// begin begins a sending to the chosen upstream. It is false if an answer told meanwhile that it leaves, or wants rest: the choice may have
// waited for another box.
func (r *inflight) begin(choice dispatch.Choice) bool {
	if !r.takeGrant(choice.Upstream.ID) {
		return false
	}
	endpoint, err := r.gateway.Directory.Begin(choice.Upstream.Upstream)
	if err != nil {
		// It needs no line: what was told has one, and the next choice leaves the upstream out.
		return false
	}
	r.endpoint = endpoint
	return true
}

// maxReservations is how many engines a request asks time of before it waits: each costs a call to another box.
const maxReservations = 5

// choose chooses among the candidates, and reserves time at the chosen engine to read the prompt. If the engine has none,
// it chooses among the others. wait is after how long to look again if none has; the choice is then the best of all.
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
		wait = soonest(wait, retry)
		candidates = slices.DeleteFunc(candidates, func(state *fleet.State) bool { return state.ID == next.Upstream.ID })
		next, ok = r.gateway.Chooser.Choose(r.need, candidates)
		if !ok || next.PausesStreams(r.need) && !best.PausesStreams(r.need) {
			break
		}
	}
	return best, wait, true
}

// soonest is the shorter of two waits, of which 0 is none yet.
func soonest(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// reserve reserves time to read the request's prompt at the chosen engine. Where that is not worth it, or nobody can be asked, it
// goes by the loads that boxes reported. retry is after how long there probably is time.
func (r *inflight) reserve(ctx context.Context, choice dispatch.Choice) (free bool, retry time.Duration) {
	asked, worthIt := choice.Reservation(r.need)
	if !worthIt || r.gateway.Reserve == nil || r.attempts.mayHaveRun > 0 {
		return r.uncrowded(choice)
	}
	answer, err := r.gateway.Reserve(ctx, asked)
	switch {
	case err != nil:
		// It needs no line: whoever asks the keeper logs when it loses and regains it.
		return r.uncrowded(choice)
	case answer.Taken:
		return true, 0
	}
	return false, max(pacePause, min(longestPacePause, answer.Wait))
}

// uncrowded reports whether the chosen engine has time by the loads that boxes reported, and else after how long to look
// again.
func (r *inflight) uncrowded(choice dispatch.Choice) (free bool, retry time.Duration) {
	if choice.Crowded(r.need) {
		return false, pacePause
	}
	return true, 0
}

// reserveAnyway reserves time at an engine that has none, because the request can't wait any longer, so that others know of
// it. Nobody waits for the answer.
func (r *inflight) reserveAnyway(ctx context.Context, choice dispatch.Choice) {
	asked, worthIt := choice.Reservation(r.need)
	if !worthIt || r.gateway.Reserve == nil {
		return
	}
	asked.Budget = dispatch.AnyBudget
	go func() { _, _ = r.gateway.Reserve(context.WithoutCancel(ctx), asked) }()
}

const (
	// pacePause is the pause before another look at engines that have prompts enough to read.
	pacePause = 10 * time.Millisecond
	// longestPacePause bounds the pause where engines say when they have time: others may give it up before.
	longestPacePause = 100 * time.Millisecond
	// paceShare is the part of the route's target up to which a request is held back for that.
	paceShare = 0.6
)

// mayPace reports whether the request has time to wait until the engine has read other prompts: read
// together they delay the events of all streams there beyond their target, and each such stream loses most
// of its worth. One answer in ten was late by a pause alone.
func (r *inflight) mayPace(choice dispatch.Choice) bool {
	if r.attempts.mayHaveRun > 0 {
		return false
	}
	due := time.Since(r.request.Arrived) + choice.Wait
	return due < time.Duration(paceShare*float64(r.route.Target))
}
