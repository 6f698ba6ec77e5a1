package spectest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ospreymoor.example/ospreymoor/pkg/pause"
)

// segment is how many bytes of one connection a link sends before other connections get their turn.
// It is small compared to the messages of specs.
const segment = 4 << 10

// Link simulates a box's network link. All that the box sends shares the capacity of one direction, and
// all that it receives that of the other.
type Link struct {
	// bytesPerSecond is the rate of each direction.
	bytesPerSecond atomic.Int64
	sent, received direction
}

// NewLink returns a link with a rate in bytes per second for each direction.
func NewLink(bytesPerSecond int64) *Link {
	l := &Link{}
	l.SetRate(bytesPerSecond)
	return l
}

// SetRate changes the rate, in bytes per second, of later transfers.
func (l *Link) SetRate(bytesPerSecond int64) { l.bytesPerSecond.Store(bytesPerSecond) }

// direction is one direction of a link, which handles one transfer at a time.
type direction struct {
	mu sync.Mutex
	// freeAt is when the transfers reserved so far end.
	freeAt time.Time
}

// reserve books a transfer after those already reserved, not before begin, and returns when it ends.
func (d *direction) reserve(begin time.Time, duration time.Duration) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.freeAt.After(begin) {
		begin = d.freeAt
	}
	d.freeAt = begin.Add(duration)
	return d.freeAt
}

// transfer waits for as long as the transfer of bytes from one link to another takes. Either link may be nil.
// If ctx ends earlier, transfer returns its error.
func transfer(ctx context.Context, from, to *Link, bytes int) error {
	end := time.Now()
	if from != nil {
		end = from.sent.reserve(end, from.transferTime(bytes))
	}
	if to != nil {
		end = to.received.reserve(end.Add(-to.transferTime(bytes)), to.transferTime(bytes))
	}
	return pause.For(ctx, time.Until(end))
}

// transferTime returns how long bytes take in one direction at the current rate.
func (l *Link) transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(l.bytesPerSecond.Load()) * float64(time.Second))
}

// Receive waits until the link received bytes from a sender outside the simulated network, such as the platform.
// If ctx ends earlier, Receive returns its error.
func (l *Link) Receive(ctx context.Context, bytes int) error {
	for ; bytes > 0; bytes -= segment {
		if err := transfer(ctx, nil, l, min(bytes, segment)); err != nil {
			return err
		}
	}
	return nil
}

// Dial returns a dial function that connects over this link to the boxes of a network. The links function returns
// the link of the box with an address.
func (l *Link) Dial(network *Network, links func(address string) *Link) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		remote := links(address)
		linkedFar := newLinkedConn(far, remote, l)
		if err := network.connect(ctx, address, linkedFar); err != nil {
			// Ends the sender goroutine of this connection, which would keep the bubble from ending.
			_ = linkedFar.Close()
			return nil, err
		}
		return newLinkedConn(near, l, remote), nil
	}
}

// linkedConn is one end of a connection over two links. A write returns at once, and its bytes arrive
// as fast as the links allow. Bytes that have not arrived when the connection is closed are lost.
type linkedConn struct {
	net.Conn
	from, to *Link

	mu sync.Mutex
	// unsent holds the written bytes that are not sent yet.
	unsent []byte
	// wake holds an element while there may be unsent bytes.
	wake   chan struct{}
	once   sync.Once
	closed chan struct{}
}

func newLinkedConn(conn net.Conn, from, to *Link) *linkedConn {
	c := &linkedConn{Conn: conn, from: from, to: to, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go c.send()
	return c
}

// Write queues bytes and returns at once. After Close, it fails with net.ErrClosed.
func (c *linkedConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	c.mu.Lock()
	c.unsent = append(c.unsent, p...)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Close ends the connection and the goroutine that sends its bytes.
func (c *linkedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// send transfers the queued bytes until the connection is closed from either end.
func (c *linkedConn) send() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		select {
		case <-c.wake:
		case <-c.closed:
			return
		}
		for part := c.next(); len(part) > 0; part = c.next() {
			// This context does not end here. On a closed connection, the write below fails instead.
			_ = transfer(ctx, c.from, c.to, len(part))
			if _, err := c.Conn.Write(part); err != nil {
				return
			}
		}
	}
}

// next removes up to one segment of unsent bytes and returns it.
func (c *linkedConn) next() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := min(segment, len(c.unsent))
	part := c.unsent[:size:size]
	c.unsent = c.unsent[size:]
	return part
}
