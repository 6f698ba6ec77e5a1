// Package burn counts how models and services are served against their targets, and reports the
// error budget and the burn rates.
//
// Each box counts for itself under its incarnation, and counts only grow. A snapshot can
// therefore be kept by other boxes and merged in any order: the latest of each incarnation counts,
// also after the box is gone. The package owns the counts and the arithmetic; internal/box decides
// what is late and hands snapshots to other boxes.
//
// It belongs to the native way, `ospreymoor serve`. `ospreymoor node` has no burn report; its
// metrics count requests by outcome instead.
package burn

import (
	"sort"
	"sync"
	"time"
)

// Result is the outcome of one request as the report counts it.
type Result int

// The results of a request.
const (
	// WithinTarget requests were served whole, within the targets.
	WithinTarget Result = iota
	// Late requests were served whole, beyond a target.
	Late
	// Failed requests broke off, or their outcome is unknown.
	Failed
	// Refused requests were not run.
	Refused
)

const (
	// slotSpan is the span of one slot of the windows: 5 min.
	slotSpan = 5 * time.Minute
	// longSlots is the long window, 12 slots or an hour.
	longSlots = 12
	// shortSlots is the short window, the slot under way and the one before: 5 to 10 min.
	shortSlots = 2
)

// Counts counts the requests of one customer's model or service since its box started.
type Counts struct {
	Customer string `json:"customer"`
	// Model is the name of the model or of the service.
	Model string `json:"model"`
	// Objective is the share of requests to serve within target.
	Objective float64 `json:"objective"`
	Within    uint64  `json:"within,omitempty"`
	Late      uint64  `json:"late,omitempty"`
	Failed    uint64  `json:"failed,omitempty"`
	// Refused counts by reason.
	Refused map[string]uint64 `json:"refused,omitempty"`
	// Slots are the latest spans of time, oldest first.
	Slots []Slot `json:"slots,omitempty"`
}

// Slot counts the requests of one span of time.
type Slot struct {
	// Number is the span's time since 1970 divided by slotSpan.
	Number int64  `json:"n"`
	Total  uint64 `json:"t"`
	Missed uint64 `json:"m,omitempty"`
}

// Snapshot is what one incarnation of a box has counted.
type Snapshot struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	// Sequence grows with each request: the highest is the latest.
	Sequence uint64    `json:"sequence"`
	Since    time.Time `json:"since"`
	Lines    []Counts  `json:"lines"`
}

// Recorder counts for one box. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	snapshot Snapshot
	lines    map[lineKey]*Counts
}

type lineKey struct{ customer, model string }

// NewRecorder returns a recorder of one incarnation of a box.
func NewRecorder(box, incarnation string) *Recorder {
	return &Recorder{
		snapshot: Snapshot{Box: box, Incarnation: incarnation, Since: time.Now().UTC()},
		lines:    map[lineKey]*Counts{},
	}
}

// Count counts one request; reason counts for refusals only.
func (r *Recorder) Count(customer, model string, objective float64, result Result, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := lineKey{customer, model}
	line, ok := r.lines[key]
	if !ok {
		line = &Counts{Customer: customer, Model: model}
		r.lines[key] = line
	}
	line.Objective = objective
	line.Count(time.Now(), result, reason)
	r.snapshot.Sequence++
}

// Snapshot copies what was counted so far.
func (r *Recorder) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.snapshot
	snapshot.Lines = make([]Counts, 0, len(r.lines))
	for _, line := range r.lines {
		snapshot.Lines = append(snapshot.Lines, line.clone())
	}
	sortLines(snapshot.Lines)
	return snapshot
}

// Count counts one request that ended at a time, not before those counted already; reason counts for
// refusals only.
func (l *Counts) Count(at time.Time, result Result, reason string) {
	l.total(result, reason)
	l.slot(at, result != WithinTarget)
}

// total adds one request to the totals.
func (l *Counts) total(result Result, reason string) {
	switch result {
	case WithinTarget:
		l.Within++
	case Late:
		l.Late++
	case Failed:
		l.Failed++
	case Refused:
		if l.Refused == nil {
			l.Refused = map[string]uint64{}
		}
		l.Refused[reason]++
	}
}

// slot adds one request to the slot of its time.
func (l *Counts) slot(now time.Time, missed bool) {
	number := slotNumber(now)
	if len(l.Slots) == 0 || l.Slots[len(l.Slots)-1].Number != number {
		l.Slots = append(l.Slots, Slot{Number: number})
		if len(l.Slots) > longSlots {
			l.Slots = l.Slots[1:]
		}
	}
	last := &l.Slots[len(l.Slots)-1]
	last.Total++
	if missed {
		last.Missed++
	}
}

func (l *Counts) clone() Counts {
	c := *l
	c.Slots = append([]Slot(nil), l.Slots...)
	c.Refused = nil
	for reason, n := range l.Refused {
		if c.Refused == nil {
			c.Refused = map[string]uint64{}
		}
		c.Refused[reason] = n
	}
	return c
}

// slotNumber is the number of the slot under way at a time.
func slotNumber(at time.Time) int64 { return at.Unix() / int64(slotSpan.Seconds()) }

func sortLines(lines []Counts) {
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].Customer != lines[j].Customer {
			return lines[i].Customer < lines[j].Customer
		}
		return lines[i].Model < lines[j].Model
	})
}
