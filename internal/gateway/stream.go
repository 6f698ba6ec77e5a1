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
	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// stream is a request whose answer is a stream of events, with the progress of what was passed to the caller.
type stream struct {
	*inflight
	w http.ResponseWriter
	// headWritten is set once the head was passed on. From then on the request cannot be refused.
	headWritten bool
	// lastEventID is the id of the last complete event that the caller received; empty if there is none.
	lastEventID string
}

// serveStream answers a request with a stream of events. If the route allows it, the stream resumes at another
// upstream after the last complete event that the caller received.
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
			return s.end(s.contextRefusal(ctx))
		case s.lacksAnyWay(err):
			return s.end(s.refusalFor(reasonNoLinks, 0))
		case !s.mayRetry(err):
			return s.end(mayHaveRun(reasonBroken))
		}
	}
}

// attempt sends the request once and passes its events on. done is set if the request is over; err is then the
// result of Serve.
func (s *stream) attempt(ctx context.Context, choice dispatch.Choice) (done bool, err error) {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, ticket, err := s.send(sendCtx, choice, s.lastEventID)
	defer ticket.End()
	defer s.finishReservation(ctx)
	if err != nil {
		return false, err
	}
	if answer.NotExecuted {
		s.gateway.discard(answer)
		return false, errNotExecuted
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK {
		return s.relayFailure(answer)
	}
	err = s.relay(ctx, answer, ticket, choice.Upstream)
	if err == nil {
		s.noteAnswered()
		s.notePartsAnswered(s.writingSince)
		s.gateway.endStream(s.inflight)
		s.attemptSucceeded(choice)
		s.recordPause(choice)
		s.logEnd(http.StatusOK, "", nil)
		return true, nil
	}
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		return false, err
	}
	s.recordBroken(ctx, choice, answer.Status, time.Since(s.request.Arrived), err)
	return false, err
}

// recordPause records a pause between events that exceeded the route's target, if a single engine sent the whole
// stream.
func (s *stream) recordPause(choice dispatch.Choice) {
	if s.route.GapTarget > 0 && s.attempts.sent == 1 && s.timing.longestGap > s.route.GapTarget {
		s.gateway.Loads.RecordPause(choice.Upstream.ID)
		s.gateway.Metrics.GetOrCreateCounter("ospreymoor_streams_paused_total").Inc()
	}
}

// relayFailure passes on the failure of an upstream, or lets another upstream try. A failure cannot follow events
// that the caller already has. A failure that is not passed on at once is discarded, unlike that of a plain
// answer, so it is replaced only while the route allows one more run.
func (s *stream) relayFailure(answer *Answer) (done bool, err error) {
	if s.headWritten || (s.mayReplace(answer.Status) && s.hasRunsLeft()) {
		s.gateway.discard(answer)
		return false, ErrBroken
	}
	buffered, err := s.bufferAnswer(answer)
	if err != nil {
		return false, err
	}
	s.noteAnswered()
	return true, s.finish(s.w, buffered, nil)
}

// errCallerGone means that the caller's connection no longer accepts the answer.
const errCallerGone = errors.ConstError("caller's connection is gone")

// relay copies complete events to the caller until the stream is complete. It never passes on part of an event, so
// that a stream can resume exactly where the caller is. The error is ErrBroken if the upstream broke off, and
// errCallerGone if the caller's connection failed.
func (s *stream) relay(ctx context.Context, answer *Answer, ticket *dispatch.Ticket, upstream *fleet.State) error {
	events := eventstream.NewReader(answer.Body)
	events.Reserve, events.Release = s.gateway.CallerMemory.Reserve, s.gateway.CallerMemory.Release
	defer events.Close()
	for begun := false; ; begun = true {
		event, err := events.Next()
		if err == io.EOF {
			if !s.headWritten {
				s.writeHead(answer)
			}
			return nil
		}
		if err != nil {
			return errors.WithType(err, ErrBroken)
		}
		ticket.Started()
		s.recordContact(upstream.Hall)
		s.finishReservation(ctx)
		if !begun {
			s.writingSince = time.Now()
			s.beginEvents(upstream)
		} else if time.Since(s.writingSince) >= soundAfter {
			s.notePartsAnswered(s.writingSince)
		}
		if !s.headWritten {
			s.writeHead(answer)
		}
		if err := s.write(event); err != nil {
			return err
		}
	}
}

// writeHead passes the head on. It is that of the first upstream whose events the caller gets; upstreams at
// which the stream resumes only add events.
func (s *stream) writeHead(answer *Answer) {
	s.headWritten = true
	s.timing.firstByte = time.Now()
	maps.Copy(s.w.Header(), answer.Header)
	s.w.WriteHeader(answer.Status)
}

// write passes one event on without buffering.
func (s *stream) write(event eventstream.Event) error {
	if _, err := s.w.Write(event.Bytes); err != nil {
		return errors.WithType(err, errCallerGone)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errors.WithType(err, errCallerGone)
	}
	s.timing.recordEvent()
	if event.ID != "" {
		s.lastEventID = event.ID
	}
	return nil
}

// end ends a stream that no upstream completes. Once its head was written the stream can only be broken off; the
// status of the refusal is then only logged.
func (s *stream) end(refused *refusal) error {
	if !s.headWritten {
		s.refuse(s.w, refused)
		return nil
	}
	s.logEnd(refused.status, refused.reason, ErrAborted)
	return ErrAborted
}
