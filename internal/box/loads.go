package box

import (
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

// loadTable holds the latest load of each engine.
type loadTable struct {
	mu    sync.Mutex
	loads map[string]loadReport
	// takenAt is when a hall's record was last taken in.
	takenAt map[string]time.Time
}

type loadReport struct {
	load orders.Load
	at   time.Time
}

// silentEngine is after how long without a report an engine counts as unheard.
const silentEngine = 15 * time.Second

func newLoadTable() *loadTable {
	return &loadTable{loads: map[string]loadReport{}, takenAt: map[string]time.Time{}}
}

// take takes a hall's record in.
func (t *loadTable) take(name string, loads orders.Loads) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.takenAt[name] = now
	for id, load := range loads.Engines {
		t.loads[id] = loadReport{load: load, at: now}
	}
}

func (t *loadTable) heard(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, ok := t.loads[id]
	return ok && time.Since(report.at) < silentEngine
}

// candidate describes an engine to the router.
func (t *loadTable) candidate(id string, info engineInfo) routing.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.loads[id]
	return routing.Candidate{
		ID:       id,
		Slots:    info.holding.Slots,
		Running:  report.load.Running,
		Queued:   report.load.Queued,
		Reported: report.at,
	}
}

// age is how long ago a hall's loads were last taken in.
func (t *loadTable) age(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.takenAt[name]
	if !ok {
		return time.Hour
	}
	return time.Since(at)
}
