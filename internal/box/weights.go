package box

import "sync"

// weightTable remembers which weights this box last used for each model, so that it never
// goes back to older ones.
type weightTable struct {
	mu   sync.Mutex
	used map[string]string
}

// choose returns the item that answers for a model: what the plan says, if that is known to
// be held. The plan may be ahead of the news of what engines hold, or behind it: then the
// weights used last go on, or the bundle's own begin.
func (t *weightTable) choose(f *fleet, model, wanted string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range []string{f.plan.Serving[model], t.used[model], wanted} {
		if len(f.holders[item]) > 0 {
			t.used[model] = item
			return item
		}
	}
	return wanted
}
