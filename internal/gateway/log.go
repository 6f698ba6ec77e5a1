package gateway

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/logfield"
)

// refuse gives a final answer of our own.
func (g *Gateway) refuse(w http.ResponseWriter, request *Request, r *inflight, refused *refusal) {
	g.Set.GetOrCreateCounter(fmt.Sprintf("ospreymoor_refusals_total{reason=%q}", refused.reason)).Inc()
	if r != nil {
		r.logEnd(refused.status, refused.reason, nil)
	} else {
		g.Log.Info("request over",
			zap.String("id", request.ID),
			zap.Int("status", refused.status),
			zap.String("reason", string(refused.reason)),
			zap.String("host", request.Host),
			zap.String("path", request.Path),
			zap.Int64("configVersion", g.tableVersion()))
	}
	if refused.reason != reasonCallerLeft {
		refused.write(w)
	}
}

// logAttempt tells of a sending that brought no good answer.
func (r *inflight) logAttempt(choice dispatch.Choice, status int, took time.Duration, err error) {
	r.gateway.Set.GetOrCreateCounter("ospreymoor_attempts_failed_total").Inc()
	load := r.gateway.Loads.Total(choice.Upstream.ID)
	r.gateway.Log.Info("attempt failed",
		zap.String("id", r.request.ID),
		zap.String("backend", choice.Upstream.ID),
		zap.Int("sending", r.attempts.sent),
		zap.Int("status", status),
		zap.Duration("took", took),
		zap.Duration("predicted", choice.Wait),
		zap.Int("uncached", choice.Uncached),
		zap.Int("running", load.Running),
		zap.Ints("prefill", load.Prefill[:]),
		zap.Int64("listRevision", choice.Upstream.Revision),
		zap.Duration("listAge", time.Since(choice.Upstream.ListedAt)),
		logfield.Error(err))
}

// logEnd tells how a request ended.
func (r *inflight) logEnd(status int, why reason, err error) {
	took := time.Since(r.request.Arrived)
	first := took
	if !r.timing.firstByte.IsZero() {
		first = r.timing.firstByte.Sub(r.request.Arrived)
	}
	g := r.gateway
	g.Set.GetOrCreateCounter(fmt.Sprintf("ospreymoor_requests_total{route=%q,status=%q}", r.route.Name, fmt.Sprint(status))).Inc()
	g.Set.GetOrCreateHistogram(fmt.Sprintf("ospreymoor_first_answer_seconds{route=%q}", r.route.Name)).Update(first.Seconds())
	g.Set.GetOrCreateHistogram(fmt.Sprintf("ospreymoor_request_seconds{route=%q}", r.route.Name)).Update(took.Seconds())
	g.Log.Info("request over",
		zap.String("id", r.request.ID),
		zap.String("route", r.route.Name),
		zap.String("service", r.service),
		zap.String("model", r.need.Model),
		zap.String("adapter", r.need.Adapter),
		zap.String("backend", r.attempts.latestUpstream()),
		zap.Int("sendings", r.attempts.sent),
		zap.Int("tries", r.attempts.mayHaveRun),
		zap.Int("status", status),
		zap.String("reason", string(why)),
		zap.Duration("first", first),
		zap.Duration("gap", r.timing.longestGap),
		zap.Duration("predicted", r.attempts.latest.Wait),
		zap.Int("uncached", r.attempts.latest.Uncached),
		zap.Int("running", r.attempts.latest.Load.Running),
		zap.Ints("prefill", r.attempts.latest.Load.Prefill[:]),
		zap.Int("memory", r.attempts.latest.Load.Tokens),
		zap.Duration("took", took),
		zap.Int64("configVersion", g.tableVersion()),
		zap.Int64("listRevision", g.Directory.Revision()),
		logfield.Error(err))
}

func (g *Gateway) tableVersion() int64 {
	if table := g.table.Load(); table != nil {
		return table.Version
	}
	return 0
}
