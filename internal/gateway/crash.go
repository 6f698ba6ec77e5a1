package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// This file finds out whether an upstream crashed under a request. A broken answer alone does not tell: connections are reset,
// halls cut off and answers spoiled while the upstream lives. It crashed if its address refuses connections just after.

const (
	// crashCheckTimeout bounds one look at an upstream: its host refuses a connection within one round trip. A host that is
	// silent, as behind a cut, does not show whether the upstream crashed. Thirty round trips between halls.
	crashCheckTimeout = 100 * time.Millisecond
	// crashCheckTTL is for how long what was found counts: all answers of an upstream that crashes break within some
	// milliseconds, and its process needs seconds to come back.
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

// crashed reports whether an upstream whose answer just broke has crashed, and when it was looked at first. Nobody looks for a
// request whose ctx has ended.
func (g *Gateway) crashed(ctx context.Context, upstream fleet.Upstream) (at time.Time, crashed bool) {
	if g.Upstreams.Refuses == nil || ctx.Err() != nil {
		return time.Time{}, false
	}
	check, isNew := g.crashChecks.begin(upstream.ID, time.Now())
	if isNew {
		g.look(ctx, upstream, check)
	}
	select {
	case <-check.done:
		return check.begun, check.crashed
	case <-ctx.Done():
		return time.Time{}, false
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

// knownCrashes is what a box knows of upstreams that crashed under a request under way.
type knownCrashes struct {
	// content names the request by what it asks; nil until that is needed.
	content *quarantine.Fingerprint
	// verdict is the latest on it.
	verdict quarantine.Verdict
}

// broke records an attempt whose answer broke off. Where its caller left or its time was over meanwhile, that shows nothing of
// the upstream's end.
func (r *inflight) broke(ctx context.Context, choice dispatch.Choice, status int, took time.Duration, err error) {
	r.gateway.Loads.RecordOutcome(choice.Upstream.ID, false)
	var found []zap.Field
	if at, crashed := r.gateway.crashed(ctx, *choice.Upstream.Upstream); crashed {
		r.gateway.Quarantine.NoteCrash(r.fingerprint(), choice.Upstream.ID, at)
		r.gateway.Metrics.GetOrCreateCounter("ospreymoor_requests_crashed_under_total").Inc()
		found = []zap.Field{zap.Bool("crashed", true), zap.Stringer("content", r.fingerprint())}
	}
	r.logAttempt(choice, status, took, err, found...)
}

// held returns the refusal of a request under which upstreams crash, one after the other; nil if it may be sent. It is asked ahead
// of each attempt and after each wait, since all boxes tell of crashes meanwhile. Nothing else is done for the request: it would
// take one more upstream along with all that runs there, 10 to 20 other requests each time on a day on which 37 went so.
func (r *inflight) held() *refusal {
	if r.gateway.Quarantine.Empty() {
		return nil
	}
	r.known.verdict = r.gateway.Quarantine.Verdict(r.fingerprint())
	if !r.known.verdict.Held {
		return nil
	}
	return r.unserved(reasonCrashes, r.known.verdict.RetryAfter)
}

// answered notes that an upstream answered the request whole, whatever the status, so that it does not crash under it.
func (r *inflight) answered() {
	if !r.gateway.Quarantine.Empty() {
		r.gateway.Quarantine.NoteAnswered(r.fingerprint())
	}
}

// fingerprint names the request by its content.
func (r *inflight) fingerprint() quarantine.Fingerprint {
	if r.known.content == nil {
		asked := quarantine.Content{
			Customer: r.customerName(), Method: r.request.Method, Host: r.request.Host, URI: r.request.URI, Body: r.request.Body,
		}
		content := asked.Fingerprint()
		r.known.content = &content
	}
	return *r.known.content
}

// quarantineField is what this box knew of the request's crashes when it last asked; nothing if there were none.
func (r *inflight) quarantineField() zap.Field {
	if r.known.verdict.Crashes == 0 {
		return zap.Skip()
	}
	return zap.Inline(r.known)
}

// MarshalLogObject writes the request's content, under which upstreams it crashed, and how old that knowledge was.
func (k knownCrashes) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("content", k.content.String())
	encoder.AddBool("held", k.verdict.Held)
	encoder.AddInt("crashes", k.verdict.Crashes)
	zap.Strings("crashedUpstreams", k.verdict.Upstreams).AddTo(encoder)
	encoder.AddDuration("crashAge", k.verdict.Age)
	encoder.AddDuration("knownFor", k.verdict.KnownFor)
	encoder.AddString("source", string(k.verdict.Source))
	return nil
}
