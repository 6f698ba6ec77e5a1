package box

import (
	"maps"
	"net/http"
	"sync"
)

// callCounter counts the calls that reach a handler, by path.
type callCounter struct {
	handler http.Handler

	mu    sync.Mutex
	calls map[string]int
}

func newCallCounter(handler http.Handler) *callCounter {
	return &callCounter{handler: handler, calls: map[string]int{}}
}

// ServeHTTP counts a call before the handler gets it, whether or not it is answered.
func (c *callCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.calls[r.URL.Path]++
	c.mu.Unlock()
	c.handler.ServeHTTP(w, r)
}

// counts returns how often each path was called so far.
func (c *callCounter) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.calls)
}
