package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// The kinds of failure of an attempt.
const (
	// ErrNotSent means that no part of the request reached the upstream.
	ErrNotSent = errors.ConstError("request was not sent: it may go to another upstream")
	// ErrNoTunnel means that no other box could be asked for a tunnel. Such an error is also of type ErrNotSent.
	ErrNoTunnel = errors.ConstError("no other box opens a connection to the upstream")
	// ErrBroken means that the request was sent but no complete answer arrived: it may have run.
	ErrBroken = errors.ConstError("answer lost or broken: the request may have run")
	// ErrOtherAnswer means that the upstream answered another request in place of this one. Such an error is also of type
	// ErrBroken. The connection is closed.
	ErrOtherAnswer = errors.ConstError("answer of another request")
	// ErrHeadTooLong means that the head of the answer was longer than this box reads. Such an error is also of type
	// ErrBroken.
	ErrHeadTooLong = errors.ConstError("head of the answer too long")
)

// Attempt is a request as it is sent to one upstream once.
type Attempt struct {
	Request *Request
	// TimeLeft is the time that the upstream may take; 0 sets no limit.
	TimeLeft time.Duration
	// LastEventID is the event after which the stream resumes; empty for a stream from its beginning.
	LastEventID string
	// Urgency ranks requests at an engine; 0 is the most urgent.
	Urgency int
	// Customer is the name of the customer that the request is run for; empty if there is none.
	Customer string
	// Tunnelled sends the attempt over a connection that another box opens.
	Tunnelled bool
	// BeforeWrite is called right before the first byte is written. If it returns an error, nothing is written, and the
	// attempt fails with that error as one of type ErrNotSent.
	BeforeWrite func() error
}

// Answer is the head of an upstream's answer, with the body still to be read.
type Answer struct {
	Status int
	Header http.Header
	// NotExecuted is set if the upstream did not run the request and never will.
	NotExecuted bool
	// Misdirected is set if another upstream now has the address, or if this one lacks the model. NotExecuted is
	// then set as well.
	Misdirected bool
	// Body ends with io.EOF only if it is complete, or if EndsWithConnection is set and its connection was closed.
	Body io.ReadCloser
	// EndsWithConnection means that the answer has neither a length nor chunks.
	EndsWithConnection bool
}

// Upstreams is the interface to the upstreams.
type Upstreams struct {
	// Send makes one attempt and returns the head of the answer. The error is ErrNotSent, ErrBroken or that of
	// ctx. When ctx ends, the upstream cancels its run.
	Send func(ctx context.Context, to *fleet.Endpoint, attempt Attempt) (*Answer, error)
	// RefusesConnection reports whether the upstream's host refuses connections to it, which means that its process
	// is gone. It returns false if the host does not answer before ctx ends. If RefusesConnection is nil, no upstream
	// counts as crashed.
	RefusesConnection func(ctx context.Context, of fleet.Upstream) bool
	// Accepts reports whether this box can connect to an upstream. It returns false once ctx ends. If Accepts is nil, lost
	// links stay lost, and this box's own links are never questioned when an upstream refuses connections.
	Accepts func(ctx context.Context, of fleet.Upstream) bool
	// CloseIdle closes all idle connections: the tunnels, or those over this box's own links. It may be nil.
	CloseIdle func(tunnels bool)
	// Forget closes the idle connections to an upstream that is gone.
	Forget func(upstream string)
	// Engines executes the orders of the order holder at engines.
	Engines residency.Engines
}

func (u *Upstreams) closeIdle(tunnels bool) {
	if u.CloseIdle != nil {
		u.CloseIdle(tunnels)
	}
}
