package gateway

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

const (
	// maxRateAsks is the number of rate grants that one request asks for. After that it goes only to upstreams
	// without a rate bound. Each ask costs a call.
	maxRateAsks = 2
	// keeperRetryInterval is the time after which a keeper that did not answer is asked again.
	keeperRetryInterval = time.Second
)

// rateGrant is a keeper's permission to send one request to a rate-bounded upstream. The keeper of an upstream is
// the box that counts the requests to it for all boxes.
type rateGrant struct {
	upstream string
	at       time.Time
}

// rateState holds the service's limit for cold engines and the rate grants that a request has asked for.
type rateState struct {
	// coldStart is how long upstreams of the service are cold after a start, and coldPerSecond how many requests
	// per second they can handle then; if coldPerSecond is 0, cold upstreams have no bound.
	coldStart     time.Duration
	coldPerSecond float64
	// asked counts the grants asked for, and grant is the latest one granted.
	asked int
	grant rateGrant
}

// rateBound returns the bound on the requests of all boxes to an upstream, and until when this request must not be
// sent there. If until is zero, the request may be sent there: with a grant if there is a bound.
func (r *inflight) rateBound(upstream string, now time.Time) (bound fleet.RateBound, until time.Time) {
	bound = r.gateway.Directory.RateBound(upstream, r.rate.coldStart)
	bound.Cold = bound.Cold && r.rate.coldPerSecond > 0
	switch {
	case !bound.Any():
		return bound, time.Time{}
	case bound.DeferredUntil.After(now):
		return bound, bound.DeferredUntil
	case r.rate.asked >= maxRateAsks:
		return bound, now.Add(directoryPoll)
	}
	return bound, time.Time{}
}

// acquireRateGrant reports whether the request may go to the chosen upstream. An upstream that is cold or
// names a rate limit gets no more requests from all boxes together than it accepts, so its keeper is asked for
// a grant for each request. An upstream without a grant is left out until the keeper may be asked again.
func (r *inflight) acquireRateGrant(ctx context.Context, choice dispatch.Choice) bool {
	id := choice.Upstream.ID
	bound, _ := r.rateBound(id, time.Now())
	if !bound.Any() {
		return true
	}
	ask := dispatch.RateRequest{Engine: id}
	if bound.Cold {
		ask.ColdPerSecond = r.rate.coldPerSecond
	}
	r.rate.asked++
	grant, err := r.gateway.AskRate(ctx, ask)
	now := time.Now()
	if err != nil {
		grant = dispatch.RateGrant{Wait: keeperRetryInterval} // The caller of the keeper logs when it loses and regains it.
	}
	r.gateway.countRateAsk(bound, grant.Granted)
	if !grant.Granted {
		r.gateway.Directory.DeferUntil(id, now.Add(grant.Wait))
		return false
	}
	r.rate.grant = rateGrant{upstream: id, at: now}
	return true
}

// useRateGrant reports whether the request may be sent to an upstream right now, and uses up its grant. It checks
// the bound again, since the upstream may have become rate-bounded after it was chosen.
func (r *inflight) useRateGrant(upstream string) bool {
	now := time.Now()
	granted := r.rate.grant
	r.rate.grant = rateGrant{}
	if granted.upstream == upstream && now.Sub(granted.at) < dispatch.RateGrantTTL {
		return true
	}
	bound, _ := r.rateBound(upstream, now)
	return !bound.Any()
}

// reportRejection reports to the keeper of an upstream that states how many requests it can reject that it rejected one.
// The report outlasts the request, whose next attempt does not wait for it.
func (r *inflight) reportRejection(ctx context.Context, choice dispatch.Choice, status int) {
	g, id := r.gateway, choice.Upstream.ID
	limit := g.Directory.Limit(id)
	if g.ReportRejection == nil || status != http.StatusServiceUnavailable || !limit.Named() || math.IsInf(limit.Rejections, 1) {
		return
	}
	g.Metrics.GetOrCreateCounter("ospreymoor_brittle_rejections_total").Inc()
	go g.ReportRejection(context.WithoutCancel(ctx), id)
}

// countRateAsk counts a request for a rate grant.
func (g *Gateway) countRateAsk(bound fleet.RateBound, granted bool) {
	kind := "limited"
	if bound.Cold {
		kind = "cold"
	}
	g.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_%s_requests_total{granted=%q}", kind, fmt.Sprint(granted))).Inc()
}
