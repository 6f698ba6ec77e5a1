package spectest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// segment is how many bytes of one connection are sent before those of another may follow.
// Small against the messages of specs.
const segment = 4 << 10

// Link is a box's link to the network: all that the box sends shares one direction, all that it
// receives the other.
type Link struct {
	// bytesPerSecond is the rate of each direction.
	bytesPerSecond atomic.Int64
	sent, received queue
}

// NewLink returns a link of a rate in bytes a second.
func NewLink(bytesPerSecond int64) *Link {
	l := &Link{}
	l.SetRate(bytesPerSecond)
	return l
}

// SetRate changes the rate for what is sent from now on.
func (l *Link) SetRate(bytesPerSecond int64) { l.bytesPerSecond.Store(bytesPerSecond) }

// queue is one direction of a link.
type queue struct {
	mu   sync.Mutex
	free time.Time
}

// reserve queues a transfer and returns when it ends.
func (q *queue) reserve(begin time.Time, took time.Duration) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.free.After(begin) {
		begin = q.free
	}
	q.free = begin.Add(took)
	return q.free
}

// transfer waits until bytes passed from one link to another; either may be nil. It returns early
// with the context's error.
func transfer(ctx context.Context, from, to *Link, bytes int) error {
	end := time.Now()
	if from != nil {
		end = from.sent.reserve(end, from.takes(bytes))
	}
	if to != nil {
		end = to.received.reserve(end.Add(-to.takes(bytes)), to.takes(bytes))
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Link) takes(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(l.bytesPerSecond.Load()) * float64(time.Second))
}

// Receive waits until bytes from outside the network, as of the platform, passed the link. The error
// is that of ctx.
func (l *Link) Receive(ctx context.Context, bytes int) error {
	for ; bytes > 0; bytes -= segment {
		if err := transfer(ctx, nil, l, min(bytes, segment)); err != nil {
			return err
		}
	}
	return nil
}

// Dial returns a function that connects through this link to boxes of a network, whose links are
// looked up by address.
func (l *Link) Dial(network *Network, links func(address string) *Link) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		there := links(address)
		linkedFar := newLinkedConn(far, there, l)
		if err := network.connect(ctx, address, linkedFar); err != nil {
			// Ends its sender, which would keep the bubble from ending.
			_ = linkedFar.Close()
			return nil, err
		}
		return newLinkedConn(near, l, there), nil
	}
}

// linkedConn is one end of a connection over two links. A write returns at once, and its bytes arrive
// as fast as the links allow; they are lost if the connection is closed before.
type linkedConn struct {
	net.Conn
	from, to *Link

	mu      sync.Mutex
	waiting []byte
	// wake has an element while bytes may wait.
	wake   chan struct{}
	once   sync.Once
	closed chan struct{}
}

func newLinkedConn(conn net.Conn, from, to *Link) *linkedConn {
	c := &linkedConn{Conn: conn, from: from, to: to, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go c.send()
	return c
}

// Write queues bytes.
func (c *linkedConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	c.mu.Lock()
	c.waiting = append(c.waiting, p...)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Close ends the connection.
func (c *linkedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// send sends what is queued until the connection is closed from either end.
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
			// The context does not end: the write to a closed connection fails.
			_ = transfer(ctx, c.from, c.to, len(part))
			if _, err := c.Conn.Write(part); err != nil {
				return
			}
		}
	}
}

// next takes a segment from the queue.
func (c *linkedConn) next() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := min(segment, len(c.waiting))
	part := c.waiting[:size:size]
	c.waiting = c.waiting[size:]
	return part
}
