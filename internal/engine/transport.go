package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Times of connections to upstreams.
const (
	idleTime = 90 * time.Second
	// pingAfter a silent HTTP/2 connection is probed, and given up pingTime later.
	pingAfter = 5 * time.Second
	pingTime  = 2 * time.Second
)

// NewHTTPClient returns the client for engines: HTTP/2 without TLS, many streams on one
// connection, and a dead connection found by pings.
func NewHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:       &protocols,
		DialContext:     dial,
		IdleConnTimeout: idleTime,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTime},
	}}
}

// transportError is the kind of a failure that was not the engine's answer.
func transportError(err error) error {
	if IsDialError(err) {
		return fmt.Errorf("%w: %w", err, ErrNotStarted)
	}
	return fmt.Errorf("%w: %w", err, ErrBrokenOff)
}

// IsDialError tells that no connection was made, so that nothing was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
