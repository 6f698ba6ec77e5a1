package gateway

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/shedding"
)

// This file keeps the box usable while a load balancer hands it most new connections: it bounds the connections of
// callers, and closes new ones unread while the box falls behind, or its link is full, and others have far less to do
// (pkg/shedding). A caller whose connection was closed unread may send its request to another box, whatever it is.

const (
	// lagInterval is how often the lag of the box's timers is sampled.
	lagInterval = 250 * time.Millisecond
	// idleCloseDivisor gives the part of the callers' connections that is closed at once, of the longest idle ones, where
	// there are too many.
	idleCloseDivisor = 16
)

// sampleLag samples the box's lag until stop is closed.
func (f *Front) sampleLag(stop <-chan struct{}) {
	sheds := false
	for {
		begun, bytes := time.Now(), f.bytes.Load()
		select {
		case <-stop:
			return
		case <-time.After(lagInterval):
		}
		took := time.Since(begun)
		sheds = f.observe(took-lagInterval, f.linkUse(f.bytes.Load()-bytes, took), sheds)
	}
}

// linkUse returns the part of the box's link that so many bytes of callers use: each comes in once and goes out once.
func (f *Front) linkUse(bytes int64, took time.Duration) float64 {
	if f.gateway.LinkBytesPerSecond <= 0 {
		return 0
	}
	return float64(bytes) / took.Seconds() / f.gateway.LinkBytesPerSecond
}

// observe passes a sample on, logs when shedding begins and ends, and returns whether it goes on.
func (f *Front) observe(lag time.Duration, linkUse float64, before bool) (sheds bool) {
	sample := shedding.Sample{Lag: lag, LinkUse: linkUse, InFlight: int(f.gateway.InFlight()), Boxes: 1}
	policy := &f.shedder.Policy
	if f.gateway.BoxesInTouch != nil && (before || lag >= policy.MaxLag || linkUse >= policy.MaxLinkUse) {
		sample.Others, sample.Boxes = f.gateway.Loads.RunningElsewhere(), f.gateway.BoxesInTouch()
	}
	f.shedder.Observe(sample)
	if sheds = f.shedder.Share() > 0; sheds != before {
		f.gateway.Log.Info("new connections closed unread: the box falls behind and others do not",
			zap.Bool("begins", sheds), zap.Duration("lag", sample.Lag), zap.Float64("linkUse", linkUse), zap.Int("inFlight", sample.InFlight),
			zap.Int("others", sample.Others), zap.Int("boxes", sample.Boxes))
	}
	return sheds
}

// floodListener closes the connections of its listener that the front does not take.
type floodListener struct {
	net.Listener
	front *Front
}

// Accept returns the next connection that the front takes.
func (l floodListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.front.takes() {
			return countedConn{conn, &l.front.bytes}, nil
		}
		_ = conn.Close() // The caller sees a closed connection in any case.
	}
}

// countedConn counts the bytes of a caller's connection, in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// NetConn returns the connection itself.
func (c countedConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// takes reports whether a new connection is taken. It makes room for it if there are too many connections.
func (f *Front) takes() bool {
	switch {
	case f.shedder.Sheds():
		f.countUnread("box falls behind")
		return false
	case f.gateway.MaxConnections > 0 && f.connections() >= f.gateway.MaxConnections && !f.closeLongestIdle():
		f.countUnread("too many connections")
		return false
	}
	return true
}

func (f *Front) countUnread(cause string) {
	f.gateway.Metrics.GetOrCreateCounter(`ospreymoor_connections_closed_unread_total{cause="` + cause + `"}`).Inc()
}

// connections returns the number of open connections of callers.
func (f *Front) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// closeLongestIdle closes some of the connections that have been idle for the longest time, and reports whether there
// were any.
func (f *Front) closeLongestIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	idle := make([]net.Conn, 0, len(f.idleSince))
	for conn := range f.idleSince {
		idle = append(idle, conn)
	}
	slices.SortFunc(idle, func(a, b net.Conn) int { return f.idleSince[a].Compare(f.idleSince[b]) })
	for _, conn := range idle[:min(len(idle), cmp.Or(len(idle)/idleCloseDivisor, 1))] {
		f.closeIdleConn(conn)
	}
	return len(idle) > 0
}

// closeIdleConn closes an idle connection. A request that was read from it meanwhile is dropped. The caller holds the
// lock.
func (f *Front) closeIdleConn(conn net.Conn) {
	_ = conn.Close()
	delete(f.idleSince, conn)
	f.closedIdle[conn] = true
}

// countConnection counts the open connections. The caller holds the lock.
func (f *Front) countConnection(state http.ConnState) {
	switch state {
	case http.StateNew:
		f.open++
	case http.StateClosed, http.StateHijacked:
		f.open--
	}
}
