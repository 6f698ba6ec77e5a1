package box

import (
	"sync"
)

// sentTable adds up what peers have sent to each engine since its last report.
type sentTable struct {
	mu sync.Mutex
	// last totals of each peer's incarnation.
	last  map[string]map[string]int64
	total map[string]int64
	base  map[string]int64
}

func newSentTable() *sentTable {
	return &sentTable{last: map[string]map[string]int64{}, total: map[string]int64{}, base: map[string]int64{}}
}

// hear takes a peer's totals in; those that did not change may be left out.
func (t *sentTable) hear(incarnation string, sent map[string]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.last[incarnation]
	if !ok {
		last = map[string]int64{}
		t.last[incarnation] = last
	}
	for id, total := range sent {
		if ok {
			t.total[id] += max(0, total-last[id])
		}
		last[id] = total
	}
}

// reported notes that a new report covers all that was sent to an engine so far.
func (t *sentTable) reported(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.base[id] = t.total[id]
}

func (t *sentTable) since(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.total[id] - t.base[id])
}

// forget drops incarnations of boxes that are gone.
func (t *sentTable) forget(keep map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation := range t.last {
		if !keep[incarnation] {
			delete(t.last, incarnation)
		}
	}
}
