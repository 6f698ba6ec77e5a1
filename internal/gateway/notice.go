package gateway

import (
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// noteAgainst counts and logs a sending to an upstream whose answers told this box that it leaves, or wants rest.
func (r *inflight) noteAgainst(choice dispatch.Choice) {
	against := r.gateway.Directory.Against(choice.Upstream.ID)
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
