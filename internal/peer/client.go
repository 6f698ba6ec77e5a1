package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Client calls other boxes and keeps a connection to each. It is safe for concurrent use.
type Client struct {
	// Secret is the fleet's shared secret.
	Secret string
	// Dial opens a connection; it must bound the time that it takes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Metrics holds the counters.
	Metrics *metrics.Set

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
	// closed is set by Close: calls that are under way must not leave a connection behind.
	closed bool
}

// NewClient returns a client without connections.
func NewClient(secret string, dial func(ctx context.Context, network, address string) (net.Conn, error), set *metrics.Set) *Client {
	return &Client{Secret: secret, Dial: dial, Metrics: set, conns: map[string]*jsonrpc2.Conn{}}
}

// Call calls a method of the box at a peer address, over the open connection to it if there is one. ctx bounds the
// call. An error of the other box's handler is a *jsonrpc2.Error. Any other error means that the call may or may not
// have been handled, and its connection is closed.
func Call[A any](ctx context.Context, c *Client, address, method string, params any) (A, error) {
	return call[A](ctx, c, address, method, params, c.drop)
}

// CallKeepingConn is Call with a ctx that may end before a healthy connection delivers the answer: a call that fails
// after its ctx has ended leaves the connection open for the other calls on it.
func CallKeepingConn[A any](ctx context.Context, c *Client, address, method string, params any) (A, error) {
	return call[A](ctx, c, address, method, params, func(address string, conn *jsonrpc2.Conn, err error) {
		if ctx.Err() == nil {
			c.drop(address, conn, err)
		}
	})
}

// call calls a method; onFailure decides whether the connection of a failed call is closed.
func call[A any](ctx context.Context, c *Client, address, method string, params any, onFailure func(address string, conn *jsonrpc2.Conn, err error)) (A, error) {
	var answer A
	conn, err := c.conn(ctx, address)
	if err != nil {
		return answer, errors.Annotatef(err, "calling %s at %s", method, address)
	}
	start := time.Now()
	err = conn.Call(ctx, method, params, &answer)
	c.recordCall(method, start, err)
	if err != nil {
		onFailure(address, conn, err)
		return answer, errors.Annotatef(err, "calling %s at %s", method, address)
	}
	return answer, nil
}

// recordCall records the duration of a call that was sent, and counts it if it failed.
func (c *Client) recordCall(method string, start time.Time, err error) {
	c.Metrics.GetOrCreateHistogram(fmt.Sprintf("ospreymoor_peer_call_seconds{method=%q}", method)).Update(time.Since(start).Seconds())
	if err != nil {
		c.Metrics.GetOrCreateCounter(fmt.Sprintf("ospreymoor_peer_calls_failed_total{method=%q}", method)).Inc()
	}
}

// Close closes all connections. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// errClosed is the error of a call after Close.
const errClosed = errors.ConstError("client of other boxes is closed: this box stops")

// conn returns the connection to an address, and opens one if there is none.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		select {
		case <-conn.DisconnectNotify():
		default:
			return conn, nil
		}
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, errClosed
	}
	if old, ok := c.conns[address]; ok && old != conn {
		_ = old.Close()
	}
	c.conns[address] = conn
	return conn, nil
}

// connect opens a connection and sends the secret.
func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	raw, err := c.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	stream := jsonrpc2.NewBufferedStream(newCountedConn(raw, c.Metrics), codec{})
	// The connection outlives the call that opens it.
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, noHandler{}, jsonrpc2.SetLogger(discardLogger{}))
	var empty Empty
	if err := conn.Call(ctx, MethodHello, Hello{Secret: c.Secret}, &empty); err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	return conn, nil
}

// drop closes a connection after a failed call, unless the failure is an error that the other box's handler returned.
func (c *Client) drop(address string, conn *jsonrpc2.Conn, err error) {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}

// noHandler ignores requests: only the box that opened a connection sends calls on it.
type noHandler struct{}

// Handle ignores a request.
func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
