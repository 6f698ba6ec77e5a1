package box

import (
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

// refusal is the last answer to a request that gets no whole answer. The rules that make one are in refusal_rules.go.
type refusal struct {
	code    connect.Code
	outcome ospreymoorv1.Outcome
	// reason labels the metrics; remedy is for the caller.
	reason string
	remedy string
	// retryAfter is when to come back; 0 if that cannot help.
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

// outcomeText is the outcome in texts and in the answers of plain services.
func (r *refusal) outcomeText() string {
	if r.outcome == ospreymoorv1.Outcome_OUTCOME_UNKNOWN {
		return "outcome unknown"
	}
	return "not run"
}

// connectError is the refusal as Connect callers get it.
func (r *refusal) connectError() *connect.Error {
	err := connect.NewError(r.code, r)
	detail := &ospreymoorv1.Refusal{Outcome: r.outcome, Reason: r.reason, Remedy: r.remedy}
	if r.retryAfter > 0 {
		detail.RetryAfter = durationpb.New(r.retryAfter)
		err.Meta().Set("Retry-After", retryAfterSeconds(r.retryAfter))
	}
	// A message of the program's own always encodes; without the detail, the text still names outcome and remedy.
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

// write answers a plain HTTP request with the refusal. A caller that has left gets nothing, which needs no line.
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

// retryAfterSeconds is the header's value: whole seconds, rounded up.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// httpStatus is the status of a refused call of a plain service.
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
