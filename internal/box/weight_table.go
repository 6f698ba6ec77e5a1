package box

import "sync"

// weightTable records which weights this box last used for each model, so that it never goes back to older ones.
type weightTable struct {
	mu   sync.Mutex
	used map[string]string
}

func newWeightTable() *weightTable { return &weightTable{used: map[string]string{}} }

// choose returns the item to serve a model with. It is the first that some engine holds of these: the one in the
// plan, the one used last, and wanted, which is the one in the bundle in force. The plan may be ahead of the
// reports of what engines hold, or behind them.
func (t *weightTable) choose(f *fleetSnapshot, model, wanted string) string {
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
