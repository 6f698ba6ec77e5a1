package gateway

import (
	"context"
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

const (
	// maxRateAsks is how many keepers of bounded upstreams one request asks; then it goes to others alone. Each costs a call.
	maxRateAsks = 2
	// keeperRetry is after how long a keeper that gave no answer is asked again.
	keeperRetry = time.Second
)

// rateGrant is the keeper's grant of one request to a bounded upstream.
type rateGrant struct {
	upstream string
	at       time.Time
}

// rateAsks is what a request asked of the keepers of bounded upstreams.
type rateAsks struct {
	// coldStart is for how long upstreams of the service are cold after a start, and coldPerSecond what they bear; 0 sets no bound.
	coldStart     time.Duration
	coldPerSecond float64
	// asked counts the asks, and grant is the latest that was granted.
	asked int
	grant rateGrant
}

// rateBound returns what bounds the requests of all boxes to an upstream, and until when this request must not go there; zero, and it may
// ask.
func (r *inflight) rateBound(upstream string, now time.Time) (bound fleet.RateBound, until time.Time) {
	bound = r.gateway.Directory.RateBound(upstream, r.rate.coldStart)
	bound.Cold = bound.Cold && r.rate.coldPerSecond > 0
	switch {
	case !bound.Any():
		return bound, time.Time{}
	case bound.HeldUntil.After(now):
		return bound, bound.HeldUntil
	case r.rate.asked >= maxRateAsks:
		return bound, now.Add(directoryPoll)
	}
	return bound, time.Time{}
}

// permitted reports whether the request may go to the chosen upstream: one that is cold, or names a limit, gets no more requests than it
// takes over all boxes, and its keeper is asked for each. One that is not granted is left out until the keeper may be asked again.
func (r *inflight) permitted(ctx context.Context, choice dispatch.Choice) bool {
	id := choice.Upstream.ID
	bound, _ := r.rateBound(id, time.Now())
	if !bound.Any() {
		return true
	}
	ask := dispatch.RateAsk{Engine: id}
	if bound.Cold {
		ask.ColdPerSecond = r.rate.coldPerSecond
	}
	r.rate.asked++
	grant, err := r.gateway.AskRate(ctx, ask)
	now := time.Now()
	if err != nil {
		grant = dispatch.RateGrant{Wait: keeperRetry} // Whoever asks the keeper logs when it loses and regains it.
	}
	r.gateway.countBounded(bound, grant.Granted)
	if !grant.Granted {
		r.gateway.Directory.HoldBack(id, now.Add(grant.Wait))
		return false
	}
	r.rate.grant = rateGrant{upstream: id, at: now}
	return true
}

// takeGrant reports whether the request may be sent to an upstream at this moment, and uses its grant if that is bounded. It may have come
// to be since it was chosen.
func (r *inflight) takeGrant(upstream string) bool {
	now := time.Now()
	granted := r.rate.grant
	r.rate.grant = rateGrant{}
	if granted.upstream == upstream && now.Sub(granted.at) < dispatch.RateGrantLife {
		return true
	}
	bound, _ := r.rateBound(upstream, now)
	return !bound.Any()
}

// countBounded counts an ask for a request to a bounded upstream.
func (g *Gateway) countBounded(bound fleet.RateBound, granted bool) {
	kind := "limited"
	if bound.Cold {
		kind = "cold"
	}
	g.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_%s_requests_total{granted=%q}", kind, fmt.Sprint(granted))).Inc()
}
