package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Times of connections.
const (
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 90 * time.Second
	// pingAfter is how long an HTTP/2 connection is silent before it is probed, and pingTimeout how
	// long after an unanswered probe it breaks.
	pingAfter   = 5 * time.Second
	pingTimeout = 2 * time.Second
)

// NewHTTPClient returns the HTTP client for engines: HTTP/2 without TLS, many streams on one
// connection. Pings find dead connections.
func NewHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:       &protocols,
		DialContext:     dial,
		IdleConnTimeout: idleConnTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// transportError gives a failure without an engine's answer its kind.
func transportError(err error) error {
	if IsDialError(err) {
		return fmt.Errorf("%w: %w", err, ErrNotStarted)
	}
	return fmt.Errorf("%w: %w", err, ErrBrokenOff)
}

// IsDialError reports whether no connection was made, so that nothing was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
