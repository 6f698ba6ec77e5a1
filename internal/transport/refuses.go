package transport

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
)

// Refuses reports whether an address refuses connections: its host is up and no process listens there. It returns
// false if the host does not answer before ctx ends.
func Refuses(ctx context.Context, address string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	resetOnClose(conn)
	_ = conn.Close() // Nothing was sent.
	return false
}
