package burn

import (
	"sync"
	"time"
)

// SnapshotStore holds the latest snapshot of each incarnation of other boxes. It is safe for concurrent use.
type SnapshotStore struct {
	mu sync.Mutex
	// snapshots holds the snapshots by incarnation, incarnations the keys in the order of arrival.
	snapshots    map[string]Snapshot
	incarnations []string
}

// maxIncarnations bounds the number of snapshots kept: 64. Beyond it, the incarnation that arrived first
// is dropped.
const maxIncarnations = 64

// NewSnapshotStore returns an empty store.
func NewSnapshotStore() *SnapshotStore { return &SnapshotStore{snapshots: map[string]Snapshot{}} }

// Keep stores a snapshot if it is the latest of its incarnation.
func (s *SnapshotStore) Keep(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.snapshots[snapshot.Incarnation]
	if ok && old.Sequence >= snapshot.Sequence {
		return
	}
	if !ok {
		s.incarnations = append(s.incarnations, snapshot.Incarnation)
	}
	s.snapshots[snapshot.Incarnation] = snapshot
	if len(s.incarnations) > maxIncarnations {
		delete(s.snapshots, s.incarnations[0])
		s.incarnations = s.incarnations[1:]
	}
}

// Snapshots returns all stored snapshots, in the order in which their incarnations arrived.
func (s *SnapshotStore) Snapshots() []Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Snapshot
	for _, incarnation := range s.incarnations {
		all = append(all, s.snapshots[incarnation])
	}
	return all
}

// Status holds the counts of one model or service summed over all boxes, with the error budget and the
// burn rates.
type Status struct {
	Counts
	// Requests is the number of all requests, refused ones included.
	Requests uint64
	// BudgetLeft is the share of the error budget that is left; below 0, the budget is overspent.
	BudgetLeft float64
	// BurnShort and BurnLong are the rates at which the budget is spent over the short and the long
	// window; at 1, exactly the budget is spent.
	BurnShort float64
	BurnLong  float64
}

// Report sums the latest snapshot of each incarnation, by customer and model. Every request that was
// not served within target spends the error budget, refused ones too. If boxes use different
// objectives while a bundle is being rolled, the highest is used.
func Report(snapshots []Snapshot, now time.Time) []Status {
	latest := map[string]Snapshot{}
	for _, s := range snapshots {
		if old, ok := latest[s.Incarnation]; !ok || old.Sequence < s.Sequence {
			latest[s.Incarnation] = s
		}
	}
	sums := map[lineKey]*Counts{}
	for _, s := range latest {
		for _, line := range s.Lines {
			key := lineKey{line.Customer, line.Model}
			if sums[key] == nil {
				sums[key] = &Counts{Customer: line.Customer, Model: line.Model, Refused: map[string]uint64{}}
			}
			sums[key].add(line)
		}
	}
	lines := make([]Counts, 0, len(sums))
	for _, line := range sums {
		lines = append(lines, *line)
	}
	sortLines(lines)
	statuses := make([]Status, 0, len(lines))
	for _, line := range lines {
		statuses = append(statuses, line.status(now))
	}
	return statuses
}

// add adds another box's counts of the same model.
func (l *Counts) add(other Counts) {
	l.Objective = max(l.Objective, other.Objective)
	l.Within += other.Within
	l.Late += other.Late
	l.Failed += other.Failed
	for reason, n := range other.Refused {
		l.Refused[reason] += n
	}
	l.Slots = append(l.Slots, other.Slots...)
}

// status returns summed counts with their error budget and burn rates.
func (l Counts) status(now time.Time) Status {
	s := Status{Counts: l, Requests: l.Within + l.Late + l.Failed}
	for _, n := range l.Refused {
		s.Requests += n
	}
	budget := 1 - l.Objective
	s.BudgetLeft = 1
	if s.Requests > 0 && budget > 0 {
		missed := float64(s.Requests-l.Within) / float64(s.Requests)
		s.BudgetLeft = 1 - missed/budget
	}
	s.BurnShort = l.burnRate(now, shortSlots, budget)
	s.BurnLong = l.burnRate(now, longSlots, budget)
	return s
}

// burnRate returns the share of requests that missed the target in the latest slots, as a multiple of
// budget, the share that may miss it. It is 0 without requests, or if budget is 0 or less.
func (l Counts) burnRate(now time.Time, slots int64, budget float64) float64 {
	first := slotNumber(now) - slots + 1
	var total, missed uint64
	for _, slot := range l.Slots {
		if slot.Number >= first {
			total += slot.Total
			missed += slot.Missed
		}
	}
	if total == 0 || budget <= 0 {
		return 0
	}
	return float64(missed) / float64(total) / budget
}
