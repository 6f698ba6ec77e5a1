package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Front is the HTTP server towards callers: it keeps the configuration's limits and drains.
type Front struct {
	Server *http.Server

	gateway *Gateway
	// closing has each answer end its connection; refusing turns new requests away.
	closing  atomic.Bool
	refusing atomic.Bool

	mu sync.Mutex
	// idle holds since when a connection has rested.
	idle map[net.Conn]time.Time
}

const (
	// maxHeaderBytes bounds a request's head, whatever the configuration says.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time in which a head comes in.
	headerTimeout = 10 * time.Second
	// idleCheck is how often resting connections are looked at.
	idleCheck = 500 * time.Millisecond
	// balancerTime is how long the balancer may take to see that a machine is not ready.
	balancerTime = 2 * time.Second
	// takeTime is how long a stopping machine still takes requests: a later one might not end
	// within the grace time.
	takeTime = 2800 * time.Millisecond
	// drainMargin is kept free at the end of the grace time.
	drainMargin = 300 * time.Millisecond
)

// NewFront returns a server that hands requests to handler.
func NewFront(handler http.Handler, gateway *Gateway) *Front {
	f := &Front{gateway: gateway, idle: map[net.Conn]time.Time{}}
	f.Server = &http.Server{
		Handler:           f.closeWhenDraining(handler),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         f.note,
	}
	return f
}

func (f *Front) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		if f.refusing.Load() {
			notRun(reasonStopping, 0).write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Serve answers the connections of a listener until Drain.
func (f *Front) Serve(listener net.Listener) {
	stop := make(chan struct{})
	go f.closeIdle(stop)
	_ = f.Server.Serve(listener)
	close(stop)
}

func (f *Front) note(conn net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == http.StateIdle {
		f.idle[conn] = time.Now()
		return
	}
	delete(f.idle, conn)
}

// closeIdle closes connections that have rested for longer than the configuration allows.
func (f *Front) closeIdle(stop <-chan struct{}) {
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			f.closeRested(now)
		}
	}
}

func (f *Front) closeRested(now time.Time) {
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
		}
	}
}

// Drain serves on until the balancer has seen that this machine leaves, then ends connections
// with their next answer, and returns when all requests are answered or the grace time is over.
func (f *Front) Drain(grace time.Duration) {
	begun := time.Now()
	time.Sleep(min(balancerTime, grace/4))
	f.closing.Store(true)
	time.Sleep(min(takeTime, grace/2) - time.Since(begun))
	f.refusing.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-drainMargin))
	defer cancel()
	if f.Server.Shutdown(ctx) != nil {
		_ = f.Server.Close()
	}
}
