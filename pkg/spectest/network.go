package spectest

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
)

// Network is an in-memory network for specs in a synctest bubble. Connecting takes no time there, and the
// bubble's clock advances while a goroutine waits for a connection. The zero value is ready for use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// Listen returns a listener for an address. Connections are refused again once it is closed.
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

// Dial connects to an address. If there is no open listener for it, the error is ECONNREFUSED, as from the
// operating system.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	if err := n.connect(ctx, address, far); err != nil {
		return nil, err
	}
	return near, nil
}

// connect passes the far end of a connection to the listener of an address.
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

// listener accepts the connections to one address.
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

// Addr returns the address passed to Network.Listen.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is the address of an in-memory listener.
type address string

// Network returns the name of the network.
func (address) Network() string { return "memory" }

// String returns the address itself.
func (a address) String() string { return string(a) }
