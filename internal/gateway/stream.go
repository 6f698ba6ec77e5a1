package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/eventstream"
)

// stream is the answer of a stream as far as the caller has it.
type stream struct {
	*run
	w http.ResponseWriter
	// begun tells that the head has gone to the caller.
	begun bool
	// lastEventID is the last whole event that the caller has.
	lastEventID string
	events      int
}

// serveStream answers a request by events, from several back ends one after the other if the
// route allows it.
func (r *run) serveStream(ctx context.Context, w http.ResponseWriter) error {
	s := &stream{run: r, w: w, lastEventID: r.request.LastEventID}
	for {
		allowed, short := r.maySend()
		if !allowed {
			return s.end(r.exhausted(reasonBroken, short))
		}
		choice, refused := r.pick(ctx)
		if refused != nil {
			return s.end(refused)
		}
		over, err := s.attempt(ctx, choice)
		if over {
			return err
		}
		if ctx.Err() != nil {
			return s.end(r.over(ctx))
		}
		if err != nil && !errors.Is(err, ErrNotSent) && !r.route.Idempotent() {
			return s.end(mayHaveRun(reasonBroken))
		}
	}
}

// attempt sends the request once and passes its events on. over tells that the answer is done.
func (s *stream) attempt(ctx context.Context, choice dispatch.Choice) (over bool, err error) {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, ticket, err := s.send(sendCtx, choice, s.lastEventID)
	defer ticket.End()
	if err != nil {
		return false, err
	}
	if answer.NotExecuted {
		discard(answer)
		return false, nil
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK {
		return s.passFailure(answer)
	}
	err = s.pass(answer, ticket)
	if err == nil {
		s.gateway.Loads.RecordOutcome(s.last, true)
		s.logEnd(http.StatusOK, "", nil)
		return true, nil
	}
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		return false, err
	}
	s.gateway.Loads.RecordOutcome(s.last, false)
	s.logAttempt(choice, answer.Status, time.Since(s.request.Arrived), err)
	return false, err
}

// passFailure passes a failure on that a back end answered, or has another one try.
func (s *stream) passFailure(answer *Answer) (over bool, err error) {
	if s.begun || (answer.Status >= http.StatusInternalServerError && s.mayTryAgain()) {
		discard(answer)
		return false, ErrBroken
	}
	held, err := hold(answer)
	if err != nil {
		return false, err
	}
	return true, s.finish(s.w, held, nil)
}

func (s *stream) mayTryAgain() bool {
	return s.route.Idempotent() && s.tries < s.route.MaxAttempts
}

// errCallerGone says that the caller's connection does not take the answer any more.
const errCallerGone = errors.ConstError("caller's connection is gone")

// pass copies whole events to the caller until the stream is complete.
func (s *stream) pass(answer *Answer, ticket *dispatch.Ticket) error {
	events := eventstream.NewReader(answer.Body)
	for {
		event, err := events.Next()
		if err == io.EOF {
			if !s.begun {
				s.begin(answer)
			}
			return nil
		}
		if err != nil {
			return errors.WithType(err, ErrBroken)
		}
		ticket.Started()
		if !s.begun {
			s.begin(answer)
		}
		if err := s.write(event); err != nil {
			return err
		}
	}
}

// begin sends the head: that of the first back end whose events the caller gets.
func (s *stream) begin(answer *Answer) {
	s.begun = true
	s.firstByte = time.Now()
	maps.Copy(s.w.Header(), answer.Header)
	s.w.WriteHeader(answer.Status)
}

func (s *stream) write(event eventstream.Event) error {
	if _, err := s.w.Write(event.Bytes); err != nil {
		return errors.WithType(err, errCallerGone)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.WithType(err, errCallerGone)
	}
	now := time.Now()
	if s.events > 0 {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEvent))
	}
	s.lastEvent = now
	s.events++
	if event.ID != "" {
		s.lastEventID = event.ID
	}
	return nil
}

// end finishes a stream that no back end completes.
func (s *stream) end(refused *refusal) error {
	if !s.begun {
		s.gateway.refuse(s.w, s.request, s.run, refused)
		return nil
	}
	s.logEnd(refused.status, refused.reason, ErrAborted)
	return ErrAborted
}
