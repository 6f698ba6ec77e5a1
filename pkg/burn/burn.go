// Package burn counts how models are served against their targets.
//
// Each box counts for itself under its incarnation, and counts only grow. A snapshot can
// therefore be kept by other boxes and merged in any order: the latest of each
// incarnation counts, also after the box is gone.
package burn

import (
	"sort"
	"sync"
	"time"
)

// Result is what became of one request.
type Result int

// The results of a request.
const (
	// WithinTarget: served whole, within the model's targets.
	WithinTarget Result = iota
	// Late: served whole, beyond a target.
	Late
	// Failed: the answer broke off or its outcome is unknown.
	Failed
	// Refused: not run.
	Refused
)

const (
	// slotTime is the span of one slot of the windows.
	slotTime = 5 * time.Minute
	// longSlots is the long window: an hour.
	longSlots = 12
	// shortSlots is the short window: the slot under way and the one before.
	shortSlots = 2
)

// Windows over which burn rates are taken.
const (
	ShortWindow = shortSlots * slotTime
	LongWindow  = longSlots * slotTime
)

// Line counts the requests of one customer's model or service.
type Line struct {
	Customer  string  `json:"customer"`
	Model     string  `json:"model"`
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
	// Number is the span's time divided by its length.
	Number int64  `json:"n"`
	Total  uint64 `json:"t"`
	Missed uint64 `json:"m,omitempty"`
}

// Snapshot is what one incarnation of a box has counted.
type Snapshot struct {
	Box         string    `json:"box"`
	Incarnation string    `json:"incarnation"`
	Sequence    uint64    `json:"sequence"`
	Since       time.Time `json:"since"`
	Lines       []Line    `json:"lines"`
}

// Recorder counts for one box. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	snapshot Snapshot
	lines    map[lineKey]*Line
}

type lineKey struct{ customer, model string }

// NewRecorder returns a recorder of one incarnation of a box.
func NewRecorder(box, incarnation string) *Recorder {
	return &Recorder{
		snapshot: Snapshot{Box: box, Incarnation: incarnation, Since: time.Now().UTC()},
		lines:    map[lineKey]*Line{},
	}
}

// Record counts one request; reason is that of a refusal.
func (r *Recorder) Record(customer, model string, objective float64, result Result, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := lineKey{customer, model}
	line, ok := r.lines[key]
	if !ok {
		line = &Line{Customer: customer, Model: model}
		r.lines[key] = line
	}
	line.Objective = objective
	line.count(result, reason)
	line.slot(time.Now(), result != WithinTarget)
	r.snapshot.Sequence++
}

// Snapshot copies what was counted so far.
func (r *Recorder) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.snapshot
	snapshot.Lines = make([]Line, 0, len(r.lines))
	for _, line := range r.lines {
		snapshot.Lines = append(snapshot.Lines, line.clone())
	}
	sortLines(snapshot.Lines)
	return snapshot
}

func (l *Line) count(result Result, reason string) {
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

func (l *Line) slot(now time.Time, missed bool) {
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

func (l *Line) clone() Line {
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

func slotNumber(at time.Time) int64 { return at.Unix() / int64(slotTime.Seconds()) }

func sortLines(lines []Line) {
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].Customer != lines[j].Customer {
			return lines[i].Customer < lines[j].Customer
		}
		return lines[i].Model < lines[j].Model
	})
}
