package gateway

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/places"
)

// maxBufferedAnswer is the size in bytes up to which a plain answer is buffered until it is complete, so that a
// broken one can be replaced by the answer of another upstream. A longer one is passed on as it arrives.
const maxBufferedAnswer = 1 << 20

// servePlain serves a request whose answer is not a stream.
func (r *inflight) servePlain(ctx context.Context, w http.ResponseWriter) error {
	// failed is the latest failure that an upstream answered; it goes to the caller if no other
	// upstream does better.
	var failed *bufferedAnswer
	lastFailure := reasonBroken
	defer r.endPlace(places.Unused)
	for {
		if denied := r.takeAttempt(); denied != "" {
			return r.finish(w, failed, r.deniedRefusal(denied, lastFailure))
		}
		choice, refused := r.pick(ctx)
		if refused != nil {
			return r.finish(w, failed, refused)
		}
		buffered, err := r.attemptPlain(ctx, choice)
		switch {
		case err == nil && r.mayReplace(buffered.status):
			failed = buffered
		case err == nil:
			return r.finish(w, buffered, nil)
		case ctx.Err() != nil:
			return r.finish(w, nil, r.contextRefusal(ctx))
		case r.lacksAnyWay(err):
			return r.finish(w, failed, r.refusalFor(reasonNoLinks, 0))
		case !r.mayRetry(err):
			return r.finish(w, nil, mayHaveRun(reasonBroken))
		case notExecuted(err):
			lastFailure = reasonNotExecuted
		default:
			lastFailure = reasonBroken
		}
	}
}

// attemptPlain sends the request once and returns the whole answer, whatever its status.
func (r *inflight) attemptPlain(ctx context.Context, choice dispatch.Choice) (*bufferedAnswer, error) {
	begun := time.Now()
	answer, ticket, err := r.send(ctx, choice, "")
	defer ticket.End()
	result := places.Failed
	defer func() { r.endPlace(result) }()
	if err != nil {
		if errors.Is(ctx.Err(), context.Canceled) || withdrawn(err) {
			result = places.Unused
		}
		return nil, err
	}
	if answer.NotExecuted {
		result = places.TurnedAway
		r.gateway.discard(answer)
		return nil, errNotExecuted
	}
	ticket.Started()
	buffered, err := r.bufferAnswer(answer)
	ticket.End()
	if err != nil {
		r.recordBroken(ctx, choice, answer.Status, 0, err)
		return nil, err
	}
	r.noteAnswered()
	if buffered.status < http.StatusInternalServerError {
		result = places.Served
		r.notePartsAnswered(begun)
	}
	if buffered.remainder != nil {
		buffered.onRemainderEnd = func(err error) { r.recordRemainder(ctx, choice, buffered.status, err) }
	} else if buffered.status < http.StatusInternalServerError {
		r.attemptSucceeded(choice)
	}
	return buffered, nil
}

// recordRemainder records how an answer that was too long to be buffered ended; err is nil if it is complete. That its
// caller left shows nothing about the upstream.
func (r *inflight) recordRemainder(ctx context.Context, choice dispatch.Choice, status int, err error) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
	case err != nil:
		r.recordBroken(ctx, choice, status, time.Since(r.request.Arrived), err)
	case status < http.StatusInternalServerError:
		r.attemptSucceeded(choice)
	}
}

// bufferedAnswer is an answer that is read before any of it is passed to the caller.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// remainder reads the rest of an answer that is too long to be buffered; nil if body is complete. onRemainderEnd is
	// called once the upstream has sent it, or failed to; nil calls nothing.
	remainder      io.ReadCloser
	onRemainderEnd func(err error)
}

// bufferAnswer reads an answer until it is complete, too long to be buffered, or exceeds the box's memory budget.
// The error is ErrBroken.
func (r *inflight) bufferAnswer(answer *Answer) (*bufferedAnswer, error) {
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header}
	for {
		chunk := make([]byte, min(bodyChunkSize, max(bytes.MinRead, len(buffered.body))))
		n, err := answer.Body.Read(chunk)
		buffered.body = append(buffered.body, chunk[:n]...)
		taken := r.gateway.CallerMemory.Reserve(int64(n))
		if taken {
			r.bufferedBytes += int64(n)
		}
		if err == io.EOF {
			_ = answer.Body.Close()
			return buffered, nil
		}
		if err != nil {
			_ = answer.Body.Close()
			return nil, errors.WithType(err, ErrBroken)
		}
		if !taken || len(buffered.body) > maxBufferedAnswer {
			buffered.remainder = answer.Body
			return buffered, nil
		}
	}
}

// releaseBuffered returns the memory of the request's buffered answers to the box's budget.
func (r *inflight) releaseBuffered() { r.gateway.CallerMemory.Release(r.bufferedBytes) }

// finish writes the final answer: the upstream's if there is one, otherwise the refusal.
func (r *inflight) finish(w http.ResponseWriter, buffered *bufferedAnswer, refused *refusal) error {
	if buffered == nil {
		r.refuse(w, refused)
		return nil
	}
	err := buffered.write(w)
	r.logEnd(buffered.status, "", err)
	if err != nil {
		return ErrAborted
	}
	return nil
}

// write passes the answer on.
func (b *bufferedAnswer) write(w http.ResponseWriter) error {
	maps.Copy(w.Header(), b.header)
	if b.remainder == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	w.WriteHeader(b.status)
	_, err := w.Write(b.body)
	if b.remainder == nil {
		return err
	}
	defer func() { _ = b.remainder.Close() }() // It is complete, or the error is known.
	if err != nil {
		return err
	}
	return b.writeRemainder(w)
}

// writeRemainder passes the rest of a long answer on.
func (b *bufferedAnswer) writeRemainder(w http.ResponseWriter) error {
	source := &notedReader{Reader: b.remainder}
	_, err := io.Copy(w, source)
	if b.onRemainderEnd != nil && (err == nil || source.err != nil) {
		b.onRemainderEnd(source.err)
	}
	return err
}

// notedReader notes the error of its source, other than io.EOF.
type notedReader struct {
	io.Reader
	err error
}

// Read reads from the source.
func (r *notedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != io.EOF {
		r.err = err
	}
	return n, err
}
