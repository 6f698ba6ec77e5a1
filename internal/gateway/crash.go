package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// This file finds out whether an upstream crashed under a request. A broken answer alone does not tell: connections are reset,
// halls cut off and answers spoiled while the upstream lives. It crashed if its address refuses connections just after.

const (
	// crashCheckTimeout bounds one look at an upstream: its host refuses a connection within one round trip. A host that is
	// silent, as behind a cut, does not show whether the upstream crashed. Chosen, not measured: thirty round trips between
	// halls.
	crashCheckTimeout = 100 * time.Millisecond
	// crashCheckTTL is for how long what was found counts: all answers of an upstream that crashes break within 3 ms
	// (measured on a day in which 24 did), and its process needs seconds to come back. Chosen, not measured.
	crashCheckTTL = 500 * time.Millisecond
)

// crashChecks looks at upstreams whose answers broke, once for all requests that broke together. It is safe for
// concurrent use.
type crashChecks struct {
	mu     sync.Mutex
	latest map[string]*crashCheck
}

// crashCheck is one look at an upstream.
type crashCheck struct {
	begun time.Time
	// done is closed once crashed is known.
	done    chan struct{}
	crashed bool
}

// begin returns the latest look at an upstream, and whether it is a new one, which the caller must end.
func (c *crashChecks) begin(upstream string, now time.Time) (check *crashCheck, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, old := range c.latest {
		if now.Sub(old.begun) >= crashCheckTTL {
			delete(c.latest, id)
		}
	}
	if check := c.latest[upstream]; check != nil {
		return check, false
	}
	if c.latest == nil {
		c.latest = map[string]*crashCheck{}
	}
	check = &crashCheck{begun: now, done: make(chan struct{})}
	c.latest[upstream] = check
	return check, true
}

// crashed reports whether an upstream whose answer just broke has crashed.
func (g *Gateway) crashed(ctx context.Context, upstream fleet.Upstream) bool {
	if g.Upstreams.Refuses == nil {
		return false
	}
	check, isNew := g.crashChecks.begin(upstream.ID, time.Now())
	if isNew {
		g.look(ctx, upstream, check)
	}
	select {
	case <-check.done:
		return check.crashed
	case <-ctx.Done():
		return false
	}
}

// look ends a new look at an upstream. It outlasts the request that began it, since others wait for it.
func (g *Gateway) look(ctx context.Context, upstream fleet.Upstream, check *crashCheck) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	check.crashed = g.Upstreams.Refuses(bounded, upstream)
	close(check.done)
	if check.crashed {
		g.Metrics.GetOrCreateCounter("ospreymoor_upstream_crashes_total").Inc()
		g.Log.Info("upstream crashed",
			zap.String("backend", upstream.ID),
			zap.String("service", upstream.Service),
			zap.String("address", upstream.Address),
			zap.Int("running", g.Loads.Total(upstream.ID).Running))
	}
}

// broke records an attempt whose answer broke off while its caller waited.
func (r *inflight) broke(ctx context.Context, choice dispatch.Choice, status int, took time.Duration, err error) {
	r.gateway.Loads.RecordOutcome(choice.Upstream.ID, false)
	crashed := ctx.Err() == nil && r.gateway.crashed(ctx, choice.Upstream.Upstream)
	if !crashed {
		r.logAttempt(choice, status, took, err)
		return
	}
	r.gateway.Metrics.GetOrCreateCounter("ospreymoor_requests_crashed_under_total").Inc()
	r.logAttempt(choice, status, took, err, zap.Bool("crashed", true), zap.Stringer("content", r.fingerprint()))
}

// fingerprint names the request by its content.
func (r *inflight) fingerprint() quarantine.Fingerprint {
	if r.content == nil {
		asked := quarantine.Content{
			Customer: r.customerName(), Method: r.request.Method, Host: r.request.Host, URI: r.request.URI, Body: r.request.Body,
		}
		content := asked.Fingerprint()
		r.content = &content
	}
	return *r.content
}
