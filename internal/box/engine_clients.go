package box

import (
	"net/http"
	"sync"

	"ospreymoor.example/ospreymoor/internal/engine"
	"ospreymoor.example/ospreymoor/pkg/membership"
)

// engineClients holds one client for each engine.
type engineClients struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]engineClient
}

// engineClient is the client of an engine, with the entry of the box list that it was made for.
type engineClient struct {
	box    membership.Box
	client *engine.Client
}

func newEngineClients(client *http.Client) *engineClients {
	return &engineClients{http: client, clients: map[string]engineClient{}}
}

// get returns the client of an engine. It makes a new one if the engine's address or fencing has changed.
func (e *engineClients) get(id string, box membership.Box) *engine.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.clients[id]
	if known.client == nil || known.box.Address != box.Address || known.box.Fenced != box.Fenced {
		known = engineClient{box: box, client: engine.NewClient(e.http, box)}
		e.clients[id] = known
	}
	return known.client
}

// forget drops the clients of engines that are no longer listed.
func (e *engineClients) forget(listed map[string]engineState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.clients {
		if _, ok := listed[id]; !ok {
			delete(e.clients, id)
		}
	}
}
