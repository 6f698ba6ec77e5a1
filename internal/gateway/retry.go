package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// This file holds the rule of retries: whether a request may be sent to one more upstream, and which
// final answer it gets if not.
//
// Two promises stand above all else. A request that may run only once is never sent again after an
// attempt that may have run. A 503 is only sent if no upstream ran the request, or if it may run any
// number of times.

// maxSent bounds the attempts of one request, with those that upstreams did not execute.
const maxSent = 4

// takeAttempt takes one attempt out of the request's limits and, from the second one that reaches an
// upstream, out of the retry budget. denied is the limit that forbids it; empty if it is allowed.
//
// An attempt that reached no upstream, such as a refused connection, is free: a retry after it puts
// no further load on the service.
func (r *inflight) takeAttempt() (denied reason) {
	switch {
	case r.attempts.sent == 0:
		return ""
	case !r.hasRunsLeft(), r.attempts.sent >= maxSent:
		return reasonAttempts
	case r.attempts.reached > 0 && !r.gateway.budget.takeRetry(r.service):
		return reasonBudget
	}
	return ""
}

// hasRunsLeft reports whether the route allows one more attempt that may run. A route without a
// limit allows one.
func (r *inflight) hasRunsLeft() bool {
	return r.attempts.mayHaveRun < max(1, r.route.MaxAttempts)
}

// errNotExecuted is the result of an attempt that its upstream did not execute.
const errNotExecuted = errors.ConstError("not executed: the request may go to another upstream")

// mayRetry reports whether a request may go to another upstream after an attempt without a whole
// answer. That is so if the attempt did not run, or if the request may run more than once.
func (r *inflight) mayRetry(err error) bool {
	return notExecuted(err) || r.route.Idempotent()
}

// notExecuted reports whether the error of an attempt means that it did not run and never will.
func notExecuted(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, errNotExecuted)
}

// mayReplace reports whether another upstream may answer in place of one that failed with a status.
func (r *inflight) mayReplace(status int) bool {
	return status >= http.StatusInternalServerError && r.route.Idempotent()
}

// deniedRefusal is the final answer of a request that a limit allows no further attempt. If an
// attempt may have run, the caller gets lastFailure, which is closer to the cause.
func (r *inflight) deniedRefusal(denied, lastFailure reason) *refusal {
	if r.attempts.mayHaveRun == 0 {
		return notRun(denied, 0)
	}
	return r.unserved(lastFailure, 0)
}

// unserved is the final answer of a request that no upstream takes. The cause is expected to be gone
// after expected.
func (r *inflight) unserved(cause reason, expected time.Duration) *refusal {
	if r.attempts.mayHaveRun > 0 && !r.route.Idempotent() {
		return mayHaveRun(cause)
	}
	return notRun(cause, expected)
}

// ended is the final answer of a request whose context ended: its caller left or its deadline passed.
// An attempt that was under way may have run, also on a route that allows several runs.
func (r *inflight) ended(ctx context.Context) *refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return callerLeft()
	}
	if r.attempts.mayHaveRun > 0 {
		return mayHaveRun(reasonTimeout)
	}
	return notRun(reasonTimeout, 0)
}
