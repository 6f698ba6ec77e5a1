package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/eventstream"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/logfield"
)

// refuse ends a request in flight with a final answer of the gateway itself.
func (r *inflight) refuse(w http.ResponseWriter, refused *refusal) {
	r.setReturn(refused)
	r.gateway.countRefusal(refused)
	r.logEnd(refused.status, refused.reason, nil, zap.Duration("retryAfter", refused.retryAfter))
	if refused.reason != reasonCallerLeft {
		refused.write(w)
	}
}

// refuseUnserved refuses a request that has no route, no customer or no route table to look them up in. route is
// the name of its route; empty if it has none.
func (g *Gateway) refuseUnserved(w http.ResponseWriter, request *Request, route string, refused *refusal) {
	g.countRefusal(refused)
	g.Log.Info("request ended",
		zap.String("id", request.ID),
		zap.Int("status", refused.status),
		zap.String("reason", string(refused.reason)),
		zap.String("route", route),
		zap.String("host", request.Host),
		zap.String("path", request.Path),
		zap.Int64("configVersion", g.tableVersion()),
		zap.Duration("listAge", g.listAge()),
		zap.Int64("listRevision", kv.SequenceOf(g.Directory.Revision())))
	refused.write(w)
}

// countTooLong counts an answer of which a part was longer than this box reads.
func (g *Gateway) countTooLong(part string) {
	g.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_answers_too_long_total{part=%q}", part)).Inc()
}

func (g *Gateway) countRefusal(refused *refusal) {
	g.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_refusals_total{reason=%q}", refused.reason)).Inc()
}

// logAttempt counts and logs an attempt without a good answer. took is the time to the head of the answer or to
// the error. For a stream that broke off it is measured from the arrival of the request, and for a plain answer
// that broke off it is 0.
func (r *inflight) logAttempt(choice dispatch.Choice, status int, took time.Duration, err error, more ...zap.Field) {
	r.gateway.Metrics.GetOrCreateCounter("ospreymoor_attempts_failed_total").Inc()
	switch {
	case errors.Is(err, ErrHeadTooLong):
		r.gateway.countTooLong("head")
	case errors.Is(err, eventstream.ErrTooLong):
		r.gateway.countTooLong("event")
	}
	load := r.gateway.Loads.Total(choice.Upstream.ID)
	r.gateway.Log.Info("attempt failed", append(more,
		zap.String("id", r.request.ID),
		zap.String("backend", choice.Upstream.ID),
		zap.String("version", choice.Upstream.SoftwareVersion),
		zap.Int("sending", r.attempts.sent),
		zap.Int("status", status),
		zap.Duration("took", took),
		zap.Duration("predicted", choice.Wait),
		zap.Int("uncached", choice.Uncached),
		zap.Int("running", load.Running),
		zap.Ints("prefill", load.Prefill[:]),
		zap.Int64("listRevision", kv.SequenceOf(choice.Upstream.Revision)),
		zap.Duration("listAge", time.Since(choice.Upstream.ListedAt)),
		logfield.Error(err))...)
}

// logEnd counts and logs how a request ended. It is called once per request. The line has the latest choice of an
// upstream, even if admission refused it. cause is empty for the answer of an upstream; err is set if the answer
// was broken off.
func (r *inflight) logEnd(status int, cause reason, err error, more ...zap.Field) {
	took := time.Since(r.request.Arrived)
	first := took
	if !r.timing.firstByte.IsZero() {
		first = r.timing.firstByte.Sub(r.request.Arrived)
	}
	r.countEnd(status, first, took)
	g := r.gateway
	g.Log.Info("request ended", append(more,
		zap.String("id", r.request.ID),
		zap.String("route", r.route.Name),
		zap.String("service", r.service),
		zap.String("customer", r.customerName()),
		zap.Object("quota", quotaField(r.quota)),
		r.quarantineField(),
		r.partsField(),
		r.partVerdictField(),
		r.placeField(),
		r.originField(),
		r.sendingField(),
		zap.String("model", r.need.Model),
		zap.String("adapter", r.need.Adapter),
		zap.String("backend", r.attempts.latestUpstream()),
		zap.Strings("versions", r.attempts.eventVersions),
		zap.Strings("resumes", r.request.loggedResumes()),
		zap.String("resumesAfter", r.request.LastEventID),
		zap.Int("sendings", r.attempts.sent),
		zap.Int("tries", r.attempts.mayHaveRun),
		zap.Int("status", status),
		zap.String("reason", string(cause)),
		zap.Duration("first", first),
		zap.Duration("target", r.route.Target),
		zap.Duration("gap", r.timing.longestGap),
		zap.Duration("gapTarget", r.route.GapTarget),
		zap.Duration("predicted", r.lastChoice.Wait),
		zap.Int("uncached", r.lastChoice.Uncached),
		zap.Int("running", r.lastChoice.Load.Running),
		zap.Ints("prefill", r.lastChoice.Load.Prefill[:]),
		zap.Int("memory", r.lastChoice.Load.Tokens),
		zap.Object("choice", choiceField{r}),
		zap.Duration("took", took),
		zap.Int64("configVersion", g.tableVersion()),
		zap.Int64("listRevision", kv.SequenceOf(g.Directory.Revision())),
		logfield.Error(err))...)
}

// countEnd counts a request by status and records the times to its first answer and to its end.
func (r *inflight) countEnd(status int, first, took time.Duration) {
	set, route := r.gateway.Metrics, r.route.Name
	set.GetOrCreateCounter(fmt.Sprintf("ospreymoor_requests_total{route=%q,status=%q}", route, fmt.Sprint(status))).Inc()
	set.GetOrCreateHistogram(fmt.Sprintf("ospreymoor_first_answer_seconds{route=%q}", route)).Update(first.Seconds())
	set.GetOrCreateHistogram(fmt.Sprintf("ospreymoor_request_seconds{route=%q}", route)).Update(took.Seconds())
}

// tableVersion returns the version of the route table in force; 0 if there is none.
func (g *Gateway) tableVersion() int64 {
	if table := g.table.Load(); table != nil {
		return table.Version
	}
	return 0
}
