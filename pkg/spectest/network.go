package spectest

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
)

// Network is a network in memory, for specs in a bubble: a connection takes no time there, and a
// goroutine that waits for it lets the bubble's time pass. Its zero value is ready for use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// Listen opens an address. Connections are refused again once the listener is closed.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{address: address, dialed: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address. Where nobody listens, the error is the operating system's
// ECONNREFUSED.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	if err := n.connect(ctx, address, far); err != nil {
		return nil, err
	}
	return near, nil
}

// connect hands the far end of a connection to whoever listens at an address.
func (n *Network) connect(ctx context.Context, address string, far net.Conn) error {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return errRefused
	}
	select {
	case l.dialed <- far:
		return nil
	case <-l.closed:
		return errRefused
	case <-ctx.Done():
		return ctx.Err()
	}
}

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// listener takes the connections to one address.
type listener struct {
	address string
	dialed  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.dialed:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses connections from now on.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr is the address that was opened.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is that of a listener in memory.
type address string

// Network names the network.
func (address) Network() string { return "memory" }

// String is the address itself.
func (a address) String() string { return string(a) }
