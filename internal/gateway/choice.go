package gateway

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// pick returns the upstream of the next attempt: the best of the candidates, if it answers soon
// enough. A request that has the time waits while all of them are crowded with prompts. While there is
// no candidate, it has what is lacking provided, for as long as the request may wait.
func (r *inflight) pick(ctx context.Context) (dispatch.Choice, *refusal) {
	for {
		candidates, lacking := r.candidates()
		if choice, ok := r.gateway.Chooser.Choose(r.need, candidates); ok {
			r.chosen = choice
			if choice.Crowded(r.need) && r.mayPace(choice) {
				if err := pause.For(ctx, pacePause); err != nil {
					return dispatch.Choice{}, r.ended(ctx)
				}
				continue
			}
			refused := r.admit(choice)
			if refused != nil {
				r.noteTurnedAway(choice.Uncached)
			}
			return choice, refused
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

const (
	// pacePause is the pause before another look at engines that have prompts enough to read. Chosen, not
	// measured.
	pacePause = 10 * time.Millisecond
	// paceShare is the part of the route's target up to which a request is held back for that. Chosen, not
	// measured.
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
