package gateway

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// maxHeldAnswer is the size up to which a plain answer is held until it is whole, so that a
// broken one can be replaced by another back end's.
const maxHeldAnswer = 1 << 20

// servePlain answers a request whose answer comes in one piece.
func (r *run) servePlain(ctx context.Context, w http.ResponseWriter) error {
	why := reasonBroken
	// failed is the last failure that a back end answered; it goes to the caller if no other
	// back end does better.
	var failed *heldAnswer
	for {
		allowed, short := r.maySend()
		if !allowed {
			return r.finish(w, failed, r.exhausted(why, short))
		}
		choice, refused := r.pick(ctx)
		if refused != nil {
			return r.finish(w, failed, refused)
		}
		answer, ticket, err := r.send(ctx, choice, "")
		if err == nil && !answer.NotExecuted {
			ticket.Started()
			var held *heldAnswer
			held, err = hold(answer)
			ticket.End()
			if err == nil && r.settles(held) {
				if held.status < http.StatusInternalServerError {
					r.gateway.Loads.RecordOutcome(r.last, true)
				}
				return r.finish(w, held, nil)
			}
			if err == nil {
				failed = held
				continue
			}
			r.gateway.Loads.RecordOutcome(r.last, false)
			r.logAttempt(choice, answer.Status, 0, err)
		} else if err == nil {
			discard(answer)
		}
		ticket.End()
		if ctx.Err() != nil {
			return r.finish(w, nil, r.over(ctx))
		}
		if err != nil && !errors.Is(err, ErrNotSent) {
			why = reasonBroken
			if !r.route.Idempotent() {
				return r.finish(w, nil, mayHaveRun(why))
			}
		} else {
			why = reasonNotAccepted
		}
	}
}

// settles tells whether an answer is final.
func (r *run) settles(held *heldAnswer) bool {
	return held.status < http.StatusInternalServerError || !r.route.Idempotent()
}

// exhausted is the final answer when no more sendings are allowed.
func (r *run) exhausted(why, short reason) *refusal {
	if r.tries == 0 {
		return notRun(short, whenRoom)
	}
	if r.route.Idempotent() {
		// It may have run, but may also run again.
		return notRun(why, soon)
	}
	return mayHaveRun(why)
}

// heldAnswer is a whole answer.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
	// rest of a body too long to be held; nil if body is all.
	rest io.ReadCloser
}

// hold reads an answer until it is whole.
func hold(answer *Answer) (*heldAnswer, error) {
	var body bytes.Buffer
	n, err := io.CopyN(&body, answer.Body, maxHeldAnswer+1)
	held := &heldAnswer{status: answer.Status, header: answer.Header, body: body.Bytes()}
	if n > maxHeldAnswer {
		held.rest = answer.Body
		return held, nil
	}
	_ = answer.Body.Close()
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.WithType(err, ErrBroken)
	}
	return held, nil
}

// discard gives up what is left of an answer.
func discard(answer *Answer) {
	_, _ = io.CopyN(io.Discard, answer.Body, maxHeldAnswer)
	_ = answer.Body.Close()
}

// finish writes the final answer: a back end's, or our own.
func (r *run) finish(w http.ResponseWriter, held *heldAnswer, refused *refusal) error {
	if held == nil {
		r.gateway.refuse(w, r.request, r, refused)
		return nil
	}
	maps.Copy(w.Header(), held.header)
	if held.rest == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(held.body)))
	}
	w.WriteHeader(held.status)
	_, err := w.Write(held.body)
	if held.rest != nil {
		if err == nil {
			_, err = io.Copy(w, held.rest)
		}
		_ = held.rest.Close()
	}
	r.logEnd(held.status, "", err)
	if err != nil {
		return ErrAborted
	}
	return nil
}
