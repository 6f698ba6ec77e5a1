package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Bounds of connections.
const (
	// maxHeadBytes bounds the headers of an answer, in bytes.
	maxHeadBytes = 32 << 10
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 90 * time.Second
	// pingInterval is how long nothing arrives on an HTTP/2 connection before a ping is sent. pingTimeout is
	// how long after an unanswered ping the connection is closed.
	pingInterval = 5 * time.Second
	pingTimeout  = 2 * time.Second
)

// NewHTTPClient returns the HTTP client for engines: HTTP/2 without TLS, many streams on one
// connection. It detects dead connections by pings.
func NewHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:              &protocols,
		DialContext:            dial,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}}
}

// transportError adds the kind to the error of a request that the engine did not answer.
func transportError(err error) error {
	if IsDialError(err) {
		return fmt.Errorf("%w: %w", err, ErrNotStarted)
	}
	return fmt.Errorf("%w: %w", err, ErrBrokenOff)
}

// IsDialError reports whether no connection was made, so that nothing can have been sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
