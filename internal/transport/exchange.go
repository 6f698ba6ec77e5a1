package transport

import (
	"context"

	"github.com/juju/errors"
)

// errRejected is the error of a request that got a connection whose latest answer was rejected. No byte of it is written.
const errRejected = errors.ConstError("the connection carried the answer of another request")

// exchange is one request on a connection, with the verdict on its answer. net/http returns a connection to its pool
// before its caller gets an answer without a body, so that the next request may have the connection before the verdict.
// It then waits for it.
type exchange struct {
	settled chan struct{}
	// rejected is read once settled is closed.
	rejected bool
}

func newExchange() *exchange { return &exchange{settled: make(chan struct{})} }

// settle ends the exchange. It is called once.
func (e *exchange) settle(rejected bool) {
	e.rejected = rejected
	close(e.settled)
}

// wait returns nil once the answer was accepted, and errRejected if it was rejected. A nil exchange has no answer.
func (e *exchange) wait(ctx context.Context) error {
	if e == nil {
		return nil
	}
	select {
	case <-e.settled:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if e.rejected {
		return errRejected
	}
	return nil
}

// wasRejected reports whether the answer is known to have been rejected.
func (e *exchange) wasRejected() bool {
	if e == nil {
		return false
	}
	select {
	case <-e.settled:
		return e.rejected
	default:
		return false
	}
}
