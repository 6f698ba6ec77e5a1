package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// ErrSecret is the answer to a caller without the fleet's secret.
const ErrSecret = errors.ConstError("peer secret differs: give all boxes the same --peer-secret")

// handler answers one method.
type handler func(ctx context.Context, raw *json.RawMessage) (any, error)

// acceptPause is the pause after an error of accept, as when the process has no descriptors left.
const acceptPause = 100 * time.Millisecond

// Server answers the calls of other boxes.
type Server struct {
	// OnAcceptError is called with each error of accept but that of a closed listener; nil ignores them. Set it
	// before Serve.
	OnAcceptError func(error)

	secret   string
	set      *metrics.Set
	handlers map[string]handler

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server without methods; each caller must send secret first. Counters go to set.
func NewServer(secret string, set *metrics.Set) *Server {
	return &Server{secret: secret, set: set, handlers: map[string]handler{}, conns: map[net.Conn]struct{}{}}
}

// Handle makes f answer a method. Call it before Serve. An error of f reaches the caller as its text only.
func Handle[Q, A any](s *Server, method string, f func(context.Context, Q) (A, error)) {
	s.handlers[method] = func(ctx context.Context, raw *json.RawMessage) (any, error) {
		params, err := decode[Q](raw)
		if err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, params)
	}
}

// Serve answers connections until the listener is closed. Calls on one connection run concurrently.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.acceptFailed(err)
			continue
		}
		go s.serve(conn)
	}
}

func (s *Server) acceptFailed(err error) {
	if s.OnAcceptError != nil {
		s.OnAcceptError(err)
	}
	time.Sleep(acceptPause)
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
	rpc := jsonrpc2.NewConn(context.Background(), stream, session, jsonrpc2.SetLogger(noLog{}))
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
	// known is set once the caller has sent the secret.
	known atomic.Bool
}

// Handle answers one request; each runs in a goroutine of its own once the caller is known.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if !s.known.Load() {
		s.hello(ctx, conn, request)
		return
	}
	go s.answer(ctx, conn, request)
}

// hello accepts the secret and nothing else; any other message ends the connection.
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

// answer runs the handler of one request and replies. A reply that cannot be sent is dropped: its connection is
// broken, and the caller's end reports that to the caller.
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

// noLog discards the library's line for each broken connection; callers count failed calls instead.
type noLog struct{}

// Printf discards a line.
func (noLog) Printf(string, ...any) {}
