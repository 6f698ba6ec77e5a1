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

// stream is a request that is answered by events, with the part of the answer that the caller has.
type stream struct {
	*inflight
	w http.ResponseWriter
	// begun is set once the head was passed on: from then on the request can't be refused.
	begun bool
	// lastEventID is the id of the last whole event that the caller has; empty if there is none.
	lastEventID string
}

// serveStream answers a request by events. If the route allows it, the stream resumes at another
// upstream after the last whole event that the caller has.
func (r *inflight) serveStream(ctx context.Context, w http.ResponseWriter) error {
	s := &stream{inflight: r, w: w, lastEventID: r.request.LastEventID}
	for {
		if denied := s.takeAttempt(); denied != "" {
			return s.end(s.deniedRefusal(denied, reasonBroken))
		}
		choice, refused := s.pick(ctx)
		if refused != nil {
			return s.end(refused)
		}
		done, err := s.attempt(ctx, choice)
		switch {
		case done:
			return err
		case ctx.Err() != nil:
			return s.end(s.ended(ctx))
		case !s.mayRetry(err):
			return s.end(mayHaveRun(reasonBroken))
		}
	}
}

// attempt sends the request once and passes its events on. done reports that the request is over;
// err is then what Serve returns.
func (s *stream) attempt(ctx context.Context, choice dispatch.Choice) (done bool, err error) {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, ticket, err := s.send(sendCtx, choice, s.lastEventID)
	defer ticket.End()
	if err != nil {
		return false, err
	}
	if answer.NotExecuted {
		discard(answer)
		return false, errNotExecuted
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK {
		return s.passFailure(answer)
	}
	err = s.pass(answer, ticket)
	if err == nil {
		s.answered()
		s.attemptSucceeded(choice)
		s.notePause(choice)
		s.logEnd(http.StatusOK, "", nil)
		return true, nil
	}
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		return false, err
	}
	s.broke(ctx, choice, answer.Status, time.Since(s.request.Arrived), err)
	return false, err
}

// notePause counts a stream whose events paused for too long at the engine that sent them all.
func (s *stream) notePause(choice dispatch.Choice) {
	if s.route.GapTarget > 0 && s.attempts.sent == 1 && s.timing.longestGap > s.route.GapTarget {
		s.gateway.Loads.RecordPause(choice.Upstream.ID)
		s.gateway.Metrics.GetOrCreateCounter("ospreymoor_streams_paused_total").Inc()
	}
}

// passFailure passes the failure of an upstream on, or has another upstream try. A failure can't
// follow events that the caller has. Unlike a plain answer, a failure that is not passed on at once
// is not kept for later, so it is replaced only while the route allows one more run.
func (s *stream) passFailure(answer *Answer) (done bool, err error) {
	if s.begun || (s.mayReplace(answer.Status) && s.hasRunsLeft()) {
		discard(answer)
		return false, ErrBroken
	}
	held, err := s.hold(answer)
	if err != nil {
		return false, err
	}
	s.answered()
	return true, s.finish(s.w, held, nil)
}

// errCallerGone means that the caller's connection does not take the answer any more.
const errCallerGone = errors.ConstError("caller's connection is gone")

// pass copies whole events to the caller until the stream is complete. A part of an event is never
// passed on, so that a resumption continues where the caller is. The error is ErrBroken if the upstream
// broke off, and errCallerGone.
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

// begin passes the head on. It is that of the first upstream whose events the caller gets; upstreams
// at which the stream resumes add events only.
func (s *stream) begin(answer *Answer) {
	s.begun = true
	s.timing.firstByte = time.Now()
	maps.Copy(s.w.Header(), answer.Header)
	s.w.WriteHeader(answer.Status)
}

// write passes one event on at once.
func (s *stream) write(event eventstream.Event) error {
	if _, err := s.w.Write(event.Bytes); err != nil {
		return errors.WithType(err, errCallerGone)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.WithType(err, errCallerGone)
	}
	s.timing.event()
	if event.ID != "" {
		s.lastEventID = event.ID
	}
	return nil
}

// end finishes a stream that no upstream completes. Once it has begun it can only be broken off; the
// status of the refusal is then only logged.
func (s *stream) end(refused *refusal) error {
	if !s.begun {
		s.refuse(s.w, refused)
		return nil
	}
	s.logEnd(refused.status, refused.reason, ErrAborted)
	return ErrAborted
}
