package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// pick chooses the back end of the next sending, and waits for what has to be loaded first.
func (r *run) pick(ctx context.Context) (dispatch.Choice, *refusal) {
	for {
		choice, why := r.choose()
		if why == "" && r.admits(choice) {
			return choice, nil
		}
		if why == "" {
			return choice, r.unserved(reasonFull, r.comeBack(choice))
		}
		wait, refused := r.provide(ctx, why)
		if refused != nil {
			return choice, refused
		}
		if err := pause.For(ctx, wait); err != nil {
			return choice, r.ended(ctx)
		}
	}
}

const (
	// admitShare is how long a first token may take, by the target, for a request to be admitted:
	// what comes later than that only holds up the others.
	admitShare = 1.15
)

// admits tells whether the best back end will answer soon enough. A stream that goes on is not
// turned away.
func (r *run) admits(choice dispatch.Choice) bool {
	if r.need.Model == "" || r.route.Target <= 0 || r.tries > 0 {
		return true
	}
	return choice.Wait <= time.Duration(admitShare*float64(r.route.Target))
}

// comeBack is when the best back end will probably have room.
func (r *run) comeBack(choice dispatch.Choice) time.Duration {
	return choice.Wait - r.route.Target/2
}

// choose picks among the back ends that have what the request needs; why tells what is lacking.
func (r *run) choose() (dispatch.Choice, reason) {
	all := r.gateway.Directory.Of(r.service)
	candidates := make([]*fleet.State, 0, len(all))
	now := time.Now()
	present, holdModel, holdAdapter := false, false, false
	for _, state := range all {
		if !state.Usable(now) || r.avoids(state.ID) {
			continue
		}
		present = true
		if r.need.Model != "" {
			if !state.Holds(r.need.Model) {
				continue
			}
			holdModel = true
			if !state.HoldsAdapter(r.need.Model, r.need.Adapter) {
				continue
			}
			holdAdapter = true
		}
		if r.gateway.Directory.Missing(state.ID, r.need.Model, r.need.Adapter) {
			continue
		}
		candidates = append(candidates, state)
	}
	if choice, ok := r.gateway.Chooser.Choose(r.need, candidates); ok {
		return choice, ""
	}
	switch {
	case !present:
		return dispatch.Choice{}, reasonNoUpstream
	case r.need.Model == "":
		return dispatch.Choice{}, reasonNoUpstream
	case !holdModel:
		return dispatch.Choice{}, reasonNoModel
	case holdAdapter:
		return dispatch.Choice{}, reasonUnreachable
	}
	return dispatch.Choice{}, reasonNoAdapter
}

func (r *run) avoids(backend string) bool {
	return slices.Contains(r.avoid, backend)
}

// retryWait is the pause before another look at the directory.
const retryWait = 20 * time.Millisecond

// provide has what is lacking loaded, and tells how long to wait before looking again; it
// refuses the request if that is longer than it may wait.
func (r *run) provide(ctx context.Context, why reason) (time.Duration, *refusal) {
	left := time.Until(r.patience)
	if why == reasonNoUpstream {
		if left < retryWait {
			return 0, r.unserved(why, 0)
		}
		return retryWait, nil
	}
	if why == reasonNoModel {
		r.missed()
	}
	if left <= 0 {
		return 0, r.unserved(why, 0)
	}
	askCtx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	ensured, err := r.gateway.Ensure(askCtx, r.service, r.need.Model, r.need.Adapter)
	if ensured.Upstream != "" {
		r.gateway.Directory.MergeResidency(ensured.Term, map[string]fleet.Residency{ensured.Upstream: ensured.Residency})
		return 0, nil
	}
	if ctx.Err() != nil {
		return 0, r.ended(ctx)
	}
	left = time.Until(r.patience)
	wait := max(retryWait, min(ensured.Ready, left/2))
	if ensured.Ready > left || left < retryWait {
		r.gateway.Log.Info("not provided", zap.String("id", r.request.ID), zap.String("model", r.need.Model),
			zap.String("adapter", r.need.Adapter), zap.Duration("ready", ensured.Ready),
			zap.Int64("term", ensured.Term), logfield.Error(err))
		return 0, r.unserved(why, ensured.Ready)
	}
	return wait, nil
}

// missed tells the order holder of work that no engine could take.
func (r *run) missed() {
	if r.noted {
		return
	}
	r.noted = true
	r.noteWork(r.need.PromptTokens)
}

func (r *run) noteWork(uncached int) {
	if r.need.Model == "" || r.gateway.Note == nil {
		return
	}
	work := r.gateway.Loads.Work(r.need, uncached)
	key := residency.ModelKey{Service: r.service, Model: r.need.Model}
	r.gateway.Note(map[residency.ModelKey]float64{key: float64(work) / float64(time.Millisecond)})
}
