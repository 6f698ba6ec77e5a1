package transport

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of connections.
const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the connection breaks.
	userTimeout = 1200 * time.Millisecond
	// keepAliveIdle is how long a connection is quiet before it is probed, keepAliveInterval the
	// time between probes, and keepAliveCount how many may stay unanswered.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// maxIdleConns is how many idle connections to one address are kept.
	maxIdleConns = 32
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 20 * time.Second
)

// Dial opens a connection that breaks soon after the other side falls silent.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	resetOnClose(conn)
	return &countingConn{Conn: conn}, nil
}

// resetOnClose has a connection drop what it has not delivered when it is closed. Otherwise an order that
// was given up in a cut hall is delivered when the cut is over: one arrived 6.2 s after it was sent, when
// another box gave the orders.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // It fails only on a closed connection.
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without this option the connection still works, and the callers' deadlines bound each
		// call: a failure is no reason to refuse the connection, nor for a line per connection.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// countingConn counts the bytes that are written, so that a failed request is known to have been
// sent or not.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts the bytes before it sends them: what may have left counts as sent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// New returns a transport with connections of its own.
func New() *http.Transport {
	return &http.Transport{
		DialContext:         Dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
}
