package box

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
)

// Reasons of a refusal beside those of admission; they label the metrics.
const (
	reasonBadRequest  = "bad request"
	reasonToken       = "token"
	reasonNotFound    = "not found"
	reasonStarting    = "starting"
	reasonNoUpstream  = "no upstream"
	reasonUpstream    = "upstream failed"
	reasonNotClaimed  = "not claimed"
	reasonKey         = "request key"
	reasonClaimedGone = "earlier attempt"
	reasonBrokenOff   = "answer broke off"
	reasonCallerLeft  = "caller left"
)

// callersFault tells that the service level does not suffer by a refusal: the caller asked for
// what can't be, or left.
func (r *refusal) callersFault() bool {
	switch r.reason {
	case reasonBadRequest, reasonNotFound, reasonKey, reasonCallerLeft:
		return true
	}
	return false
}

// remedyToken is the remedy of a request without a token.
const remedyToken = "send the header Authorization: Bearer TOKEN"

// comeBack is when to come back if nothing better is known.
const comeBack = time.Second

// refusal is the final word on a request that gets no whole answer.
type refusal struct {
	code    connect.Code
	outcome ospreymoorv1.Outcome
	reason  string
	remedy  string
	// retryAfter is when to come back; 0 if that can't help.
	retryAfter time.Duration
}

// Error names the outcome and the remedy.
func (r *refusal) Error() string {
	text := fmt.Sprintf("%s: %s: %s", r.outcomeText(), r.reason, r.remedy)
	if r.retryAfter > 0 {
		text += fmt.Sprintf(" (come back in %s)", r.retryAfter)
	}
	return text
}

func (r *refusal) outcomeText() string {
	if r.outcome == ospreymoorv1.Outcome_OUTCOME_UNKNOWN {
		return "outcome unknown"
	}
	return "not run"
}

func notRun(code connect.Code, reason, remedy string, retryAfter time.Duration) *refusal {
	return &refusal{
		code:       code,
		outcome:    ospreymoorv1.Outcome_OUTCOME_NOT_RUN,
		reason:     reason,
		remedy:     remedy,
		retryAfter: retryAfter,
	}
}

func unknown(reason, remedy string) *refusal {
	return &refusal{
		code:       connect.CodeUnknown,
		outcome:    ospreymoorv1.Outcome_OUTCOME_UNKNOWN,
		reason:     reason,
		remedy:     remedy,
		retryAfter: comeBack,
	}
}

// unlessRetry turns 'not run' into unknown for what may be a retry of a request that may not be
// repeated, when it is refused before its key was looked up: an earlier attempt may have run.
func (r *refusal) unlessRetry(mayBeRetry bool) *refusal {
	if !mayBeRetry || r.outcome != ospreymoorv1.Outcome_OUTCOME_NOT_RUN || r.reason == reasonKey {
		return r // A key that can't be used was never used before either.
	}
	changed := *r
	changed.outcome = ospreymoorv1.Outcome_OUTCOME_UNKNOWN
	changed.remedy += "; this attempt was not run, an earlier one may have been: " + remedySameKey
	return &changed
}

// connectError is the refusal as Connect callers get it.
func (r *refusal) connectError() *connect.Error {
	err := connect.NewError(r.code, r)
	detail := &ospreymoorv1.Refusal{Outcome: r.outcome, Reason: r.reason, Remedy: r.remedy}
	if r.retryAfter > 0 {
		detail.RetryAfter = durationpb.New(r.retryAfter)
		err.Meta().Set("Retry-After", retryAfterSeconds(r.retryAfter))
	}
	if d, detailErr := connect.NewErrorDetail(detail); detailErr == nil {
		err.AddDetail(d)
	}
	return err
}

// problem is the refusal as callers of plain services get it.
type problem struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Remedy  string `json:"remedy"`
	// RetryAfterMS is in milliseconds, since Retry-After has whole seconds only.
	RetryAfterMS int64 `json:"retryAfterMs,omitempty"`
}

// write answers a plain HTTP request with the refusal.
func (r *refusal) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(r.retryAfter))
	}
	w.WriteHeader(httpStatus(r.code))
	_ = json.NewEncoder(w).Encode(problem{
		Outcome:      r.outcomeText(),
		Reason:       r.reason,
		Remedy:       r.remedy,
		RetryAfterMS: r.retryAfter.Milliseconds(),
	})
}

func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

func httpStatus(code connect.Code) int {
	switch code {
	case connect.CodeInvalidArgument:
		return http.StatusBadRequest
	case connect.CodeUnauthenticated:
		return http.StatusUnauthorized
	case connect.CodeNotFound:
		return http.StatusNotFound
	case connect.CodeResourceExhausted:
		return http.StatusTooManyRequests
	case connect.CodeAlreadyExists:
		return http.StatusConflict
	case connect.CodeUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

// gone is the refusal of a request whose caller has left.
func gone(ctx context.Context) *refusal {
	why := "its connection broke"
	if cause := context.Cause(ctx); cause != nil {
		why = cause.Error()
	}
	return unknown(reasonCallerLeft, why)
}
