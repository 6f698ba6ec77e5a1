package gateway

import (
	"sync"

	"ospreymoor.example/ospreymoor/pkg/residency"
)

// modelUses counts this box's requests in flight by upstream, model and adapter. It is safe for
// concurrent use.
type modelUses struct {
	mu sync.Mutex
	// running counts requests by use; the Running field of the keys is 0.
	running map[residency.ModelUse]int
}

// begin counts a request and returns the function to call when it ends.
func (u *modelUses) begin(use residency.ModelUse) (end func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[use]++
	return sync.OnceFunc(func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.running[use]--; u.running[use] == 0 {
			delete(u.running, use)
		}
	})
}

// list returns all uses with their numbers of requests.
func (u *modelUses) list() []residency.ModelUse {
	u.mu.Lock()
	defer u.mu.Unlock()
	uses := make([]residency.ModelUse, 0, len(u.running))
	for use, running := range u.running {
		use.Running = running
		uses = append(uses, use)
	}
	return uses
}
