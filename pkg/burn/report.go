package burn

import (
	"sync"
	"time"
)

// Keeper holds the latest snapshot of each incarnation of other boxes. It is safe for concurrent use.
type Keeper struct {
	mu sync.Mutex
	// snapshots by incarnation, and the incarnations in the order in which they came.
	snapshots map[string]Snapshot
	order     []string
}

// maxIncarnations bounds the snapshots kept; the one that came first goes first: 64.
const maxIncarnations = 64

// NewKeeper returns an empty keeper.
func NewKeeper() *Keeper { return &Keeper{snapshots: map[string]Snapshot{}} }

// Keep takes a snapshot in if it is the latest of its incarnation.
func (k *Keeper) Keep(snapshot Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old, ok := k.snapshots[snapshot.Incarnation]
	if ok && old.Sequence >= snapshot.Sequence {
		return
	}
	if !ok {
		k.order = append(k.order, snapshot.Incarnation)
	}
	k.snapshots[snapshot.Incarnation] = snapshot
	if len(k.order) > maxIncarnations {
		delete(k.snapshots, k.order[0])
		k.order = k.order[1:]
	}
}

// Snapshots returns all that is kept.
func (k *Keeper) Snapshots() []Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []Snapshot
	for _, incarnation := range k.order {
		all = append(all, k.snapshots[incarnation])
	}
	return all
}

// Status is the sum of all boxes' lines of one model or service, with the rates.
type Status struct {
	Counts
	// Requests is the number of all requests, refused ones included.
	Requests uint64
	// BudgetLeft is the share of the error budget left; below 0 it is overspent.
	BudgetLeft float64
	// BurnShort and BurnLong are the rates at which the budget is spent over the
	// short and the long window; 1 spends just the budget.
	BurnShort float64
	BurnLong  float64
}

// Report adds up the latest snapshot of each incarnation, by customer and model. Every request that
// was not served within target spends the error budget, refused ones too. If boxes go by different
// objectives while a bundle rolls, the higher one counts.
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

// add adds another box's line of the same model.
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

// status is the error budget and the burn rates of a sum.
func (l Counts) status(now time.Time) Status {
	s := Status{Counts: l, Requests: l.Within + l.Late + l.Failed}
	for _, n := range l.Refused {
		s.Requests += n
	}
	allowed := 1 - l.Objective
	s.BudgetLeft = 1
	if s.Requests > 0 && allowed > 0 {
		missed := float64(s.Requests-l.Within) / float64(s.Requests)
		s.BudgetLeft = 1 - missed/allowed
	}
	s.BurnShort = l.rate(now, shortSlots, allowed)
	s.BurnLong = l.rate(now, longSlots, allowed)
	return s
}

// rate is the share of missed requests over the latest slots, as a multiple of the share allowed;
// 0 without requests.
func (l Counts) rate(now time.Time, slots int64, allowed float64) float64 {
	first := slotNumber(now) - slots + 1
	var total, missed uint64
	for _, slot := range l.Slots {
		if slot.Number >= first {
			total += slot.Total
			missed += slot.Missed
		}
	}
	if total == 0 || allowed <= 0 {
		return 0
	}
	return float64(missed) / float64(total) / allowed
}
