package box

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/engine"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

const (
	// retryShare is the share of requests that may be sent to a second engine.
	retryShare = 0.1
	// maxAttempts bounds the engines that one request is sent to.
	maxAttempts = 3
	// maxResumes bounds the resumptions of one run.
	maxResumes = 5
	// resumePause is the longest pause before a resumption.
	resumePause = 200 * time.Millisecond
	// avoidTime is how long an engine that failed gets nothing if others can.
	avoidTime = 5 * time.Second
	// cancelTime bounds the cancelling of a run that nobody wants any more.
	cancelTime = 2 * time.Second
)

// choice is an engine chosen for a job.
type choice struct {
	routing.Choice
	// incarnation of the engine as it was reported last.
	incarnation string
}

// choose picks an engine that holds what the job needs and has not refused it.
func (b *Box) choose(j *job) (choice, *refusal) {
	list := b.fleet.candidates(j.item, j.adapter)
	list = slices.DeleteFunc(list, func(c routing.Candidate) bool { return j.refusedBy[c.ID] })
	picked, err := b.router.Pick(j.item, j.request.GetPrompt(), list)
	if err != nil {
		b.demand.Miss(j.key, b.router.Service(j.item))
		return choice{}, notRun(connect.CodeUnavailable, reasonNoUpstream, "no engine holds the model at the moment", comeBack)
	}
	incarnation := b.fleet.snapshot.Load().engines[picked.ID].holding.Incarnation
	return choice{Choice: picked, incarnation: incarnation}, nil
}

// serve runs a job to its end: a whole answer in d, or a refusal.
func (b *Box) serve(ctx context.Context, j *job, d *delivery) *refusal {
	if j.request.GetNotRepeatable() {
		return b.serveOnce(ctx, j, d)
	}
	return b.serveRepeatable(ctx, j, d)
}

// serveRepeatable runs a job that may run several times.
func (b *Box) serveRepeatable(ctx context.Context, j *job, d *delivery) *refusal {
	b.retries.Request()
	picked, refused := b.choose(j)
	if refused != nil {
		return refused
	}
	done, refused := b.admit(j, picked)
	if refused != nil {
		return refused
	}
	defer done()
	// mayHaveRun tells that some engine may have run it in part.
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		id := uuid.Must(uuid.NewV7()).String()
		if !d.begin(id) {
			return unknown(reasonBrokenOff, "the answer broke off and can't be resumed: send the request again")
		}
		err := b.run(ctx, j, picked, d)
		if err == nil {
			return nil
		}
		if !notStarted(err) {
			mayHaveRun = true
			b.cancelLater(picked.ID, id)
		}
		if ctx.Err() != nil || d.sendErr != nil {
			return gone(ctx)
		}
		b.noteFailure(j, picked.ID, err)
		// An engine that did not start the request did no work: trying another makes no storm.
		if attempt == maxAttempts || !(notStarted(err) || b.retries.Retry()) {
			return exhausted(mayHaveRun)
		}
		if picked, refused = b.choose(j); refused != nil {
			return exhausted(mayHaveRun)
		}
	}
}

// run hands the job to an engine under d.id, and resumes it there as long as that helps.
func (b *Box) run(ctx context.Context, j *job, picked choice, d *delivery) error {
	ended := b.router.Sent(j.item, j.request.GetPrompt(), picked.ID)
	defer ended()
	client := b.engineClient(picked.ID)
	begun := time.Now()
	maxTokens := j.request.GetMaxTokens()
	if maxTokens == 0 || maxTokens > j.model.MaxTokens {
		maxTokens = j.model.MaxTokens
	}
	err := client.Generate(ctx, engine.Request{
		ID:        d.id,
		Model:     j.item,
		Adapter:   j.adapter,
		Prompt:    j.request.GetPrompt(),
		MaxTokens: maxTokens,
		Priority:  j.model.Priority,
	}, d.take)
	err = b.resume(ctx, client, d, err)
	if err == nil {
		b.router.Served(j.item, time.Since(begun))
	}
	return err
}

// resume goes on with a run whose stream broke off, at the first piece that is missing.
func (b *Box) resume(ctx context.Context, client *engine.Client, d *delivery, err error) error {
	for range maxResumes {
		broken := errors.Is(err, engine.ErrBrokenOff) || errors.Is(err, engine.ErrForeign) ||
			(d.next > 0 && notStarted(err))
		if err == nil || !broken || ctx.Err() != nil || d.sendErr != nil {
			return err
		}
		b.set.GetOrCreateCounter("ospreymoor_resumptions_total").Inc()
		pause(ctx, rand.N(resumePause))
		err = client.Resume(ctx, d.id, d.next, d.take)
	}
	return err
}

// engineClient returns the client of an engine of the box list.
func (b *Box) engineClient(id string) *engine.Client {
	return b.engines.get(id, b.fleet.snapshot.Load().engines[id].box)
}

// noteFailure keeps the job from an engine that refused it, and all requests from one that
// failed or leaves.
func (b *Box) noteFailure(j *job, id string, err error) {
	if j.refusedBy == nil {
		j.refusedBy = map[string]bool{}
	}
	j.refusedBy[id] = true
	switch {
	case errors.Is(err, engine.ErrLeaving):
		if b.view.MarkLeaving(id) {
			wake(b.beatNow)
		}
	case errors.Is(err, engine.ErrNotStarted) && !engine.IsDialError(err):
		// It answers, but does not hold the model any more.
	default:
		b.router.Failed(id, avoidTime)
	}
}

// cancelLater frees an engine of a run that nobody wants any more.
func (b *Box) cancelLater(id, request string) {
	client := b.engineClient(id)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
		defer cancel()
		_, _ = client.Cancel(ctx, request)
	}()
}

// notStarted tells that an engine vouched that it did not start the request, or got nothing.
func notStarted(err error) bool {
	return errors.Is(err, engine.ErrNotStarted) || errors.Is(err, engine.ErrLeaving)
}

// exhausted is the refusal after the last attempt.
func exhausted(mayHaveRun bool) *refusal {
	if mayHaveRun {
		return unknown(reasonUpstream, "engines failed under the request: send it again")
	}
	return notRun(connect.CodeUnavailable, reasonUpstream, "no engine took the request", comeBack)
}
