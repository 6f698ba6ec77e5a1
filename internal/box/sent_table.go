package box

import "sync"

// sentTable owns how many requests peers have sent to each engine since its last report.
type sentTable struct {
	mu sync.Mutex
	// last holds the latest totals of each peer's incarnation.
	last map[string]map[string]int64
	// total is what was seen sent to each engine; atReport is total at the engine's last report.
	total    map[string]int64
	atReport map[string]int64
}

func newSentTable() *sentTable {
	return &sentTable{last: map[string]map[string]int64{}, total: map[string]int64{}, atReport: map[string]int64{}}
}

// take takes a peer's totals in; unchanged ones may be left out. The first totals of an incarnation are only its
// base: what it sent before is taken to be in the engines' reports.
func (t *sentTable) take(incarnation string, sent map[string]int64) {
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

// reported notes that a new report covers all that was sent to an engine so far.
func (t *sentTable) reported(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.atReport[id] = t.total[id]
}

// sinceReport is how many requests peers sent to an engine since its last report.
func (t *sentTable) sinceReport(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.total[id] - t.atReport[id])
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
