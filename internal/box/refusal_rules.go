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

// Reasons of a refusal besides those of pkg/admission. They label the metrics.
const (
	reasonBadRequest     = "bad request"
	reasonToken          = "token"
	reasonNotFound       = "not found"
	reasonStarting       = "starting"
	reasonNoUpstream     = "no upstream"
	reasonUpstream       = "upstream failed"
	reasonNotClaimed     = "not claimed"
	reasonRequestKey     = "request key"
	reasonEarlierAttempt = "earlier attempt"
	reasonBrokenOff      = "answer broke off"
	reasonCallerLeft     = "caller left"
)

// Remedies that several refusals share.
const (
	remedyToken   = "send the header Authorization: Bearer TOKEN"
	remedySameKey = "come back with the same request key"
	remedyUnknown = "ask again with the same request key; do not send the request under another key"
)

// defaultRetryAfter is when a caller may try again if nothing better is known.
const defaultRetryAfter = time.Second

// notRun returns the refusal of a request that did not run and will not.
func notRun(code connect.Code, reason, remedy string, retryAfter time.Duration) *refusal {
	return &refusal{
		code:       code,
		outcome:    ospreymoorv1.Outcome_OUTCOME_NOT_RUN,
		reason:     reason,
		remedy:     remedy,
		retryAfter: retryAfter,
	}
}

// unknown returns the refusal of a request that may have run, wholly or in part.
func unknown(reason, remedy string) *refusal {
	return &refusal{
		code:       connect.CodeUnknown,
		outcome:    ospreymoorv1.Outcome_OUTCOME_UNKNOWN,
		reason:     reason,
		remedy:     remedy,
		retryAfter: defaultRetryAfter,
	}
}

// isCallerError reports whether the refusal is due to the caller, which asked for something impossible or left. The
// burn report leaves these out.
func (r *refusal) isCallerError() bool {
	switch r.reason {
	case reasonBadRequest, reasonNotFound, reasonRequestKey, reasonCallerLeft:
		return true
	}
	return false
}

// unknownIfRetry turns the outcome 'not run' into 'unknown' if the request may be a retry of one that may not be
// repeated. It is for refusals made before the request's key was looked up: an earlier attempt may have run.
func (r *refusal) unknownIfRetry(mayBeRetry bool) *refusal {
	if !mayBeRetry || r.outcome != ospreymoorv1.Outcome_OUTCOME_NOT_RUN || r.reason == reasonRequestKey {
		return r // An unusable key cannot have been used by an earlier attempt either.
	}
	changed := *r
	changed.outcome = ospreymoorv1.Outcome_OUTCOME_UNKNOWN
	changed.remedy += "; this attempt was not run, an earlier one may have been: " + remedySameKey
	return &changed
}

// checkRequestKey refuses a request key under which nothing can be claimed.
func checkRequestKey(key string) *refusal {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return notRun(connect.CodeInvalidArgument, reasonRequestKey, "a request that may not be repeated needs a request key: a UUIDv7, kept across retries", 0)
	}
	return nil
}

// overloadRefusal returns admission's refusal as callers get it. The rule is in pkg/admission.
func overloadRefusal(r *admission.Refusal) *refusal {
	remedy := "send it again then"
	if r.Limit != "" {
		remedy = "limit of " + r.Limit + ": " + remedy + ", or have it raised in the bundle"
	}
	return notRun(connect.CodeResourceExhausted, r.Reason, remedy, r.RetryAfter)
}

// attemptsExhausted returns the refusal of a repeatable request after its last attempt.
func attemptsExhausted(mayHaveRun bool) *refusal {
	if mayHaveRun {
		return unknown(reasonUpstream, "engines failed under the request: send it again")
	}
	return notRun(connect.CodeUnavailable, reasonUpstream, "no engine took the request", defaultRetryAfter)
}

// claimRefusal returns the refusal of a request whose key cannot be claimed or looked up. If claims cannot be read,
// 'not run' is true only if the caller promised that this is the first attempt.
func claimRefusal(r onceRequest, err error) *refusal {
	for _, kind := range []error{claims.ErrBadKey, claims.ErrTooNew, claims.ErrFull} {
		if errors.Is(err, kind) {
			return notRun(connect.CodeInvalidArgument, reasonRequestKey, kind.Error(), 0)
		}
	}
	switch {
	case errors.Is(err, claims.ErrOtherRequest):
		return notRun(connect.CodeAlreadyExists, reasonRequestKey, claims.ErrOtherRequest.Error(), 0)
	case errors.Is(err, claims.ErrTooOld):
		refused := unknown(reasonRequestKey, claims.ErrTooOld.Error())
		refused.retryAfter = 0
		return refused
	case r.firstAttempt:
		return notRun(connect.CodeUnavailable, reasonNotClaimed, remedySameKey, defaultRetryAfter)
	default:
		return unknown(reasonNotClaimed, fmt.Sprintf("claims can't be read, so an earlier attempt may have run: %s", remedySameKey))
	}
}

// callerLeft returns the refusal of a request whose caller has left.
func callerLeft(ctx context.Context) *refusal {
	why := "its connection broke"
	if cause := context.Cause(ctx); cause != nil {
		why = cause.Error()
	}
	return unknown(reasonCallerLeft, why)
}
