package box

import "sync"

// sentTable counts the requests that peers have sent to each engine since its last report.
type sentTable struct {
	mu sync.Mutex
	// last holds the latest totals of each incarnation of a peer.
	last map[string]map[string]int64
	// total is how many requests peers have sent to each engine. atReport is the total at the engine's last report.
	total    map[string]int64
	atReport map[string]int64
}

func newSentTable() *sentTable {
	return &sentTable{last: map[string]map[string]int64{}, total: map[string]int64{}, atReport: map[string]int64{}}
}

// update applies a peer's totals, which may leave out unchanged ones. The first totals of an incarnation are only a
// baseline: what it sent before is taken to be covered by the engines' reports.
func (t *sentTable) update(incarnation string, sent map[string]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.last[incarnation]
	if !known {
		last = map[string]int64{}
		t.last[incarnation] = last
	}
	for id, total := range sent {
		if known {
			t.total[id] += max(0, total-last[id])
		}
		last[id] = total
	}
}

// markReported records that a new report covers all requests sent to an engine so far.
func (t *sentTable) markReported(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.atReport[id] = t.total[id]
}

// sinceReport returns how many requests peers have sent to an engine since its last report.
func (t *sentTable) sinceReport(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.total[id] - t.atReport[id])
}

// forget drops the totals of all incarnations but those in keep.
func (t *sentTable) forget(keep map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation := range t.last {
		if !keep[incarnation] {
			delete(t.last, incarnation)
		}
	}
}
