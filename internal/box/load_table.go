package box

import (
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

const (
	// silentEngine is after how long without a report an engine counts as silent.
	silentEngine = 15 * time.Second
	// neverTaken is the age of loads that were never taken in: any age above farLoadsAge has them fetched.
	neverTaken = time.Hour
)

// loadTable owns the latest load report of each engine.
type loadTable struct {
	mu    sync.Mutex
	loads map[string]loadReport
	// takenAt is when a hall's record was last taken in.
	takenAt map[string]time.Time
}

// loadReport is an engine's load with the time at which this box took it in.
type loadReport struct {
	load orders.Load
	at   time.Time
}

func newLoadTable() *loadTable {
	return &loadTable{loads: map[string]loadReport{}, takenAt: map[string]time.Time{}}
}

// take takes the record of a hall's loads in.
func (t *loadTable) take(name string, loads orders.Loads) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.takenAt[name] = now
	for id, load := range loads.Engines {
		t.loads[id] = loadReport{load: load, at: now}
	}
}

// reporting reports whether an engine's load came within silentEngine.
func (t *loadTable) reporting(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, ok := t.loads[id]
	return ok && time.Since(report.at) < silentEngine
}

// candidate describes an engine to the router.
func (t *loadTable) candidate(id string, state engineState) routing.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.loads[id]
	return routing.Candidate{
		ID:       id,
		Slots:    state.holding.Slots,
		Running:  report.load.Running,
		Queued:   report.load.Queued,
		Reported: report.at,
	}
}

// age is how long ago the record of a hall's loads was last taken in.
func (t *loadTable) age(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.takenAt[name]
	if !ok {
		return neverTaken
	}
	return time.Since(at)
}
