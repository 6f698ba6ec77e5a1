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
	// Secret is the fleet's.
	Secret string
	// Dial makes a connection; it bounds its own time.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Set holds the counters.
	Set *metrics.Set

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient(secret string, dial func(ctx context.Context, network, address string) (net.Conn, error), set *metrics.Set) *Client {
	return &Client{Secret: secret, Dial: dial, Set: set, conns: map[string]*jsonrpc2.Conn{}}
}

// Call calls a method of the box at a peer address, over the kept connection if there is one. ctx bounds the call.
// An error of the other box's handler is a *jsonrpc2.Error; any other error means that the call may or may not
// have been handled, and its connection is closed.
func Call[A any](ctx context.Context, c *Client, address, method string, params any) (A, error) {
	return call[A](ctx, c, address, method, params, c.drop)
}

// Try is Call for calls that are given less time than an answer may take on a connection that is sound: one that runs out of
// its time leaves the connection to the other calls on it.
func Try[A any](ctx context.Context, c *Client, address, method string, params any) (A, error) {
	return call[A](ctx, c, address, method, params, func(address string, conn *jsonrpc2.Conn, err error) {
		if ctx.Err() == nil {
			c.drop(address, conn, err)
		}
	})
}

// call calls a method, and has failed decide what becomes of the connection of a call that failed.
func call[A any](ctx context.Context, c *Client, address, method string, params any, failed func(address string, conn *jsonrpc2.Conn, err error)) (A, error) {
	var answer A
	conn, err := c.conn(ctx, address)
	if err != nil {
		return answer, errors.Annotatef(err, "calling %s at %s", method, address)
	}
	begun := time.Now()
	err = conn.Call(ctx, method, params, &answer)
	c.observe(method, begun, err)
	if err != nil {
		failed(address, conn, err)
		return answer, errors.Annotatef(err, "calling %s at %s", method, address)
	}
	return answer, nil
}

// observe counts a call that was sent, with how long it took.
func (c *Client) observe(method string, begun time.Time, err error) {
	c.Set.GetOrCreateHistogram(fmt.Sprintf("ospreymoor_peer_call_seconds{method=%q}", method)).Update(time.Since(begun).Seconds())
	if err != nil {
		c.Set.GetOrCreateCounter(fmt.Sprintf("ospreymoor_peer_calls_failed_total{method=%q}", method)).Inc()
	}
}

// Close ends all connections; a later Call connects anew.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// conn returns the connection to an address, and makes it if there is none.
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
	if old, ok := c.conns[address]; ok && old != conn {
		_ = old.Close()
	}
	c.conns[address] = conn
	return conn, nil
}

// connect makes a connection and sends the secret.
func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	raw, err := c.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	stream := jsonrpc2.NewBufferedStream(counted(raw, c.Set), codec{})
	// The connection outlives the call that makes it.
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, noHandler{}, jsonrpc2.SetLogger(noLog{}))
	var empty Empty
	if err := conn.Call(ctx, MethodHello, Hello{Secret: c.Secret}, &empty); err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	return conn, nil
}

// drop closes a connection after a failure other than an error that the other box answered.
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

// noHandler ignores requests: calls go one way on a connection.
type noHandler struct{}

// Handle ignores a request.
func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
