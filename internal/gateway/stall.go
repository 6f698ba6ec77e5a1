package gateway

import (
	"net"
	"os"
	"time"

	"github.com/juju/errors"
)

// writeStall is after how long a connection ends whose caller takes nothing of its answer. The request's upstream is then free at once. It is
// counted in two halves, since a process that was suspended finds the first one over without the caller having had any time.
const writeStall = 4 * time.Second

// stallListener accepts connections that end when their callers stop reading.
type stallListener struct{ net.Listener }

// Accept returns the next connection.
func (l stallListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return stallConn{conn}, nil
}

// stallConn is a connection whose writes fail once the other side has taken nothing for writeStall. One that reads slowly keeps it.
type stallConn struct{ net.Conn }

// Write sends all of p, or fails.
func (c stallConn) Write(p []byte) (int, error) {
	sent, stalls := 0, 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(writeStall / 2)) // It fails only on a closed connection, as does the write.
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
