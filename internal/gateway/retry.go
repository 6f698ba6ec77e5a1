package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// This file holds the retry rules: whether a request may be sent to one more upstream, and which final answer it
// gets if not.
//
// Two guarantees take precedence. A request that may run only once is never sent again after an attempt that may
// have run. A 503 is sent only if no upstream ran the request, or if it may run any number of times.

// maxAttempts is the maximum number of attempts of one request, including those that upstreams did not execute.
const maxAttempts = 4

// takeAttempt takes one attempt from the request's limits. Once an attempt has reached an upstream, each further
// one is also taken from the retry budget. denied is the limit that forbids the attempt; empty if it is allowed.
//
// Retries after attempts that reached no upstream, such as a refused connection, are not taken from the budget:
// they put no further load on the service.
func (r *inflight) takeAttempt() (denied reason) {
	switch {
	case r.attempts.sent == 0:
		return ""
	case !r.hasRunsLeft(), r.attempts.sent >= maxAttempts:
		return reasonAttempts
	case r.attempts.reached > 0 && !r.gateway.budget.takeRetry(r.service):
		return reasonBudget
	}
	return ""
}

// hasRunsLeft reports whether the route allows one more attempt that may run. A route without a limit allows one
// in all.
func (r *inflight) hasRunsLeft() bool {
	return r.attempts.mayHaveRun < max(1, r.route.MaxAttempts)
}

// errNotExecuted is the error of an attempt that its upstream did not execute.
const errNotExecuted = errors.ConstError("not executed: the request may go to another upstream")

// mayRetry reports whether a request may be sent to another upstream after an attempt without a complete answer:
// if the attempt did not run, or if the request may run more than once.
func (r *inflight) mayRetry(err error) bool {
	return notExecuted(err) || r.route.Idempotent()
}

// notExecuted reports whether the error of an attempt means that it did not run and never will.
func notExecuted(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, errNotExecuted)
}

// mayReplace reports whether the answer of another upstream may replace one that failed with this status.
func (r *inflight) mayReplace(status int) bool {
	return status >= http.StatusInternalServerError && r.route.Idempotent()
}

// deniedRefusal returns the final answer of a request that has reached a limit of retries. If an attempt may have
// run, the answer gives lastFailure, which is closer to the cause.
func (r *inflight) deniedRefusal(denied, lastFailure reason) *refusal {
	if r.attempts.mayHaveRun == 0 {
		return notRun(denied, 0)
	}
	return r.refusalFor(lastFailure, 0)
}

// refusalFor returns the final answer of a request that no upstream takes. expected is the time until the cause is
// expected to be gone; 0 if unknown.
func (r *inflight) refusalFor(cause reason, expected time.Duration) *refusal {
	if r.attempts.mayHaveRun > 0 && !r.route.Idempotent() {
		return mayHaveRun(cause)
	}
	return notRun(cause, expected)
}

// contextRefusal returns the final answer of a request whose context ended: its caller left or its deadline
// passed. An attempt that was in flight may have run, even on a route that allows several runs.
func (r *inflight) contextRefusal(ctx context.Context) *refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return callerLeft()
	}
	if r.attempts.mayHaveRun > 0 {
		return mayHaveRun(reasonTimeout)
	}
	return notRun(reasonTimeout, 0)
}
