package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// outcome is what became of an attempt, as far as the head of the answer shows it.
//
//	outcome      reached  may have run  outlier ejection  directory
//	abandoned    no       no            nothing           nothing
//	not sent     no       no            failure           unreachable
//	broken       yes      yes           failure           nothing
//	elsewhere    yes      no            nothing           lacks the model, or is gone
//	not executed yes      no            failure at rest   lacks the adapter, if one is needed
//	failed       yes      yes           failure           nothing
//	answered     yes      yes           by the body       nothing
//
// Any answer resets the backoff of an upstream that was unreachable. All outcomes but abandoned and
// answered write the line "attempt failed".
type outcome int

const (
	// outcomeAbandoned: the caller left during the attempt, which shows nothing of the upstream.
	outcomeAbandoned outcome = iota
	// outcomeNotSent: nothing of the request reached the upstream.
	outcomeNotSent
	// outcomeBroken: the request was sent and no answer came, also because the deadline passed.
	outcomeBroken
	// outcomeElsewhere: another upstream has the address, or this one lacks the model.
	outcomeElsewhere
	// outcomeNotExecuted: the upstream did not execute the request and never will.
	outcomeNotExecuted
	// outcomeFailed: the upstream answered with a status of 500 or above.
	outcomeFailed
	// outcomeAnswered: any other answer. Whether its body is whole shows later.
	outcomeAnswered
)

// outcomeOf classifies the result of an attempt.
func outcomeOf(ctx context.Context, answer *Answer, err error) outcome {
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return outcomeAbandoned
	case errors.Is(err, ErrNotSent):
		return outcomeNotSent
	case err != nil:
		return outcomeBroken
	case answer.Misdirected:
		return outcomeElsewhere
	case answer.NotExecuted:
		return outcomeNotExecuted
	case answer.Status >= http.StatusInternalServerError:
		return outcomeFailed
	}
	return outcomeAnswered
}

// recordHead records the outcome of an attempt that took so long to the head of its answer.
func (r *inflight) recordHead(ctx context.Context, choice dispatch.Choice, answer *Answer, err error, took time.Duration) {
	id := choice.Upstream.ID
	directory := r.gateway.Directory
	if err == nil {
		directory.MarkReachable(id)
	}
	result := outcomeOf(ctx, answer, err)
	r.attempts.count(result)
	switch result {
	case outcomeNotSent:
		directory.MarkUnreachable(id)
		r.attemptFailed(choice, 0, took, err)
	case outcomeBroken:
		r.broke(ctx, choice, 0, took, err)
	case outcomeElsewhere:
		r.logAttempt(choice, answer.Status, took, nil)
		directory.MarkMissing(id, r.need.Model, r.need.Adapter)
	case outcomeNotExecuted:
		if r.endpoint.AskedForRest() {
			// Boxes tell each other of failures, so that those that it has not asked yet prefer others: at 60 boxes before 90 engines
			// of which 23 turn all away for 6 s, 551 of 15,120 requests were not served without this (replay of internal/node).
			r.gateway.Loads.RecordOutcome(id, false)
		}
		r.logAttempt(choice, answer.Status, took, nil)
		if r.need.Adapter != "" {
			directory.MarkMissing(id, r.need.Model, r.need.Adapter)
		}
	case outcomeFailed:
		r.attemptFailed(choice, answer.Status, took, nil)
	}
}

// count counts what the limits of retries depend on.
func (a *attempts) count(result outcome) {
	switch result {
	case outcomeAbandoned:
		a.abandoned++
	case outcomeBroken, outcomeFailed, outcomeAnswered:
		a.reached++
		a.mayHaveRun++
	case outcomeElsewhere, outcomeNotExecuted:
		a.reached++
	}
}

// attemptFailed counts a failure against the upstream and logs it.
func (r *inflight) attemptFailed(choice dispatch.Choice, status int, took time.Duration, err error) {
	r.gateway.Loads.RecordOutcome(choice.Upstream.ID, false)
	r.logAttempt(choice, status, took, err)
}

// attemptSucceeded counts a whole answer in favour of the upstream.
func (r *inflight) attemptSucceeded(choice dispatch.Choice) {
	r.gateway.Loads.RecordOutcome(choice.Upstream.ID, true)
}
