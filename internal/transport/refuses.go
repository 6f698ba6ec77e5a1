package transport

import (
	"context"
	"syscall"

	"github.com/juju/errors"
)

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
