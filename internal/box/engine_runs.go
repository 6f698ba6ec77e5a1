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
	// maxResumes bounds the resumptions of one run.
	maxResumes = 5
	// resumePause is the longest pause before a resumption.
	resumePause = 200 * time.Millisecond
	// cancelTime bounds the cancelling of a run that no caller waits for.
	cancelTime = 2 * time.Second
)

// engineRuns sends requests to engines, resumes broken answers and notes what engines answer of themselves.
type engineRuns struct {
	fleet   *fleetState
	view    *membership.View
	router  *routing.Router
	engines *engineClients
	set     *metrics.Set
	// heartbeatSoon is signalled when an engine is found to be leaving.
	heartbeatSoon chan struct{}
}

// run sends a request to an engine under d.id, and resumes it there as long as that helps. The errors are the kinds
// of internal/engine.
func (e *engineRuns) run(ctx context.Context, r *modelRequest, id string, d *delivery) error {
	ended := e.router.Sent(r.item, r.message.GetPrompt(), id)
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
	}, d.take)
	err = e.resume(ctx, client, d, err)
	if err == nil {
		e.router.RecordSlotTime(r.item, time.Since(begun))
	}
	return err
}

// resume goes on with a run whose stream broke off, at the first piece that is missing. Once pieces have
// come, the run has begun: 'not started' then concerns only the resumption, which is repeated too.
func (e *engineRuns) resume(ctx context.Context, client *engine.Client, d *delivery, err error) error {
	for range maxResumes {
		broken := errors.Is(err, engine.ErrBrokenOff) || errors.Is(err, engine.ErrForeign) ||
			(d.next > 0 && notStarted(err))
		if err == nil || !broken || ctx.Err() != nil || d.sendErr != nil {
			return err
		}
		e.set.GetOrCreateCounter("ospreymoor_resumptions_total").Inc()
		pause(ctx, rand.N(resumePause))
		err = client.Resume(ctx, d.id, d.next, d.take)
	}
	return err
}

// client returns the client of an engine of the box list.
func (e *engineRuns) client(id string) *engine.Client {
	return e.engines.get(id, e.fleet.snapshot.Load().engines[id].box)
}

// noteFailure keeps the request from an engine that failed it. An engine that is leaving gets nothing from any box;
// one that answers but does not hold the model is fit for others; any other failure has the router avoid the engine.
func (e *engineRuns) noteFailure(r *modelRequest, id string, err error) {
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
		e.router.Failed(id, avoidTime)
	}
}

// cancelLater frees an engine of a run that no caller waits for. A failure needs no line: the run then ends by
// itself.
func (e *engineRuns) cancelLater(id, request string) {
	client := e.client(id)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
		defer cancel()
		_, _ = client.Cancel(ctx, request)
	}()
}

// neverBegan makes the engine refuse a claimed run's id from now on, and reports whether the engine confirms that the
// run never began there: only the incarnation that the run was claimed for can.
func (e *engineRuns) neverBegan(claim claims.Claim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
	defer cancel()
	if _, listed := e.fleet.snapshot.Load().engines[claim.Upstream]; !listed {
		return false
	}
	answer, err := e.client(claim.Upstream).Cancel(ctx, claim.RequestID)
	return err == nil && !answer.Started && answer.Incarnation == claim.Incarnation
}

// notStarted reports whether an engine confirmed that it did not start the request, or got nothing.
func notStarted(err error) bool {
	return errors.Is(err, engine.ErrNotStarted) || errors.Is(err, engine.ErrLeaving)
}
