package gateway

import (
	"net"
	"os"
	"time"

	"github.com/juju/errors"
)

// writeStallTimeout is the time after which a connection is closed whose caller accepts none of its answer. The
// request's upstream is then free at once. The time is measured in two halves: if the process was suspended, the
// first half may have passed without giving the caller any time.
const writeStallTimeout = 4 * time.Second

// stallListener accepts connections that are closed when their callers stop reading.
type stallListener struct{ net.Listener }

// Accept returns the next connection.
func (l stallListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return stallConn{conn}, nil
}

// stallConn is a connection whose writes fail once the other side has accepted nothing for writeStallTimeout. A
// slow reader keeps its connection.
type stallConn struct{ net.Conn }

// NetConn returns the connection itself.
func (c stallConn) NetConn() net.Conn { return c.Conn }

// Write writes all of p or returns an error.
func (c stallConn) Write(p []byte) (int, error) {
	sent, stalls := 0, 0
	for {
		// SetWriteDeadline fails only on a closed connection, and then the write fails too.
		_ = c.SetWriteDeadline(time.Now().Add(writeStallTimeout / 2))
		n, err := c.Conn.Write(p[sent:])
		sent += n
		switch {
		case sent == len(p) || !errors.Is(err, os.ErrDeadlineExceeded):
			return sent, err
		case n > 0:
			stalls = 0
		default:
			stalls++
		}
		if stalls == 2 {
			return sent, err
		}
	}
}
