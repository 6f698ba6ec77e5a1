package gateway

import (
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// noteAgainst counts and logs a sending to an upstream whose answers told this box that it leaves, wants rest or takes few requests.
func (r *inflight) noteAgainst(choice dispatch.Choice) {
	against := r.gateway.Directory.Against(choice.Upstream.ID)
	if against.Limit.Named() {
		r.noteLimited(choice, against.Limit)
	}
	if !against.Any() {
		return
	}
	r.gateway.Metrics.GetOrCreateCounter("ospreymoor_sent_against_notice_total").Inc()
	r.gateway.Log.Info("sent against notice",
		zap.String("id", r.request.ID),
		zap.String("backend", choice.Upstream.ID),
		zap.Int("sending", r.attempts.sent),
		zap.Duration("leavingFor", against.LeavingFor),
		zap.Duration("restLeft", against.RestLeft),
		zap.Int64("listRevision", choice.Upstream.Revision))
}

// noteLimited counts and logs a sending to an upstream that names a limit: the lines of all boxes together show whether it holds.
func (r *inflight) noteLimited(choice dispatch.Choice, limit fleet.Limit) {
	r.gateway.Metrics.GetOrCreateCounter("ospreymoor_sent_to_limited_total").Inc()
	r.gateway.Log.Info("sent to limited upstream",
		zap.String("id", r.request.ID),
		zap.String("backend", choice.Upstream.ID),
		zap.Int("sending", r.attempts.sent),
		zap.Float64("limit", limit.PerSecond),
		zap.Duration("limitAge", time.Since(limit.At)))
}
