package transport

import (
	"context"
	"syscall"

	"github.com/juju/errors"
)

// Accepts reports whether a connection to an address can be opened. It returns false once ctx ends.
func (dial DialFunc) Accepts(ctx context.Context, address string) bool {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close() // Nothing was sent.
	return true
}

// Refuses reports whether an address refuses connections: its host is up and no process listens there. It returns
// false if the host does not answer before ctx ends.
func (dial DialFunc) Refuses(ctx context.Context, address string) bool {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // Nothing was sent.
	return false
}
