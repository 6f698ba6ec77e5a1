package peer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// ErrWrongSecret is the error that a caller without the fleet's secret receives.
const ErrWrongSecret = errors.ConstError("peer secret differs: give all boxes the same --peer-secret")

// handler handles the calls of one method.
type handler func(ctx context.Context, raw *json.RawMessage) (any, error)

// acceptRetryDelay is the pause after Accept has failed, such as when the process has no file descriptors left.
const acceptRetryDelay = 100 * time.Millisecond

// Server answers the calls of other boxes.
type Server struct {
	// OnAcceptError is called with each error of Accept except that of a closed listener; nil ignores them. Set it
	// before Serve.
	OnAcceptError func(error)
	// OnTunnel opens a connection of this box's own to an upstream, for a tunnel of another box. The connection is nil
	// unless the status is TunnelOpen. If OnTunnel is nil, requests for tunnels are not answered. Set it before Serve.
	OnTunnel func(upstream string) (net.Conn, TunnelStatus)

	secret   string
	metrics  *metrics.Set
	handlers map[string]handler

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server without methods. Each caller must send secret first. set holds the counters.
func NewServer(secret string, set *metrics.Set) *Server {
	return &Server{secret: secret, metrics: set, handlers: map[string]handler{}, conns: map[net.Conn]struct{}{}}
}

// Handle registers f as the handler of a method. Call it before Serve. The caller receives only the text of an
// error that f returns.
func Handle[Q, A any](s *Server, method string, f func(context.Context, Q) (A, error)) {
	s.handlers[method] = func(ctx context.Context, raw *json.RawMessage) (any, error) {
		params, err := decode[Q](raw)
		if err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, params)
	}
}

// Serve accepts and serves connections until the listener is closed. Calls on one connection run concurrently.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.handleAcceptError(err)
			continue
		}
		go s.serve(conn)
	}
}

func (s *Server) handleAcceptError(err error) {
	if s.OnAcceptError != nil {
		s.OnAcceptError(err)
	}
	time.Sleep(acceptRetryDelay)
}

// Close closes all connections.
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
	conn = newCountedConn(conn, s.metrics)
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		_ = conn.Close() // Nothing was asked.
		return
	}
	if first[0] == tunnelMark {
		s.serveTunnel(conn)
		return
	}
	session := &session{server: s}
	stream := jsonrpc2.NewBufferedStream(peekedConn{Conn: conn, first: bytes.NewReader(first)}, codec{})
	rpc := jsonrpc2.NewConn(context.Background(), stream, session, jsonrpc2.SetLogger(discardLogger{}))
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

// session is the state of one connection.
type session struct {
	server *Server
	// authenticated is set once the caller has sent the secret.
	authenticated atomic.Bool
}

// Handle answers one request. Once the caller is authenticated, each request runs in its own goroutine.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if !s.authenticated.Load() {
		s.authenticate(ctx, conn, request)
		return
	}
	go s.answer(ctx, conn, request)
}

func (s *Server) secretMatches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(secret), []byte(s.secret)) == 1
}

// authenticate accepts only a hello with the right secret; any other message closes the connection.
func (s *session) authenticate(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	hello, err := decode[Hello](request.Params)
	if err != nil || request.Method != MethodHello || !s.server.secretMatches(hello.Secret) {
		s.server.metrics.GetOrCreateCounter(`ospreymoor_peer_refused_total`).Inc()
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: ErrWrongSecret.Error()})
		_ = conn.Close()
		return
	}
	s.authenticated.Store(true)
	_ = conn.Reply(ctx, request.ID, Empty{})
}

// answer runs the handler of one request and replies. A reply that cannot be sent is dropped: the connection is
// broken, and the client side reports that to the caller.
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

// discardLogger discards the line that jsonrpc2 logs for each broken connection; callers count failed calls instead.
type discardLogger struct{}

// Printf discards a log line.
func (discardLogger) Printf(string, ...any) {}
