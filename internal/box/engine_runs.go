package box

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/engine"
	"ospreymoor.example/ospreymoor/pkg/claims"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

const (
	// maxResumes bounds how often one run is resumed.
	maxResumes = 5
	// maxResumeDelay is the longest pause before a run is resumed. The actual pause is random.
	maxResumeDelay = 200 * time.Millisecond
	// cancelTimeout bounds the call that cancels a run.
	cancelTimeout = 2 * time.Second
)

// engineRuns sends requests to engines, resumes answers that broke off, and records failures of engines.
type engineRuns struct {
	fleet   *fleetState
	view    *membership.View
	router  *routing.Router
	engines *engineClients
	set     *metrics.Set
	// heartbeatSoon is signalled when an engine is found to be leaving.
	heartbeatSoon chan struct{}
}

// run sends a request to an engine as run d.id, and resumes the run there when its stream breaks off. It returns the
// errors of internal/engine.
func (e *engineRuns) run(ctx context.Context, r *modelRequest, id string, d *delivery) error {
	ended := e.router.RecordSent(r.item, r.message.GetPrompt(), id)
	defer ended()
	client := e.client(id)
	begun := time.Now()
	err := client.Generate(ctx, engine.Request{
		ID:        d.id,
		Model:     r.item,
		Adapter:   r.adapter,
		Prompt:    r.message.GetPrompt(),
		MaxTokens: r.maxTokens(),
		Priority:  r.model.Priority,
	}, d.deliver)
	err = e.resume(ctx, client, d, err)
	if err == nil {
		e.router.RecordSlotTime(r.item, time.Since(begun))
	}
	return err
}

// resume resumes a run whose stream broke off, from the first piece that is missing. Once pieces have come, the run
// has begun; a 'not started' then concerns only the resumption, which is tried again too.
func (e *engineRuns) resume(ctx context.Context, client *engine.Client, d *delivery, err error) error {
	for range maxResumes {
		broken := errors.Is(err, engine.ErrBrokenOff) || errors.Is(err, engine.ErrUnexpectedMessage) ||
			(d.nextIndex > 0 && notStarted(err))
		if err == nil || !broken || ctx.Err() != nil || d.sendErr != nil {
			return err
		}
		e.set.GetOrCreateCounter("ospreymoor_resumptions_total").Inc()
		pause(ctx, rand.N(maxResumeDelay))
		err = client.Resume(ctx, d.id, d.nextIndex, d.deliver)
	}
	return err
}

// client returns the client of an engine of the box list.
func (e *engineRuns) client(id string) *engine.Client {
	return e.engines.get(id, e.fleet.snapshot.Load().engines[id].box)
}

// recordFailure excludes an engine that failed a request from its further attempts. If the engine is leaving, no box
// sends it anything any more. If it answered but does not hold the model, it stays available to other requests. After
// any other failure the router avoids it for avoidDuration.
func (e *engineRuns) recordFailure(r *modelRequest, id string, err error) {
	if r.refusedBy == nil {
		r.refusedBy = map[string]bool{}
	}
	r.refusedBy[id] = true
	switch {
	case errors.Is(err, engine.ErrLeaving):
		if e.view.MarkLeaving(id) {
			wake(e.heartbeatSoon)
		}
	case errors.Is(err, engine.ErrNotStarted) && !engine.IsDialError(err):
	default:
		e.router.Avoid(id, avoidDuration)
	}
}

// cancelInBackground cancels a run that no caller waits for. A failure is not logged: the run then ends by itself.
func (e *engineRuns) cancelInBackground(id, request string) {
	client := e.client(id)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_, _ = client.Cancel(ctx, request)
	}()
}

// confirmNeverStarted cancels a claimed run at its engine, which refuses the run's id from then on, and reports
// whether the engine confirms that the run never began there. Only the incarnation that the run was claimed for can
// confirm it.
func (e *engineRuns) confirmNeverStarted(claim claims.Claim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, listed := e.fleet.snapshot.Load().engines[claim.Upstream]; !listed {
		return false
	}
	answer, err := e.client(claim.Upstream).Cancel(ctx, claim.RequestID)
	return err == nil && !answer.Started && answer.Incarnation == claim.Incarnation
}

// notStarted reports whether the error means that an engine did not start the request or never received it.
func notStarted(err error) bool {
	return errors.Is(err, engine.ErrNotStarted) || errors.Is(err, engine.ErrLeaving)
}
