package gateway

import (
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

// logSentAgainstNotice counts and logs a request that is sent although answers of its upstream gave notice that it
// leaves, wants a backoff or limits its requests.
func (r *inflight) logSentAgainstNotice(choice dispatch.Choice) {
	restrictions := r.gateway.Directory.Restrictions(choice.Upstream.ID)
	if restrictions.Limit.Named() {
		r.logSentToLimited(choice, restrictions.Limit)
	}
	if !restrictions.Any() {
		return
	}
	r.gateway.Metrics.GetOrCreateCounter("ospreymoor_sent_against_notice_total").Inc()
	r.gateway.Log.Info("sent against notice",
		zap.String("id", r.request.ID),
		zap.String("backend", choice.Upstream.ID),
		zap.Int("sending", r.attempts.sent),
		zap.Duration("leavingFor", restrictions.LeavingFor),
		zap.Duration("restLeft", restrictions.BackoffLeft),
		zap.Int64("listRevision", kv.SequenceOf(choice.Upstream.Revision)))
}

// logSentToLimited counts and logs a request that is sent to an upstream that names a rate limit. The lines of
// all boxes together show whether the limit is kept.
func (r *inflight) logSentToLimited(choice dispatch.Choice, limit fleet.Limit) {
	r.gateway.Metrics.GetOrCreateCounter("ospreymoor_sent_to_limited_total").Inc()
	r.gateway.Log.Info("sent to limited upstream",
		zap.String("id", r.request.ID),
		zap.String("backend", choice.Upstream.ID),
		zap.Int("sending", r.attempts.sent),
		zap.Float64("limit", limit.PerSecond),
		zap.Float64("rejections", limit.Rejections),
		zap.Duration("limitAge", time.Since(limit.At)))
}
