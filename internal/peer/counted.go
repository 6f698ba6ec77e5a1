package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// counted counts the bytes of a connection in both directions.
func counted(conn net.Conn, set *metrics.Set) net.Conn {
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

// Read counts what came in.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	return n, err
}

// Write counts what went out.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}
