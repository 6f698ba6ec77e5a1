package transport

import (
	"context"
	"io"
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
	// userTimeout is how long sent data may stay unacknowledged before the kernel drops the connection.
	userTimeout = 1200 * time.Millisecond
	// keepAliveIdle is how long a connection is idle before it is probed, keepAliveInterval the
	// time between probes, and keepAliveCount how many probes may stay unanswered.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// maxIdleConns is how many idle connections to one address a transport keeps.
	maxIdleConns = 32
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 20 * time.Second
	// maxHeadBytes bounds the head of an answer, in bytes, informational answers before it included.
	maxHeadBytes = 32 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a connection that fails soon after the remote host stops responding.
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
	return counted(conn), nil
}

// counted returns a connection whose written bytes are counted.
func counted(conn net.Conn) net.Conn {
	if already, ok := conn.(*countingConn); ok {
		return already
	}
	return &countingConn{Conn: conn}
}

// resetOnClose makes a connection discard undelivered data when it is closed. Otherwise an order that was
// abandoned during a network partition of a hall is delivered after the partition: one arrived 6.2 s after
// it was sent, when another box already gave the orders.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // It fails only on a closed connection.
	}
}

// deliverOnClose undoes resetOnClose.
func deliverOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(-1) // It fails only on a closed connection.
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without this option the connection still works, and the callers' deadlines bound each
		// call. So an error neither fails the connection nor is logged for each connection.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// countingConn counts the bytes that are written and read. The counts show whether a failed request was sent, and whether
// the head of its answer was too long.
type countingConn struct {
	net.Conn
	written, read atomic.Int64
	// beforeWrite is called before the next write; nil if nothing is.
	beforeWrite atomic.Pointer[func() error]
	// verdict is that on the answer to the latest request that got the connection.
	verdict atomic.Pointer[verdict]
	// heads checks the heads of answers.
	heads headCheck
}

// setBeforeWrite sets what is called before the next write, which fails with the error that it returns.
func (c *countingConn) setBeforeWrite(check func() error) { c.beforeWrite.Store(&check) }

// Write counts the bytes before it sends them: data that may have been sent counts as sent.
func (c *countingConn) Write(p []byte) (int, error) {
	if check := c.beforeWrite.Swap(nil); check != nil {
		if err := (*check)(); err != nil {
			return 0, err
		}
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Read counts the bytes that it reads, and returns none of a malformed head. The error is io.EOF only if the other side has
// closed the connection.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	if malformed := c.heads.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	if err == io.EOF {
		err = endOf(c.Conn)
	}
	return n, err
}

// New returns a transport that shares its connections with no other transport.
func New() *http.Transport { return newTransport(Dial) }

// Checked returns a function that opens the same connections. They end with io.EOF only if the other side has closed them,
// and the heads of answers are checked for requests that CheckHeads returned.
func Checked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return counted(conn), nil
	}
}

func newTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            Checked(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}
