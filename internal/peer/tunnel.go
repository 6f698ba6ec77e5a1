package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
)

// A tunnel is a connection to an upstream that another box, the exit, opens and carries. Its first bytes are
// tunnelMark and a tunnelRequest; the exit answers with a tunnelAnswer. After it, bytes to the upstream are sent as they
// are, and bytes from it in chunks: a length as a varint, then that many bytes. A length of 0 means that the upstream
// closed the connection. Without it, the end of the tunnel is an error, so that an answer that ends with its connection
// does not look complete when the exit goes down.

// tunnelMark is the first byte of a connection that requests a tunnel. Calls never begin with it, since it would be the
// length of an empty message.
const tunnelMark = 0

const (
	// tunnelRequestTimeout bounds the time until the request for a tunnel has arrived.
	tunnelRequestTimeout = time.Second
	// tunnelWriteTimeout is how long the box at the other end of a tunnel may accept nothing.
	tunnelWriteTimeout = 10 * time.Second
	// tunnelChunk is the largest number of bytes that a tunnel forwards at once in each direction.
	tunnelChunk = 8 << 10
)

// errCarrierBroke means that a tunnel ended without the end of the upstream's connection.
const errCarrierBroke = errors.ConstError("tunnel broke: the answer may be incomplete")

// TunnelStatus is the exit's answer to a request for a tunnel.
type TunnelStatus string

// The answers to a request for a tunnel. The values are on the wire.
const (
	// TunnelOpen: the exit is connected to the upstream.
	TunnelOpen TunnelStatus = "open"
	// TunnelRefused: the upstream's host refuses connections.
	TunnelRefused TunnelStatus = "refused"
	// TunnelSilent: the upstream's host does not answer the exit.
	TunnelSilent TunnelStatus = "silent"
	// TunnelUnknown: the exit does not list the upstream.
	TunnelUnknown TunnelStatus = "unknown"
	// TunnelUnavailable: the exit carries as many tunnels as it may, is about to stop, or has lost its own links.
	TunnelUnavailable TunnelStatus = "unavailable"
)

// tunnelRequest requests a tunnel to an upstream.
type tunnelRequest struct {
	Secret   string `json:"secret"`
	Upstream string `json:"upstream"`
}

type tunnelAnswer struct {
	Status TunnelStatus `json:"status"`
}

// OpenTunnel opens a tunnel to an upstream through the box at a peer address. The connection is nil unless the status is
// TunnelOpen. An error means that the box did not answer.
func (c *Client) OpenTunnel(ctx context.Context, address, upstream string) (net.Conn, TunnelStatus, error) {
	raw, err := c.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	conn := newCountedConn(raw, c.Metrics)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reader := bufio.NewReader(conn)
	status, err := requestTunnel(conn, reader, tunnelRequest{Secret: c.Secret, Upstream: upstream})
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || status != TunnelOpen {
		_ = conn.Close()
		return nil, status, errors.Trace(err)
	}
	return &tunnelConn{Conn: conn, reader: reader}, status, nil
}

func requestTunnel(conn io.Writer, reader *bufio.Reader, request tunnelRequest) (TunnelStatus, error) {
	buffered := bufio.NewWriter(conn)
	if err := buffered.WriteByte(tunnelMark); err != nil {
		return "", err
	}
	if err := (codec{}).WriteObject(buffered, request); err != nil {
		return "", err
	}
	if err := buffered.Flush(); err != nil {
		return "", err
	}
	var answer tunnelAnswer
	err := (codec{}).ReadObject(reader, &answer)
	return answer.Status, err
}

// tunnelConn is the near end of a tunnel.
type tunnelConn struct {
	net.Conn
	reader *bufio.Reader
	// left is how many bytes of the current chunk were not read yet. ended is set once the upstream closed the connection.
	left  uint64
	ended bool
}

// Read reads what the upstream sent. The error is io.EOF only if the upstream closed the connection.
func (c *tunnelConn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		length, err := binary.ReadUvarint(c.reader)
		if err != nil {
			return 0, errors.WithType(err, errCarrierBroke)
		}
		if c.ended = length == 0; c.ended {
			return 0, io.EOF
		}
		c.left = length
	}
	n, err := c.reader.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	if err != nil {
		return n, errors.WithType(err, errCarrierBroke)
	}
	return n, nil
}

// serveTunnel answers the request for a tunnel that follows tunnelMark, and carries it until either end closes it.
func (s *Server) serveTunnel(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	// SetReadDeadline fails only on a closed connection, and then the read fails too.
	_ = conn.SetReadDeadline(time.Now().Add(tunnelRequestTimeout))
	var request tunnelRequest
	if (codec{}).ReadObject(reader, &request) != nil || !s.secretMatches(request.Secret) || s.OnTunnel == nil {
		s.metrics.GetOrCreateCounter(`ospreymoor_peer_refused_total`).Inc()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	upstream, status := s.OnTunnel(request.Upstream)
	if upstream != nil {
		defer func() { _ = upstream.Close() }()
	}
	if (codec{}).WriteObject(conn, tunnelAnswer{Status: status}) != nil || upstream == nil {
		return
	}
	go func() {
		_, _ = io.CopyBuffer(writerOnly{upstream}, readerOnly{reader}, make([]byte, tunnelChunk))
		_ = upstream.Close() // The other box is done with the tunnel, or gone.
	}()
	carryAnswers(conn, upstream)
}

// carryAnswers sends what an upstream sends through a tunnel, until either end closes it.
func carryAnswers(conn net.Conn, upstream io.Reader) {
	buffer := make([]byte, binary.MaxVarintLen64+tunnelChunk)
	for {
		n, err := upstream.Read(buffer[binary.MaxVarintLen64:])
		if n > 0 && writeChunk(conn, buffer, n) != nil {
			return
		}
		if err == io.EOF {
			_ = writeChunk(conn, buffer, 0) // The tunnel ends in any case.
		}
		if err != nil {
			return
		}
	}
}

// writeChunk sends the n bytes that follow the room for a length in buffer as one chunk.
func writeChunk(conn net.Conn, buffer []byte, n int) error {
	var length [binary.MaxVarintLen64]byte
	size := binary.PutUvarint(length[:], uint64(n))
	begin := binary.MaxVarintLen64 - size
	copy(buffer[begin:], length[:size])
	_ = conn.SetWriteDeadline(time.Now().Add(tunnelWriteTimeout))
	_, err := conn.Write(buffer[begin : binary.MaxVarintLen64+n])
	return err
}

// writerOnly and readerOnly hide the methods by which io.Copy would bypass its buffer: a splice takes two further file
// descriptors for each direction.
type writerOnly struct{ io.Writer }

type readerOnly struct{ io.Reader }

// peekedConn is a connection whose first byte was read.
type peekedConn struct {
	net.Conn
	first *bytes.Reader
}

// Read reads the first byte, then from the connection.
func (c peekedConn) Read(p []byte) (int, error) {
	if c.first.Len() > 0 {
		return c.first.Read(p)
	}
	return c.Conn.Read(p)
}
