package gateway

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

const (
	// maxColdAsks is how many keepers of cold engines one request asks; then it goes to warm ones alone. Each costs a call.
	maxColdAsks = 2
	// coldRetry is after how long a keeper that gave no answer is asked again.
	coldRetry = time.Second
)

// coldGrant is the keeper's grant of one request to a cold engine.
type coldGrant struct {
	engine string
	at     time.Time
}

// coldAsks is what a request asked of the keepers of cold engines.
type coldAsks struct {
	// start is for how long upstreams of the service are cold after a start, and perSecond what they bear; 0 sets no bound.
	start     time.Duration
	perSecond float64
	// asked counts the asks, and grant is the latest that was granted.
	asked int
	grant coldGrant
}

// isCold reports whether an upstream is cold, and until when this request must not go there; zero, and it may ask.
func (r *inflight) isCold(upstream string, now time.Time) (cold bool, until time.Time) {
	if r.cold.perSecond <= 0 {
		return false, time.Time{}
	}
	known := r.gateway.Directory.Coldness(upstream, r.cold.start)
	switch {
	case !known.Cold:
		return false, time.Time{}
	case known.HeldUntil.After(now):
		return true, known.HeldUntil
	case r.cold.asked >= maxColdAsks:
		return true, now.Add(directoryPoll)
	}
	return true, time.Time{}
}

// permitted reports whether the request may go to the chosen upstream: one that is cold gets no more requests than it bears over all
// boxes, and its keeper is asked for each. One that is not granted is left out until the keeper may be asked again.
func (r *inflight) permitted(ctx context.Context, choice dispatch.Choice) bool {
	id := choice.Upstream.ID
	if cold, _ := r.isCold(id, time.Now()); !cold {
		return true
	}
	r.cold.asked++
	grant, err := r.gateway.AskCold(ctx, dispatch.ColdAsk{Engine: id, PerSecond: r.cold.perSecond})
	now := time.Now()
	if err != nil {
		grant = dispatch.ColdGrant{Wait: coldRetry} // Whoever asks the keeper logs when it loses and regains it.
	}
	r.gateway.countCold(grant.Granted)
	if !grant.Granted {
		r.gateway.Directory.HoldCold(id, now.Add(grant.Wait))
		return false
	}
	r.cold.grant = coldGrant{engine: id, at: now}
	return true
}

// takeGrant reports whether the request may be sent to an upstream at this moment, and uses its grant if that is cold. It may have turned
// cold since it was chosen.
func (r *inflight) takeGrant(upstream string) bool {
	now := time.Now()
	granted := r.cold.grant
	r.cold.grant = coldGrant{}
	if granted.engine == upstream && now.Sub(granted.at) < dispatch.ColdGrantLife {
		return true
	}
	cold, _ := r.isCold(upstream, now)
	return !cold
}

// countCold counts an ask for a request to a cold engine.
func (g *Gateway) countCold(granted bool) {
	name := `ospreymoor_cold_requests_total{granted="false"}`
	if granted {
		name = `ospreymoor_cold_requests_total{granted="true"}`
	}
	g.Metrics.GetOrCreateCounter(name).Inc()
}
