package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/internal/transport"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/shedding"
)

// Front is the HTTP server for callers. It enforces the configuration's limits, sheds connections of a flood (flood.go)
// and can be drained.
type Front struct {
	Server *http.Server

	gateway *Gateway
	// closing closes each connection with its next answer; refusing refuses new requests.
	closing  atomic.Bool
	refusing atomic.Bool

	mu sync.Mutex
	// idleSince is since when each idle connection has been idle. closedIdle holds the idle connections that this
	// box has closed, until the server reports them as closed.
	idleSince  map[net.Conn]time.Time
	closedIdle map[net.Conn]bool
	// open is the number of open connections, and bytes counts those that were read from and written to them.
	open  int
	bytes atomic.Int64
	// shedder decides which new connections are closed unread.
	shedder shedding.Controller
}

const (
	// maxHeaderBytes limits the size of a request's header, whatever the configuration sets.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits the time in which a request's header must arrive.
	headerTimeout = 10 * time.Second
	// idleCheckInterval is the interval at which idle connections are checked. They are closed at most this much
	// late.
	idleCheckInterval = 500 * time.Millisecond
)

// NewFront returns a server that passes requests to handler.
func NewFront(handler http.Handler, gateway *Gateway) *Front {
	f := &Front{gateway: gateway, idleSince: map[net.Conn]time.Time{}, closedIdle: map[net.Conn]bool{}, shedder: shedding.Controller{Policy: shedding.DefaultPolicy}}
	f.Server = &http.Server{
		Handler:           f.dropIfClosed(f.withDrain(handler)),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         f.trackIdle,
		ConnContext:       withConn,
		// Otherwise "OPTIONS *" gets an answer that is no upstream's.
		DisableGeneralOptionsHandler: true,
	}
	transport.ResetAborted(f.Server)
	return f
}

// Serve serves the connections of a listener until Drain.
func (f *Front) Serve(listener net.Listener) {
	stop := make(chan struct{})
	go f.closeIdle(stop)
	go f.sampleLag(stop)
	if err := f.Server.Serve(stallListener{floodListener{listener, f}}); !errors.Is(err, http.ErrServerClosed) {
		f.gateway.Log.Error("front stopped accepting connections", logfield.Error(err))
	}
	close(stop)
}

// trackIdle records since when a connection has been idle.
func (f *Front) trackIdle(conn net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countConnection(state)
	if state == http.StateIdle {
		f.idleSince[conn] = time.Now()
		return
	}
	delete(f.idleSince, conn)
	if state == http.StateClosed {
		delete(f.closedIdle, conn)
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// dropIfClosed drops requests that were read from a connection just before it was closed as idle. Their callers
// get no answer and must be able to send them again, so they must not run.
func (f *Front) dropIfClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		f.mu.Lock()
		closed := f.closedIdle[conn]
		f.mu.Unlock()
		if closed {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// closeIdle closes connections that have been idle for longer than the configuration allows. The server's own
// limit cannot be used: it is fixed at the start, and the configuration may change.
func (f *Front) closeIdle(stop <-chan struct{}) {
	ticker := time.NewTicker(idleCheckInterval)
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
	for conn, since := range f.idleSince {
		if now.Sub(since) > table.Limits.IdleTimeout {
			f.closeIdleConn(conn)
		}
	}
}
