package box

import (
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/orders"
	"ospreymoor.example/ospreymoor/pkg/routing"
)

const (
	// loadReportTimeout is how long after its last load report an engine counts as unresponsive.
	loadReportTimeout = 15 * time.Second
	// neverUpdatedAge is the age of loads that were never received. Any age above remoteLoadsMaxAge has them fetched.
	neverUpdatedAge = time.Hour
)

// loadTable holds the latest load report of each engine.
type loadTable struct {
	mu    sync.Mutex
	loads map[string]loadReport
	// updatedAt is when each hall's record was last applied.
	updatedAt map[string]time.Time
}

// loadReport is an engine's load with the time at which this box applied it.
type loadReport struct {
	load orders.Load
	at   time.Time
}

func newLoadTable() *loadTable {
	return &loadTable{loads: map[string]loadReport{}, updatedAt: map[string]time.Time{}}
}

// update stores the loads of a hall's record.
func (t *loadTable) update(name string, loads orders.Loads) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.updatedAt[name] = now
	for id, load := range loads.Engines {
		t.loads[id] = loadReport{load: load, at: now}
	}
}

// hasRecentReport reports whether an engine's load was received within loadReportTimeout.
func (t *loadTable) hasRecentReport(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, ok := t.loads[id]
	return ok && time.Since(report.at) < loadReportTimeout
}

// candidate returns an engine as a candidate for the router.
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

// age returns the time since a hall's record was last applied.
func (t *loadTable) age(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.updatedAt[name]
	if !ok {
		return neverUpdatedAge
	}
	return time.Since(at)
}
