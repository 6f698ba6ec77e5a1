package box

import (
	"context"

	"github.com/google/uuid"
)

// serveRepeatable runs a request that may run several times: on one engine after another, until one gives a whole
// answer. It differs from serviceProxy.serveRepeatable in three ways:
//   - Admission needs the estimated wait at the engine chosen.
//   - An engine confirms whether it started a request, so an attempt that did not start costs no retry budget.
//   - An engine's broken answer is first resumed, and a streamed answer of which the caller has seen a part cannot be
//     begun again.
func (s *modelServer) serveRepeatable(ctx context.Context, r *modelRequest, d *delivery) *refusal {
	s.retries.RecordRequest()
	picked, refused := s.choose(r)
	if refused != nil {
		return refused
	}
	done, refused := s.admit(r, picked)
	if refused != nil {
		return refused
	}
	defer done()
	// mayHaveRun is set once some engine may have run the request, wholly or in part.
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		id := uuid.Must(uuid.NewV7()).String()
		if !d.startRun(id) {
			return unknown(reasonBrokenOff, "the answer broke off and can't be resumed: send the request again")
		}
		err := s.runs.run(ctx, r, picked.ID, d)
		if err == nil {
			return nil
		}
		if !notStarted(err) {
			mayHaveRun = true
			s.runs.cancelInBackground(picked.ID, id)
		}
		if ctx.Err() != nil || d.sendErr != nil {
			return callerLeft(ctx)
		}
		s.runs.recordFailure(r, picked.ID, err)
		if !mayTryAnother(attempt, notStarted(err), s.retries) {
			return attemptsExhausted(mayHaveRun)
		}
		if picked, refused = s.choose(r); refused != nil {
			return attemptsExhausted(mayHaveRun)
		}
	}
}
