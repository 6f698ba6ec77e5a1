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

// refusal is the final answer to a request that gets no whole answer. The functions that make one are in
// refusal_rules.go.
type refusal struct {
	code    connect.Code
	outcome ospreymoorv1.Outcome
	// reason labels the metrics. remedy tells the caller what to do.
	reason string
	remedy string
	// retryAfter is when the caller may try again. 0 means that trying again cannot help.
	retryAfter time.Duration
}

// Error returns the outcome, the reason and the remedy.
func (r *refusal) Error() string {
	text := fmt.Sprintf("%s: %s: %s", r.outcomeText(), r.reason, r.remedy)
	if r.retryAfter > 0 {
		text += fmt.Sprintf(" (come back in %s)", r.retryAfter)
	}
	return text
}

// outcomeText returns the outcome as it appears in error texts and in answers to calls of plain services.
func (r *refusal) outcomeText() string {
	if r.outcome == ospreymoorv1.Outcome_OUTCOME_UNKNOWN {
		return "outcome unknown"
	}
	return "not run"
}

// connectError returns the refusal as an error for Connect callers.
func (r *refusal) connectError() *connect.Error {
	err := connect.NewError(r.code, r)
	detail := &ospreymoorv1.Refusal{Outcome: r.outcome, Reason: r.reason, Remedy: r.remedy}
	if r.retryAfter > 0 {
		detail.RetryAfter = durationpb.New(r.retryAfter)
		err.Meta().Set("Retry-After", retryAfterSeconds(r.retryAfter))
	}
	// Encoding the detail cannot fail. Without it, the text would still name outcome and remedy.
	if d, detailErr := connect.NewErrorDetail(detail); detailErr == nil {
		err.AddDetail(d)
	}
	return err
}

// refusalBody is the body of a refusal to a caller of a plain service.
type refusalBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Remedy  string `json:"remedy"`
	// RetryAfterMS is in milliseconds, since the header Retry-After has whole seconds only.
	RetryAfterMS int64 `json:"retryAfterMs,omitempty"`
}

// write answers an HTTP call of a plain service with the refusal. Failing to reach a caller that has left is not
// logged.
func (r *refusal) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(r.retryAfter))
	}
	w.WriteHeader(httpStatus(r.code))
	_ = json.NewEncoder(w).Encode(refusalBody{
		Outcome:      r.outcomeText(),
		Reason:       r.reason,
		Remedy:       r.remedy,
		RetryAfterMS: r.retryAfter.Milliseconds(),
	})
}

// retryAfterSeconds returns the value of the header Retry-After: whole seconds, rounded up.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// httpStatus returns the HTTP status of a refused call of a plain service.
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
