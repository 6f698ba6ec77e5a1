// Package peer carries messages between boxes: JSON-RPC 2.0 over TCP.
package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// ErrSecret says that the other side does not know the fleet's secret.
const ErrSecret = errors.ConstError("peer secret differs: give all boxes the same --peer-secret")

// handler answers one method.
type handler func(ctx context.Context, raw *json.RawMessage) (any, error)

// Server answers the calls of other boxes.
type Server struct {
	secret   string
	set      *metrics.Set
	handlers map[string]handler

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that wants secret from each caller.
func NewServer(secret string, set *metrics.Set) *Server {
	return &Server{secret: secret, set: set, handlers: map[string]handler{}, conns: map[net.Conn]struct{}{}}
}

// Handle has f answer a method. Call it before Serve.
func Handle[Q, A any](s *Server, method string, f func(context.Context, Q) (A, error)) {
	s.handlers[method] = func(ctx context.Context, raw *json.RawMessage) (any, error) {
		params, err := decode[Q](raw)
		if err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, params)
	}
}

// Serve answers connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serve(conn net.Conn) {
	s.track(conn, true)
	defer s.track(conn, false)
	session := &session{server: s}
	stream := jsonrpc2.NewBufferedStream(counted(conn, s.set), codec{})
	rpc := jsonrpc2.NewConn(context.Background(), stream, session, jsonrpc2.SetLogger(silent{}))
	<-rpc.DisconnectNotify()
}

func (s *Server) track(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = struct{}{}
	} else {
		delete(s.conns, conn)
	}
}

// session is one connection's state.
type session struct {
	server *Server
	known  atomic.Bool
}

// Handle answers one request; each runs in a goroutine of its own once the caller is known.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if !s.known.Load() {
		s.hello(ctx, conn, request)
		return
	}
	go s.answer(ctx, conn, request)
}

// hello takes nothing but the secret, and hangs up on anything else.
func (s *session) hello(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	hello, err := decode[Hello](request.Params)
	right := subtle.ConstantTimeCompare([]byte(hello.Secret), []byte(s.server.secret)) == 1
	if err != nil || request.Method != MethodHello || !right {
		s.server.set.GetOrCreateCounter(`ospreymoor_peer_refused_total`).Inc()
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: ErrSecret.Error()})
		_ = conn.Close()
		return
	}
	s.known.Store(true)
	_ = conn.Reply(ctx, request.ID, Empty{})
}

func (s *session) answer(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	handle, ok := s.server.handlers[request.Method]
	if !ok {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: request.Method})
		return
	}
	result, err := handle(ctx, request.Params)
	if err != nil {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, request.ID, result)
}

// silent keeps the library from logging each broken connection; counters tell of them.
type silent struct{}

// Printf drops a line.
func (silent) Printf(string, ...any) {}

// counted counts the bytes of a connection.
func counted(conn net.Conn, set *metrics.Set) net.Conn {
	return &countedConn{
		Conn: conn,
		in:   set.GetOrCreateCounter(`ospreymoor_peer_bytes_total{direction="in"}`),
		out:  set.GetOrCreateCounter(`ospreymoor_peer_bytes_total{direction="out"}`),
	}
}

type countedConn struct {
	net.Conn
	in, out *metrics.Counter
}

// Read counts what came in.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	return n, err
}

// Write counts what went out.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}
