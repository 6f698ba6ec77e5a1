package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap/zapcore"
)

// reservationResult says how the engine's time for a request's prompt was reserved.
type reservationResult string

const (
	// reservationNone is that of a prompt that is too short, and of a request without a gap target.
	reservationNone    reservationResult = "none"
	reservationGranted reservationResult = "granted"
	// reservationUnasked means that no keeper answered, or that boxes exchange loads directly.
	reservationUnasked reservationResult = "unasked"
	// reservationOver means that no engine had time left and the request could not wait any longer.
	reservationOver reservationResult = "over"
)

// choiceField is the log field with the inputs of the choice of an engine.
type choiceField struct{ *inflight }

// MarshalLogObject writes nothing for a request that was not sent to an engine.
func (f choiceField) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	if f.need.Model == "" || f.attempts.sent == 0 {
		return nil
	}
	encoder.AddString("reservation", string(f.reservation))
	encoder.AddDuration("sent", f.sentAt.Sub(f.request.Arrived))
	encoder.AddDuration("reading", f.lastChoice.PrefillTime())
	encoder.AddDuration("delay", f.delay)
	encoder.AddDuration("pause", f.lastChoice.Pause)
	encoder.AddFloat64("factor", f.lastChoice.Factor())
	encoder.AddFloat64("pace", f.lastChoice.Pace())
	return nil
}

// noteSent records that the request is sent, for the log, and counts its reservation.
func (r *inflight) noteSent() {
	r.sentAt = time.Now()
	if r.need.Model != "" {
		r.gateway.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_prompts_sent_total{reservation=%q}", r.reservation)).Inc()
	}
}
