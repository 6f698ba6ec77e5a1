package box

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memnet is an in-memory network. Hosts can be partitioned from each other and killed.
type memnet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	conns     map[*memConn]bool
	// partitioned holds pairs of hosts between which nothing passes.
	partitioned map[[2]string]bool
	// downHosts holds the hosts that were killed.
	downHosts map[string]bool
	changed   chan struct{}
}

func newMemnet() *memnet {
	return &memnet{
		listeners:   map[string]*memListener{},
		conns:       map[*memConn]bool{},
		partitioned: map[[2]string]bool{},
		downHosts:   map[string]bool{},
		changed:     make(chan struct{}),
	}
}

// listen opens an address of the form host:port.
func (n *memnet) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{net: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	delete(n.downHosts, hostOf(address))
	return l
}

// dialer returns the dial function of a host.
func (n *memnet) dialer(from string) dialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		to := hostOf(address)
		if !n.await(ctx.Done(), from, to) {
			return nil, dialError("timed out")
		}
		n.mu.Lock()
		l := n.listeners[address]
		down := n.downHosts[to] || n.downHosts[from]
		n.mu.Unlock()
		if l == nil || down {
			return nil, dialError("refused")
		}
		near, far := net.Pipe()
		a := &memConn{Conn: near, net: n, from: from, to: to, closed: make(chan struct{})}
		b := &memConn{Conn: far, net: n, from: to, to: from, closed: make(chan struct{})}
		select {
		case l.accepted <- b:
		case <-l.closed:
			return nil, dialError("refused")
		case <-ctx.Done():
			return nil, dialError("timed out")
		}
		n.mu.Lock()
		n.conns[a], n.conns[b] = true, true
		n.mu.Unlock()
		return a, nil
	}
}

// await waits until no partition separates from and to. It returns false if done ends first.
func (n *memnet) await(done <-chan struct{}, from, to string) bool {
	for {
		n.mu.Lock()
		partitioned, changed := n.partitioned[[2]string{from, to}], n.changed
		n.mu.Unlock()
		if !partitioned {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

func (n *memnet) isPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[[2]string{from, to}]
}

// setPartition begins or ends a network partition between two groups of hosts.
func (n *memnet) setPartition(partitioned bool, group, others []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range group {
		for _, b := range others {
			n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = partitioned, partitioned
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// kill stops a host: its connections break, and no new ones reach it or come from it.
func (n *memnet) kill(host string) {
	n.mu.Lock()
	n.downHosts[host] = true
	n.mu.Unlock()
	n.reset(host)
}

// reset closes all connections of a host.
func (n *memnet) reset(host string) {
	n.mu.Lock()
	var broken []*memConn
	for c := range n.conns {
		if c.from == host || c.to == host {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

type memListener struct {
	net      *memnet
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

// memConn stays broken once something was sent over it while a partition separated its hosts. What is sent
// then is lost without an error.
type memConn struct {
	net.Conn
	net      *memnet
	from, to string
	closed   chan struct{}
	once     sync.Once
	broken   atomic.Bool
}

func (c *memConn) Write(p []byte) (int, error) {
	if c.net.isPartitioned(c.from, c.to) {
		c.broken.Store(true)
	}
	if c.broken.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *memConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
	})
	return c.Conn.Close()
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

func dialError(text string) error {
	return &net.OpError{Op: "dial", Net: "mem", Err: errors.New(text)}
}
