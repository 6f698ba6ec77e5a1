package box

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/juju/errors"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/pkg/admission"
	"ospreymoor.example/ospreymoor/pkg/claims"
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

// Remedies of more than one refusal.
const (
	remedyToken   = "send the header Authorization: Bearer TOKEN"
	remedySameKey = "come back with the same request key"
	remedyUnknown = "ask again with the same request key; do not send the request under another key"
)

// comeBack is when to come back if nothing better is known.
const comeBack = time.Second

// notRun refuses a request that did not run and will not.
func notRun(code connect.Code, reason, remedy string, retryAfter time.Duration) *refusal {
	return &refusal{
		code:       code,
		outcome:    ospreymoorv1.Outcome_OUTCOME_NOT_RUN,
		reason:     reason,
		remedy:     remedy,
		retryAfter: retryAfter,
	}
}

// unknown refuses a request that may have run, wholly or in part.
func unknown(reason, remedy string) *refusal {
	return &refusal{
		code:       connect.CodeUnknown,
		outcome:    ospreymoorv1.Outcome_OUTCOME_UNKNOWN,
		reason:     reason,
		remedy:     remedy,
		retryAfter: comeBack,
	}
}

// callersFault reports whether the burn report leaves a refusal out: the caller asked for something impossible, or
// left.
func (r *refusal) callersFault() bool {
	switch r.reason {
	case reasonBadRequest, reasonNotFound, reasonKey, reasonCallerLeft:
		return true
	}
	return false
}

// unlessRetry turns 'not run' into unknown for what may be a retry of a request that may not be repeated, when it is
// refused before its key was looked up: an earlier attempt may have run.
func (r *refusal) unlessRetry(mayBeRetry bool) *refusal {
	if !mayBeRetry || r.outcome != ospreymoorv1.Outcome_OUTCOME_NOT_RUN || r.reason == reasonKey {
		return r // A key that cannot be used was never used before either.
	}
	changed := *r
	changed.outcome = ospreymoorv1.Outcome_OUTCOME_UNKNOWN
	changed.remedy += "; this attempt was not run, an earlier one may have been: " + remedySameKey
	return &changed
}

// checkKey refuses a request key that no claim could hold.
func checkKey(key string) *refusal {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return notRun(connect.CodeInvalidArgument, reasonKey, "a request that may not be repeated needs a request key: a UUIDv7, kept across retries", 0)
	}
	return nil
}

// overloaded is admission's refusal as callers get it. The rule itself is in pkg/admission.
func overloaded(r *admission.Refusal) *refusal {
	remedy := "send it again then"
	if r.Limit != "" {
		remedy = "limit of " + r.Limit + ": " + remedy + ", or have it raised in the bundle"
	}
	return notRun(connect.CodeResourceExhausted, r.Reason, remedy, r.RetryAfter)
}

// exhausted is the refusal of a repeatable request after its last attempt.
func exhausted(mayHaveRun bool) *refusal {
	if mayHaveRun {
		return unknown(reasonUpstream, "engines failed under the request: send it again")
	}
	return notRun(connect.CodeUnavailable, reasonUpstream, "no engine took the request", comeBack)
}

// notClaimed is the refusal of a request whose key cannot be claimed or looked up. If claims cannot be read, only the
// caller's promise of a first attempt makes 'not run' true.
func notClaimed(r onceRequest, err error) *refusal {
	for _, kind := range []error{claims.ErrBadKey, claims.ErrTooNew, claims.ErrFull} {
		if errors.Is(err, kind) {
			return notRun(connect.CodeInvalidArgument, reasonKey, kind.Error(), 0)
		}
	}
	switch {
	case errors.Is(err, claims.ErrOtherRequest):
		return notRun(connect.CodeAlreadyExists, reasonKey, claims.ErrOtherRequest.Error(), 0)
	case errors.Is(err, claims.ErrTooOld):
		refused := unknown(reasonKey, claims.ErrTooOld.Error())
		refused.retryAfter = 0
		return refused
	case r.firstAttempt:
		return notRun(connect.CodeUnavailable, reasonNotClaimed, remedySameKey, comeBack)
	default:
		return unknown(reasonNotClaimed, fmt.Sprintf("claims can't be read, so an earlier attempt may have run: %s", remedySameKey))
	}
}

// callerLeft is the refusal of a request whose caller has left.
func callerLeft(ctx context.Context) *refusal {
	why := "its connection broke"
	if cause := context.Cause(ctx); cause != nil {
		why = cause.Error()
	}
	return unknown(reasonCallerLeft, why)
}
