// Package engine is the client of model engines for `ospreymoor serve`, the native mode. Apart from the
// stand-ins and tests, it is the only package that uses the engines' protocol: Connect over HTTP/2
// without TLS, with the messages that proto/ defines.
//
// It holds no state except connections and never retries: internal/box decides by the kinds of error
// below whether a failed request may be sent again.
//
// Its counterpart for `ospreymoor node` is platform/engines.go and platform/upstreams.go, which use
// HTTP/1.1, JSON and event streams.
package engine

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/gen/ospreymoor/engine/v1/enginev1connect"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

// Kinds of failure of a request.
const (
	// ErrNotStarted: the engine refused the request, or no connection to it was made.
	ErrNotStarted = errors.ConstError("engine did not start the request: send it to another")
	// ErrLeaving: the engine is draining and accepts no new requests. It did not start this one.
	ErrLeaving = errors.ConstError("engine is leaving: send the request to another")
	// ErrNoRun: the engine knows no run with this id.
	ErrNoRun = errors.ConstError("engine knows no such request: cancel its id before it is sent elsewhere")
	// ErrBrokenOff: the answer ended before it was complete. The run may still be going on.
	ErrBrokenOff = errors.ConstError("answer broke off: resume it")
	// ErrUnexpectedMessage: a message belongs to another request, or is not the next piece. It was dropped.
	ErrUnexpectedMessage = errors.ConstError("engine sent what is not this request's: resume it")
)

// maxMessageBytes bounds one message of an engine, in bytes. A report of an engine's holdings is the longest.
const maxMessageBytes = 4 << 20

// ReasonLeaving is the message of the error by which a draining engine refuses a request.
const ReasonLeaving = "leaving"

// Request is one run on an engine.
type Request struct {
	ID    string
	Model string
	// Adapter is empty for the model itself.
	Adapter string
	Prompt  string
	// MaxTokens limits the answer; 0 leaves the limit to the engine.
	MaxTokens uint32
	// Priority orders waiting requests: the highest runs first.
	Priority int32
}

// Client is the client of one engine.
type Client struct {
	box    membership.Box
	engine enginev1connect.EngineServiceClient
}

// NewClient returns a client of the engine on a box.
func NewClient(http *http.Client, box membership.Box) *Client {
	// Answers come in pieces of a few bytes, which are not worth compressing.
	options := connect.WithClientOptions(connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageBytes))
	return &Client{box: box, engine: enginev1connect.NewEngineServiceClient(http, "http://"+box.Address, options)}
}
