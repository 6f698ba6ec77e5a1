// Package burn counts the requests to models and services by whether their targets were met, and
// reports error budgets and burn rates.
//
// Each box counts its own requests under its incarnation, and counts only grow. Other boxes can
// therefore keep a snapshot and merge snapshots in any order: the latest of each incarnation is used,
// even after the box is gone. The package owns the counts and the arithmetic; internal/box decides
// which requests are late and sends snapshots to other boxes.
//
// It belongs to the native mode, `ospreymoor serve`. `ospreymoor node` has no burn report of its own; its
// metrics count requests by outcome, and `ospreymoor report requests` computes the budgets from its logs.
package burn

import (
	"sort"
	"sync"
	"time"
)

// Result is the outcome of one request, as the report counts it.
type Result int

// The results of a request.
const (
	// WithinTarget means that the request was served completely, within its targets.
	WithinTarget Result = iota
	// Late means that the request was served completely, but missed a target.
	Late
	// Failed means that the answer broke off or the outcome is unknown.
	Failed
	// Refused means that the request was not run.
	Refused
)

const (
	// slotDuration is the length of one slot of the windows: 5 min.
	slotDuration = 5 * time.Minute
	// longSlots is the long window, in slots: 12, or an hour.
	longSlots = 12
	// shortSlots is the short window, in slots: the current one and the one before it, 5 to 10 min.
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
	// Refused is the number of refused requests by reason.
	Refused map[string]uint64 `json:"refused,omitempty"`
	// Slots are the latest slots with requests, oldest first.
	Slots []Slot `json:"slots,omitempty"`
}

// Slot counts the requests that ended within one slot of time.
type Slot struct {
	// Number is the time from 1970 to the slot's start, divided by slotDuration.
	Number int64  `json:"n"`
	Total  uint64 `json:"t"`
	Missed uint64 `json:"m,omitempty"`
}

// Snapshot is what one incarnation of a box has counted.
type Snapshot struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	// Sequence grows with each request: of one incarnation's snapshots, the one with the highest is the latest.
	Sequence uint64    `json:"sequence"`
	Since    time.Time `json:"since"`
	Lines    []Counts  `json:"lines"`
}

// Recorder counts the requests of one box. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	snapshot Snapshot
	lines    map[lineKey]*Counts
}

type lineKey struct{ customer, model string }

// NewRecorder returns an empty recorder for one incarnation of a box.
func NewRecorder(box, incarnation string) *Recorder {
	return &Recorder{
		snapshot: Snapshot{Box: box, Incarnation: incarnation, Since: time.Now().UTC()},
		lines:    map[lineKey]*Counts{},
	}
}

// Count counts one request that ends now; reason is used only for refused requests.
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

// Snapshot returns a copy of all counts so far.
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

// Count counts one request that ended at a time, which must not be earlier than that of requests counted
// already. reason is used only for refused requests.
func (l *Counts) Count(at time.Time, result Result, reason string) {
	l.addToTotals(result, reason)
	l.addToSlot(at, result != WithinTarget)
}

// addToTotals adds one request to the total of its result.
func (l *Counts) addToTotals(result Result, reason string) {
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

// addToSlot adds one request to the slot of its time, and drops the oldest slot if there are too many.
func (l *Counts) addToSlot(now time.Time, missed bool) {
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

// slotNumber returns the number of the slot that contains a time.
func slotNumber(at time.Time) int64 { return at.Unix() / int64(slotDuration.Seconds()) }

func sortLines(lines []Counts) {
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].Customer != lines[j].Customer {
			return lines[i].Customer < lines[j].Customer
		}
		return lines[i].Model < lines[j].Model
	})
}
