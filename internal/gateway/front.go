package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/logfield"
)

// Front is the HTTP server towards callers: it keeps the configuration's limits and drains.
type Front struct {
	Server *http.Server

	gateway *Gateway
	// closing ends each connection with its next answer; refusing turns new requests away.
	closing  atomic.Bool
	refusing atomic.Bool

	mu sync.Mutex
	// idle holds since when a connection has been idle, and closed the idle ones that this box closed, until the server has noticed.
	idle   map[net.Conn]time.Time
	closed map[net.Conn]bool
}

const (
	// maxHeaderBytes bounds a request's head, whatever the configuration has.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time in which a head comes in.
	headerTimeout = 10 * time.Second
	// idleCheck is the interval at which idle connections are looked at: they are closed at most this
	// much late.
	idleCheck = 500 * time.Millisecond
)

// NewFront returns a server that hands requests to handler.
func NewFront(handler http.Handler, gateway *Gateway) *Front {
	f := &Front{gateway: gateway, idle: map[net.Conn]time.Time{}, closed: map[net.Conn]bool{}}
	f.Server = &http.Server{
		Handler:           f.unlessClosed(f.drainable(handler)),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         f.trackIdle,
		ConnContext:       withConn,
	}
	return f
}

// Serve answers the connections of a listener until Drain.
func (f *Front) Serve(listener net.Listener) {
	stop := make(chan struct{})
	go f.closeIdle(stop)
	if err := f.Server.Serve(stallListener{listener}); !errors.Is(err, http.ErrServerClosed) {
		f.gateway.Log.Error("front stopped accepting connections", logfield.Error(err))
	}
	close(stop)
}

// trackIdle notes since when a connection has been idle.
func (f *Front) trackIdle(conn net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == http.StateIdle {
		f.idle[conn] = time.Now()
		return
	}
	delete(f.idle, conn)
	if state == http.StateClosed {
		delete(f.closed, conn)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// unlessClosed drops requests that were read from a connection just before it was closed as idle: their callers get no answer, and must be
// able to send them again.
func (f *Front) unlessClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		f.mu.Lock()
		closed := f.closed[conn]
		f.mu.Unlock()
		if closed {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// closeIdle closes connections that have been idle for longer than the configuration allows. The
// server's own limit can't be used: it is fixed at the start, and the configuration changes.
func (f *Front) closeIdle(stop <-chan struct{}) {
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			f.closeIdleSince(now)
		}
	}
}

func (f *Front) closeIdleSince(now time.Time) {
	table := f.gateway.Table()
	if table == nil || table.Limits.IdleTimeout <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn, since := range f.idle {
		if now.Sub(since) > table.Limits.IdleTimeout {
			_ = conn.Close()
			delete(f.idle, conn)
			f.closed[conn] = true
		}
	}
}
