package gateway

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// maxHeldAnswer is the size in bytes up to which a plain answer is held until it is whole, so that a
// broken one can be replaced by another upstream's. A longer one is passed on as it comes.
const maxHeldAnswer = 1 << 20

// servePlain answers a request whose answer comes in one piece.
func (r *inflight) servePlain(ctx context.Context, w http.ResponseWriter) error {
	// failed is the latest failure that an upstream answered; it goes to the caller if no other
	// upstream does better.
	var failed *heldAnswer
	lastFailure := reasonBroken
	for {
		if denied := r.takeAttempt(); denied != "" {
			return r.finish(w, failed, r.deniedRefusal(denied, lastFailure))
		}
		choice, refused := r.pick(ctx)
		if refused != nil {
			return r.finish(w, failed, refused)
		}
		held, err := r.attemptPlain(ctx, choice)
		switch {
		case err == nil && r.mayReplace(held.status):
			failed = held
		case err == nil:
			return r.finish(w, held, nil)
		case ctx.Err() != nil:
			return r.finish(w, nil, r.ended(ctx))
		case !r.mayRetry(err):
			return r.finish(w, nil, mayHaveRun(reasonBroken))
		case notExecuted(err):
			lastFailure = reasonNotAccepted
		default:
			lastFailure = reasonBroken
		}
	}
}

// attemptPlain sends the request once and returns the whole answer, whatever its status.
func (r *inflight) attemptPlain(ctx context.Context, choice dispatch.Choice) (*heldAnswer, error) {
	answer, ticket, err := r.send(ctx, choice, "")
	defer ticket.End()
	if err != nil {
		return nil, err
	}
	if answer.NotExecuted {
		discard(answer)
		return nil, errNotExecuted
	}
	ticket.Started()
	held, err := r.hold(answer)
	ticket.End()
	if err != nil {
		r.broke(ctx, choice, answer.Status, 0, err)
		return nil, err
	}
	r.answered()
	if held.status < http.StatusInternalServerError {
		r.attemptSucceeded(choice)
	}
	return held, nil
}

// heldAnswer is an answer that was read before the caller gets any of it.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
	// rest is what follows body of an answer that is too long to be held; nil if body is all.
	rest io.ReadCloser
}

// hold reads an answer until it is whole, too long to be held, or more than this box may hold now. The error is ErrBroken.
func (r *inflight) hold(answer *Answer) (*heldAnswer, error) {
	held := &heldAnswer{status: answer.Status, header: answer.Header}
	for {
		piece := make([]byte, min(bodyPiece, max(bytes.MinRead, len(held.body))))
		n, err := answer.Body.Read(piece)
		held.body = append(held.body, piece[:n]...)
		taken := r.gateway.Holdings.Take(int64(n))
		if taken {
			r.holds += int64(n)
		}
		if err == io.EOF {
			_ = answer.Body.Close()
			return held, nil
		}
		if err != nil {
			_ = answer.Body.Close()
			return nil, errors.WithType(err, ErrBroken)
		}
		if !taken || len(held.body) > maxHeldAnswer {
			held.rest = answer.Body
			return held, nil
		}
	}
}

// releaseHeld gives up what the request's answers held of the box's memory.
func (r *inflight) releaseHeld() { r.gateway.Holdings.Give(r.holds) }

// discard reads an answer that nobody needs, so that its connection can be used again. An error
// needs no log line: it only costs the connection.
func discard(answer *Answer) {
	_, _ = io.CopyN(io.Discard, answer.Body, maxHeldAnswer)
	_ = answer.Body.Close()
}

// finish writes the final answer: the upstream's if there is one, and the refusal otherwise.
func (r *inflight) finish(w http.ResponseWriter, held *heldAnswer, refused *refusal) error {
	if held == nil {
		r.refuse(w, refused)
		return nil
	}
	err := held.write(w)
	r.logEnd(held.status, "", err)
	if err != nil {
		return ErrAborted
	}
	return nil
}

// write passes the answer on.
func (h *heldAnswer) write(w http.ResponseWriter) error {
	maps.Copy(w.Header(), h.header)
	if h.rest == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	w.WriteHeader(h.status)
	_, err := w.Write(h.body)
	if h.rest != nil {
		if err == nil {
			_, err = io.Copy(w, h.rest)
		}
		_ = h.rest.Close()
	}
	return err
}
