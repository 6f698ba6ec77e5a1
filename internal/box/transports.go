package box

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// dialTime bounds the making of one connection.
	dialTime = time.Second
	// idleTime is how long an idle connection stays open.
	idleTime = 2 * time.Minute
)

// dialFunc makes a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// plainTransport is the transport to plain HTTP servers.
func plainTransport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: serviceSlots,
		IdleConnTimeout:     idleTime,
	}
}

// onceTransport gives each call a connection of its own, because a transport may send a call again when it finds the
// connection that it kept to be stale.
func onceTransport(dial dialFunc) *http.Transport {
	transport := plainTransport(dial)
	transport.DisableKeepAlives = true
	return transport
}

// noRedirect hands redirects to the caller instead of following them.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
