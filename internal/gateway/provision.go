package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// directoryPoll is the pause before another look at the directory of upstreams.
const directoryPoll = 20 * time.Millisecond

// provide requests what is lacking from the order holder, and returns how long to wait before another
// look at the directory. It refuses the request if that is longer than the request may wait.
func (r *inflight) provide(ctx context.Context, lacking reason) (time.Duration, *refusal) {
	left := time.Until(r.deadlines.upstream)
	if lacking == reasonNoUpstream {
		// The order holder can't provide an upstream; the platform's list may bring one.
		if left < directoryPoll {
			return 0, r.unserved(lacking, 0)
		}
		return directoryPoll, nil
	}
	if lacking == reasonEvacuated || lacking == reasonRegion {
		return 0, r.unserved(lacking, 0)
	}
	if lacking == reasonResting || lacking == reasonCold || lacking == reasonLimited {
		return r.awaitRest(lacking, left)
	}
	if lacking == reasonNoModel {
		r.noteTurnedAway(r.need.PromptTokens)
	}
	if left <= 0 {
		return 0, r.unserved(lacking, 0)
	}
	return r.ensure(ctx, lacking, left)
}

// awaitRest returns how long to wait until an upstream that asked for rest may be sent the request. If that is longer than left, the
// request is refused at once, and may come again then; its work counts as demand, so that another engine gets the model if the rest lasts.
func (r *inflight) awaitRest(lacking reason, left time.Duration) (time.Duration, *refusal) {
	r.rate.asked = 0 // There is no other one to go to instead.
	wait := max(directoryPoll, time.Until(r.rests.soonest))
	if wait <= left {
		return wait, nil
	}
	r.noteTurnedAway(r.need.PromptTokens)
	return 0, r.unserved(lacking, wait+time.Duration(rand.Float64()*float64(r.gateway.Directory.Rests.ReturnSpread)))
}

// ensure asks the order holder for the model or adapter, for at most the time that is left. Once it has
// said when that is there, the request may wait for it. Where the order holder can't be reached, Ready is 0
// and it is asked again until no time is left.
func (r *inflight) ensure(ctx context.Context, lacking reason, left time.Duration) (time.Duration, *refusal) {
	askCtx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	ensured, err := r.gateway.Ensure(askCtx, residency.Want{
		Service: r.service, Model: r.need.Model, Adapter: r.need.Adapter, Avoid: r.rests.upstreams, Halls: r.allowedHalls(),
	})
	if ensured.Upstream != "" && !slices.Contains(r.rests.upstreams, ensured.Upstream) {
		r.gateway.Directory.MergeResidency(ensured.Term, map[string]fleet.Residency{ensured.Upstream: ensured.Residency})
		return 0, nil
	}
	if ctx.Err() != nil {
		return 0, r.ended(ctx)
	}
	if ensured.Ready > 0 {
		r.deadlines.upstream = r.deadlines.load
	}
	left = time.Until(r.deadlines.upstream)
	if ensured.Ready > left || left < directoryPoll {
		r.logNotProvided(ensured, err)
		return 0, r.unserved(lacking, ensured.Ready)
	}
	// err needs no line of its own: either a later call succeeds, or the last one is logged.
	return max(directoryPoll, min(ensured.Ready, left/2)), nil
}

func (r *inflight) logNotProvided(ensured residency.EnsureResult, err error) {
	r.gateway.Log.Info("model or adapter not provided in time",
		zap.String("id", r.request.ID),
		zap.String("model", r.need.Model),
		zap.String("adapter", r.need.Adapter),
		zap.Duration("ready", ensured.Ready),
		zap.Int64("term", ensured.Term),
		logfield.Error(err))
}
