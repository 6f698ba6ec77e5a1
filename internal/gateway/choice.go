package gateway

import (
	"context"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// pick returns the upstream of the next attempt: the best of the candidates, if it answers soon
// enough. While there is no candidate, it has what is lacking provided, for as long as the request
// may wait.
func (r *inflight) pick(ctx context.Context) (dispatch.Choice, *refusal) {
	for {
		candidates, lacking := r.candidates()
		if choice, ok := r.gateway.Chooser.Choose(r.need, candidates); ok {
			r.chosen = choice
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
