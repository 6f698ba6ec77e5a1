package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// outcome is the result of an attempt, as far as the head of the answer shows it.
//
//	outcome      reached  may have run  outlier ejection    directory
//	abandoned    no       no            nothing             nothing
//	withdrawn    no       no            nothing             nothing
//	not sent     no       no            failure             unreachable, over own links by recordUnreached
//	broken       yes      yes           failure             nothing
//	misdirected  yes      no            nothing             lacks the model, or is gone
//	not executed yes      no            failure if backoff  lacks the adapter, if one is needed
//	failed       yes      yes           failure             nothing
//	answered     yes      yes           by the body         nothing
//
// "failure if backoff" is a failure if the upstream asked for a backoff. Any answer resets the time for which an
// upstream is avoided after a refused connection, which doubles with each one. All outcomes except abandoned and
// answered write the log line "attempt failed".
type outcome int

const (
	// outcomeAbandoned: the caller disconnected during the attempt. This shows nothing about the upstream.
	outcomeAbandoned outcome = iota
	// outcomeWithdrawn: the upstream may not get the request any more, and no part of it was written.
	outcomeWithdrawn
	// outcomeNotSent: no part of the request reached the upstream.
	outcomeNotSent
	// outcomeBroken: the request was sent and no answer arrived; also when the deadline passed.
	outcomeBroken
	// outcomeMisdirected: another upstream now has the address, or this one lacks the model.
	outcomeMisdirected
	// outcomeNotExecuted: the upstream did not execute the request and never will.
	outcomeNotExecuted
	// outcomeFailed: the upstream answered with a status of 500 or above.
	outcomeFailed
	// outcomeAnswered: any other answer. Whether its body is complete is known only later.
	outcomeAnswered
)

// outcomeOf classifies the result of an attempt.
func outcomeOf(ctx context.Context, answer *Answer, err error) outcome {
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return outcomeAbandoned
	case withdrawn(err):
		return outcomeWithdrawn
	case errors.Is(err, ErrNotSent):
		return outcomeNotSent
	case err != nil:
		return outcomeBroken
	case answer.Misdirected:
		return outcomeMisdirected
	case answer.NotExecuted:
		return outcomeNotExecuted
	case answer.Status >= http.StatusInternalServerError:
		return outcomeFailed
	}
	return outcomeAnswered
}

// recordOutcome records the outcome of an attempt. took is the time until the head of its answer, or until the
// error.
func (r *inflight) recordOutcome(ctx context.Context, choice dispatch.Choice, answer *Answer, err error, took time.Duration) {
	id := choice.Upstream.ID
	directory := r.gateway.Directory
	if err == nil {
		directory.MarkReachable(id)
		r.recordContact(choice.Upstream.Hall)
	}
	result := outcomeOf(ctx, answer, err)
	r.attempts.count(result)
	switch result {
	case outcomeWithdrawn:
		r.logAttempt(choice, 0, took, err)
	case outcomeNotSent:
		if r.attempts.tunnelled && !errors.Is(err, ErrNoTunnel) {
			directory.MarkUnreachable(id)
		}
		r.attemptFailed(choice, 0, took, err)
	case outcomeBroken:
		if errors.Is(err, ErrOtherAnswer) {
			r.recordOtherAnswer(choice, took, err)
			return
		}
		r.recordBroken(ctx, choice, 0, took, err)
	case outcomeMisdirected:
		r.logAttempt(choice, answer.Status, took, nil)
		directory.MarkMissing(id, r.need.Model, r.need.Adapter)
	case outcomeNotExecuted:
		if r.endpoint.AskedForBackoff() {
			// Boxes report failures to each other, so that those that have not sent to this upstream yet prefer others. In a
			// replay in internal/node with 60 boxes and 90 engines, of which 23 reject all requests for 6 s, 551 of 15,120
			// requests were not served without this.
			r.gateway.Loads.RecordOutcome(id, false)
		}
		r.reportRejection(ctx, choice, answer.Status)
		r.logAttempt(choice, answer.Status, took, nil)
		if r.need.Adapter != "" {
			directory.MarkMissing(id, r.need.Model, r.need.Adapter)
		}
	case outcomeFailed:
		r.attemptFailed(choice, answer.Status, took, nil)
	}
}

// count updates the counters that the retry limits depend on.
func (a *attempts) count(result outcome) {
	switch result {
	case outcomeAbandoned:
		a.abandoned++
	case outcomeBroken, outcomeFailed, outcomeAnswered:
		a.reached++
		a.mayHaveRun++
	case outcomeMisdirected, outcomeNotExecuted:
		a.reached++
	}
}

// attemptFailed records a failure of the upstream and logs it.
func (r *inflight) attemptFailed(choice dispatch.Choice, status int, took time.Duration, err error) {
	r.recordFailed(choice.Upstream.ID)
	r.logAttempt(choice, status, took, err)
}

// recordOtherAnswer records an attempt whose upstream answered another request. That upstream is within reach and runs, but
// it failed.
func (r *inflight) recordOtherAnswer(choice dispatch.Choice, took time.Duration, err error) {
	r.gateway.Metrics.GetOrCreateCounter("ospreymoor_answers_to_other_requests_total").Inc()
	r.recordContact(choice.Upstream.Hall)
	r.attemptFailed(choice, 0, took, err)
}

// recordFailed records a failure of an upstream, which other boxes learn of, unless the failure may be that of this
// box's own links.
func (r *inflight) recordFailed(upstream string) {
	if r.attempts.tunnelled || !r.gateway.Links.Suspected() {
		r.gateway.Loads.RecordOutcome(upstream, false)
	}
}

// attemptSucceeded records a complete answer of the upstream.
func (r *inflight) attemptSucceeded(choice dispatch.Choice) {
	r.gateway.Loads.RecordOutcome(choice.Upstream.ID, true)
}
