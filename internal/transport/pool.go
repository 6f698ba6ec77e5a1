package transport

import (
	"container/list"
	"net/http"
	"sync"
)

// maxPooled is how many hosts' connections a pool keeps idle: the memory of one is some 25 KB, and a box has 4,100 descriptors at least.
const maxPooled = 512

// Pool keeps transports by name, so that no connection outlives its name or serves another one. The idle connections of those that were
// used least recently are closed beyond maxPooled names: a box that speaks with each of 10,000 engines once keeps no more. Its zero value
// is ready for use, by several goroutines at once.
type Pool struct {
	mu     sync.Mutex
	byName map[string]*list.Element
	// latest has the names in the order of their use, the latest first.
	latest list.List
}

// pooled is one transport.
type pooled struct {
	name      string
	transport *http.Transport
}

// Get returns the transport of a name.
func (p *Pool) Get(name string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName == nil {
		p.byName = map[string]*list.Element{}
	}
	if element := p.byName[name]; element != nil {
		p.latest.MoveToFront(element)
		return element.Value.(*pooled).transport
	}
	added := &pooled{name: name, transport: New()}
	p.byName[name] = p.latest.PushFront(added)
	if oldest := p.latest.Back(); p.latest.Len() > maxPooled {
		p.drop(oldest)
	}
	return added.transport
}

// Forget closes the idle connections of a name; those in use end with their calls.
func (p *Pool) Forget(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if element := p.byName[name]; element != nil {
		p.drop(element)
	}
}

// drop forgets a transport. The caller holds the lock.
func (p *Pool) drop(element *list.Element) {
	dropped := p.latest.Remove(element).(*pooled)
	delete(p.byName, dropped.name)
	// A connection that is in use now is closed when it has been idle for idleConnTimeout.
	dropped.transport.CloseIdleConnections()
}
