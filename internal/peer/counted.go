package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// newCountedConn returns conn with its bytes counted in both directions.
func newCountedConn(conn net.Conn, set *metrics.Set) net.Conn {
	return &countedConn{
		Conn: conn,
		in:   set.GetOrCreateCounter(`ospreymoor_peer_bytes_total{direction="in"}`),
		out:  set.GetOrCreateCounter(`ospreymoor_peer_bytes_total{direction="out"}`),
	}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	in, out *metrics.Counter
}

// Read reads from the connection and counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}
