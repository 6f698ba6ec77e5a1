package transport

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
)

// maxPooled is how many hosts a pool keeps idle connections to. Those of one host take some 25 KB of memory, and
// a box has at least 4,100 file descriptors.
const maxPooled = 512

// Pool keeps one transport per name, so that names never share connections and Forget closes those of one name.
// It keeps at most maxPooled transports and closes the idle connections of the least recently used one: a box
// that calls each of 10,000 engines once keeps no more than that. The zero value is ready for use. A Pool is safe
// for concurrent use.
type Pool struct {
	// Dial opens the connections of a name to an address; nil means the package's Dial. It must not be changed after the
	// first use.
	Dial func(ctx context.Context, name, address string) (net.Conn, error)

	mu     sync.Mutex
	byName map[string]*list.Element
	// byUse holds the transports in the order of their use, the most recently used first.
	byUse list.List
}

// pooledTransport is a transport with its name in the pool.
type pooledTransport struct {
	name      string
	transport *http.Transport
}

// Get returns the transport of a name. It makes one if the pool has none.
func (p *Pool) Get(name string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName == nil {
		p.byName = map[string]*list.Element{}
	}
	if element := p.byName[name]; element != nil {
		p.byUse.MoveToFront(element)
		return element.Value.(*pooledTransport).transport
	}
	added := &pooledTransport{name: name, transport: p.newTransport(name)}
	p.byName[name] = p.byUse.PushFront(added)
	if oldest := p.byUse.Back(); p.byUse.Len() > maxPooled {
		p.drop(oldest)
	}
	return added.transport
}

func (p *Pool) newTransport(name string) *http.Transport {
	if p.Dial == nil {
		return New()
	}
	return newTransport(func(ctx context.Context, _, address string) (net.Conn, error) { return p.Dial(ctx, name, address) })
}

// CloseIdle closes the idle connections of all names.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for element := p.byUse.Front(); element != nil; element = element.Next() {
		element.Value.(*pooledTransport).transport.CloseIdleConnections()
	}
}

// Forget removes the transport of a name and closes its idle connections. Connections in use stay open until their
// calls end.
func (p *Pool) Forget(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if element := p.byName[name]; element != nil {
		p.drop(element)
	}
}

// drop removes a transport from the pool. The caller holds p.mu.
func (p *Pool) drop(element *list.Element) {
	dropped := p.byUse.Remove(element).(*pooledTransport)
	delete(p.byName, dropped.name)
	// A connection that is in use now is closed once it has been idle for idleConnTimeout.
	dropped.transport.CloseIdleConnections()
}
