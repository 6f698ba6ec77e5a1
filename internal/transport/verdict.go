package transport

import (
	"context"

	"github.com/juju/errors"
)

// errRejected is the error of a request that got a connection whose latest answer was rejected. No byte of it is written.
const errRejected = errors.ConstError("the connection carried the answer of another request")

// verdict is whether the answer to one request on a connection belongs to that request. net/http returns a connection to
// its pool before its caller gets an answer without a body, so that the next request may have the connection before the
// verdict is known. It then waits for it.
type verdict struct {
	settled chan struct{}
	// rejected is read once settled is closed.
	rejected bool
}

func newVerdict() *verdict { return &verdict{settled: make(chan struct{})} }

// settle sets the verdict. It is called once.
func (v *verdict) settle(rejected bool) {
	v.rejected = rejected
	close(v.settled)
}

// wait returns nil once the answer was accepted, and errRejected if it was rejected. Nothing was answered
// under a nil verdict.
func (v *verdict) wait(ctx context.Context) error {
	if v == nil {
		return nil
	}
	select {
	case <-v.settled:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if v.rejected {
		return errRejected
	}
	return nil
}

// wasRejected reports whether the answer is known to have been rejected.
func (v *verdict) wasRejected() bool {
	if v == nil {
		return false
	}
	select {
	case <-v.settled:
		return v.rejected
	default:
		return false
	}
}
