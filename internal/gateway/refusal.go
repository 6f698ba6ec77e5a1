package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// reason says why a request got no answer from a back end. Logs and metrics show it.
type reason string

// The reasons.
const (
	reasonNoConfig    reason = "no configuration yet"
	reasonNoRoute     reason = "no route"
	reasonNoBackend   reason = "no back end"
	reasonNoModel     reason = "model not loaded"
	reasonNoAdapter   reason = "adapter not loaded"
	reasonUnreachable reason = "back ends that have it do not answer"
	reasonFull        reason = "back ends full"
	reasonBroken      reason = "answer broken"
	reasonBudget      reason = "retry budget used up"
	reasonAttempts    reason = "attempts used up"
	reasonTimeout     reason = "time is over"
	reasonCallerLeft  reason = "caller left"
	reasonTooLarge    reason = "body too large"
	reasonStopping    reason = "machine stops"
	reasonNotAccepted reason = "not executed"
)

// Times to come back.
const (
	// soon is for what is settled by another try.
	soon = 50 * time.Millisecond
	// whenRoom is for back ends that are full.
	whenRoom = 300 * time.Millisecond
	// whenConfigured is for a machine that has just started.
	whenConfigured = 500 * time.Millisecond
)

// refusal is a final answer of our own.
type refusal struct {
	status int
	reason reason
	// retryAfter tells when to come back; 0 if the request may have run.
	retryAfter time.Duration
}

func notRun(why reason, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: why, retryAfter: retryAfter}
}

// mayHaveRun is the answer that promises nothing.
func mayHaveRun(why reason) *refusal {
	if why == reasonTimeout {
		return &refusal{status: http.StatusGatewayTimeout, reason: why}
	}
	return &refusal{status: http.StatusBadGateway, reason: why}
}

// write sends the answer.
func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	body := string(r.reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(body))
}
