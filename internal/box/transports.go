package box

import (
	"context"
	"net"
	"net/http"
	"time"

	"ospreymoor.example/ospreymoor/internal/transport"
)

const (
	// dialTimeout bounds the opening of one connection.
	dialTimeout = time.Second
	// idleConnTimeout is how long an idle connection stays open.
	idleConnTimeout = 2 * time.Minute
	// maxHeadBytes bounds the head of an answer, in bytes.
	maxHeadBytes = 32 << 10
)

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// httpTransport returns the transport for calls of plain HTTP servers.
func httpTransport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            transport.Checked(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    serviceSlots,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// onceTransport returns a transport that uses a new connection for each call. A transport that keeps connections may
// send a call a second time if it finds a kept connection to be stale.
func onceTransport(dial dialFunc) *http.Transport {
	once := httpTransport(dial)
	once.DisableKeepAlives = true
	return once
}

// noRedirect passes redirects on to the caller instead of following them.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
