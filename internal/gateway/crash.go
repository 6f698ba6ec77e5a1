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

// This file determines whether an upstream crashed under a request. A broken answer alone does not show that:
// connections are reset, halls are cut off and answers are corrupted while the upstream is alive. It counts as
// crashed if its address refuses connections right afterwards.

const (
	// crashCheckTimeout limits one check of an upstream. A host whose process is gone refuses a connection within
	// one round trip; the limit is thirty round trips between halls. A host that stays silent, as behind a network
	// partition, does not show whether the upstream crashed.
	crashCheckTimeout = 100 * time.Millisecond
	// otherBoxTimeout is the part of crashCheckTimeout for another box's result. The rest is left to try another upstream
	// if that box is frozen.
	otherBoxTimeout = crashCheckTimeout / 2
	// crashCheckTTL is how long the result of a check is valid. All answers of an upstream that crashes break
	// within some milliseconds, and its process needs seconds to restart.
	crashCheckTTL = 500 * time.Millisecond
)

// crashChecks checks upstreams whose answers broke off, once for all requests that broke at the same time. It is
// safe for concurrent use.
type crashChecks struct {
	mu     sync.Mutex
	latest map[string]*crashCheck
}

// crashCheck is one check of an upstream.
type crashCheck struct {
	begun time.Time
	// done is closed once crashed is set.
	done    chan struct{}
	crashed bool
}

// begin returns the latest check of an upstream. If isNew is set, the caller must run the check.
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

// hasCrashed reports whether an upstream whose answer just broke off has crashed, and when its check began. It
// returns false without a check if ctx has ended.
func (g *Gateway) hasCrashed(ctx context.Context, upstream fleet.Upstream) (at time.Time, crashed bool) {
	if g.Upstreams.RefusesConnection == nil || ctx.Err() != nil {
		return time.Time{}, false
	}
	check, isNew := g.crashChecks.begin(upstream.ID, time.Now())
	if isNew {
		g.runCrashCheck(ctx, upstream, check)
	}
	select {
	case <-check.done:
		return check.begun, check.crashed
	case <-ctx.Done():
		return time.Time{}, false
	}
}

// runCrashCheck runs a new check of an upstream. The check outlasts the request that began it, since other
// requests wait for its result.
func (g *Gateway) runCrashCheck(ctx context.Context, upstream fleet.Upstream, check *crashCheck) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	check.crashed = g.refusesConnections(bounded, upstream)
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

// refusesConnections reports whether an upstream refuses connections, to another box as well. If none can be asked, this
// box's own result counts unless other upstreams refuse it too: a box that is cut off by resets is refused everywhere.
func (g *Gateway) refusesConnections(ctx context.Context, upstream fleet.Upstream) bool {
	if !g.Links.Lost() && !g.Upstreams.RefusesConnection(ctx, upstream) {
		return false
	}
	if g.Tunnels.Check == nil {
		return true
	}
	asking, cancel := context.WithTimeout(ctx, otherBoxTimeout)
	defer cancel()
	accepts, err := g.Tunnels.Check(asking, upstream.ID)
	if err != nil {
		// The error is not logged: this box's own result decides, if there is one.
		reaches, known := g.reachesOther(ctx, upstream.ID)
		return reaches || !known && !g.Links.Lost()
	}
	return !accepts
}

// crashHistory holds what this box knows about upstreams that crashed under a request in flight.
type crashHistory struct {
	// fingerprint identifies the request by its content; nil until it is needed.
	fingerprint *quarantine.Fingerprint
	// verdict is the latest verdict on the request.
	verdict quarantine.Verdict
}

// recordBroken records an attempt whose answer broke off. If the caller left or the deadline passed meanwhile, the
// upstream is not checked for a crash.
func (r *inflight) recordBroken(ctx context.Context, choice dispatch.Choice, status int, took time.Duration, err error) {
	if ctx.Err() == nil && !r.attempts.tunnelled {
		r.gateway.Reach.RecordFailure(choice.Upstream.Hall, choice.Upstream.ID)
		r.gateway.Links.RecordFailure(choice.Upstream.ID)
	}
	r.recordFailed(choice.Upstream.ID)
	var found []zap.Field
	if at, crashed := r.gateway.hasCrashed(ctx, *choice.Upstream.Upstream); crashed {
		r.gateway.Quarantine.NoteCrash(r.fingerprint(), choice.Upstream.ID, at)
		r.recordPartCrash(choice.Upstream.ID, at)
		r.gateway.Metrics.GetOrCreateCounter("ospreymoor_requests_crashed_under_total").Inc()
		found = []zap.Field{zap.Bool("crashed", true), zap.Stringer("content", r.fingerprint()), r.partsField(), r.writingField()}
	}
	r.logAttempt(choice, status, took, err, found...)
}

// quarantined returns the refusal of a request that is held by quarantine because several upstreams in a row
// crashed under it, or nil if the request may be sent. It is called before each attempt and after each wait, since
// all boxes report crashes meanwhile. Nothing else is tried for such a request: it would crash one more upstream,
// with the 10 to 20 other requests that run there. On one day, 37 upstreams were lost in this way.
func (r *inflight) quarantined() *refusal {
	if refused := r.partQuarantined(); refused != nil {
		return refused
	}
	if r.gateway.Quarantine.Empty() {
		return nil
	}
	r.crashHistory.verdict = r.gateway.Quarantine.Verdict(r.fingerprint())
	if !r.crashHistory.verdict.Held {
		return nil
	}
	return r.refusalFor(reasonCrashes, r.crashHistory.verdict.RetryAfter)
}

// noteAnswered records that an upstream answered the request completely, whatever the status. The request then
// does not count as crashing upstreams.
func (r *inflight) noteAnswered() {
	if !r.gateway.Quarantine.Empty() {
		r.gateway.Quarantine.NoteAnswered(r.fingerprint())
	}
}

// fingerprint returns the request's fingerprint, which identifies it by its content.
func (r *inflight) fingerprint() quarantine.Fingerprint {
	if r.crashHistory.fingerprint == nil {
		content := quarantine.Content{
			Customer: r.customerName(), Method: r.request.Method, Host: r.request.Host, URI: r.request.URI, Body: r.request.Body,
		}
		fingerprint := content.Fingerprint()
		r.crashHistory.fingerprint = &fingerprint
	}
	return *r.crashHistory.fingerprint
}

// quarantineField returns the log field with what this box last knew about the request's crashes; nothing if there
// were none.
func (r *inflight) quarantineField() zap.Field {
	if r.crashHistory.verdict.Crashes == 0 {
		return zap.Skip()
	}
	return zap.Inline(r.crashHistory)
}

// MarshalLogObject writes the request's fingerprint, the upstreams that crashed under it, and how old that
// knowledge is.
func (h crashHistory) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("content", h.fingerprint.String())
	encoder.AddBool("held", h.verdict.Held)
	encoder.AddInt("crashes", h.verdict.Crashes)
	zap.Strings("crashedUpstreams", h.verdict.Upstreams).AddTo(encoder)
	encoder.AddDuration("crashAge", h.verdict.Age)
	encoder.AddDuration("knownFor", h.verdict.KnownFor)
	encoder.AddString("source", string(h.verdict.Source))
	return nil
}
