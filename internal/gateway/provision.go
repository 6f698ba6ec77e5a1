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

// directoryPoll is the pause before the directory of upstreams is read again.
const directoryPoll = 20 * time.Millisecond

// provide asks the order holder for what is lacking, and returns how long to wait before the directory is read
// again. It refuses the request if it may not wait that long.
func (r *inflight) provide(ctx context.Context, lacking reason) (time.Duration, *refusal) {
	left := time.Until(r.deadlines.upstream)
	if lacking == reasonNoUpstream {
		// The order holder cannot provide an upstream; the platform's list may bring one.
		if left < directoryPoll {
			return 0, r.refusalFor(lacking, 0)
		}
		return directoryPoll, nil
	}
	if lacking == reasonEvacuated || lacking == reasonRegion || lacking == reasonOtherVersion {
		return 0, r.refusalFor(lacking, 0)
	}
	if lacking == reasonBackoff || lacking == reasonCold || lacking == reasonLimited {
		return r.awaitThrottled(lacking, left)
	}
	if lacking == reasonNoModel {
		r.reportUnservedDemand(r.need.PromptTokens)
	}
	if left <= 0 {
		return 0, r.refusalFor(lacking, 0)
	}
	return r.ensure(ctx, lacking, left)
}

// awaitThrottled returns how long to wait until the first throttled upstream may get the request. If that exceeds
// left, it refuses the request at once, with a Retry-After that is spread at random. The refused work counts as
// demand, so that another engine gets the model if the upstreams stay throttled.
func (r *inflight) awaitThrottled(lacking reason, left time.Duration) (time.Duration, *refusal) {
	r.rate.asked = 0 // There is no other upstream to use instead.
	wait := max(directoryPoll, time.Until(r.throttledUpstreams.earliestEnd))
	if wait <= left {
		return wait, nil
	}
	r.reportUnservedDemand(r.need.PromptTokens)
	return 0, r.refusalFor(lacking, wait+time.Duration(rand.Float64()*float64(r.gateway.Directory.BackoffPolicy.RetryJitter)))
}

// ensure asks the order holder to load the model or adapter, and returns how long to wait, at most left. Once the
// order holder has stated when the load ends, the request may wait for it. If the order holder cannot be reached,
// ReadyIn is 0 and it is asked again until no time is left.
func (r *inflight) ensure(ctx context.Context, lacking reason, left time.Duration) (time.Duration, *refusal) {
	askCtx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	ensured, err := r.gateway.Ensure(askCtx, residency.Want{
		Service: r.service, Model: r.need.Model, Adapter: r.need.Adapter, Avoid: r.throttledUpstreams.ids, Halls: r.allowedHalls(),
		SoftwareVersion: r.resumption.Version,
	})
	if ensured.Upstream != "" && !slices.Contains(r.throttledUpstreams.ids, ensured.Upstream) {
		r.gateway.Directory.MergeResidency(ensured.Term, map[string]fleet.Residency{ensured.Upstream: ensured.Residency})
		return 0, nil
	}
	if ctx.Err() != nil {
		return 0, r.contextRefusal(ctx)
	}
	if ensured.ReadyIn > 0 {
		r.deadlines.upstream = r.deadlines.load
	}
	left = time.Until(r.deadlines.upstream)
	if ensured.ReadyIn > left || left < directoryPoll {
		r.logNotProvided(ensured, err)
		return 0, r.refusalFor(lacking, ensured.ReadyIn)
	}
	// err is not logged here: either a later call succeeds, or the last error is logged.
	return max(directoryPoll, min(ensured.ReadyIn, left/2)), nil
}

func (r *inflight) logNotProvided(ensured residency.EnsureResult, err error) {
	r.gateway.Log.Info("model or adapter not provided in time",
		zap.String("id", r.request.ID),
		zap.String("model", r.need.Model),
		zap.String("adapter", r.need.Adapter),
		zap.Duration("ready", ensured.ReadyIn),
		zap.Int64("term", ensured.Term),
		logfield.Error(err))
}
