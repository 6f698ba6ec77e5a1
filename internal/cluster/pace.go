package cluster

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// activityShare is the part of this box's link that what it tells of activity may take. The rest is for
	// changes, which must not wait behind it, and for callers.
	activityShare = 0.5
	// packedActivityBytes is from which length on activity is packed: below, the processor time costs more
	// than the bytes. The loads of 140 upstreams take 8 KB, those of 600 33 KB.
	packedActivityBytes = 16 << 10
	// earlyTurn is when a box may be told again, in hundredths of an equal turn: boxes ask at times of their
	// own, and what one does not use another may.
	earlyTurn = 75
	// bunchTime is how much of the activity's part may be under way when a box is told: a box that calls all
	// others at once tells them all, and a change waits no longer than this.
	bunchTime = 20 * time.Millisecond
	// These are about how long the parts of activity are as JSON, in bytes.
	loadBytes    = 55
	useBytes     = 80
	outcomeBytes = 30
	promptBytes  = 40
	blockBytes   = 30
	workBytes    = 60
)

// pace spaces what this box tells others of activity, so that all together leave room on its link. It is safe
// for concurrent use.
type pace struct {
	// bytesPerSecond is the rate of the box's link; 0 does not space.
	bytesPerSecond float64

	mu sync.Mutex
	// sent is when each box was last told.
	sent map[string]time.Time
	// longest is the length of the longest message lately, in bytes.
	longest int
	// through is when all that was told is through at the activity's part of the link.
	through time.Time
}

// due reports whether a box is told now, of a number of boxes that are told regularly: its turn has about come,
// and what others were told is through but for bunchTime.
func (p *pace) due(to string, receivers int, now time.Time) bool {
	if p.bytesPerSecond <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	turn := time.Duration(receivers) * p.takes(p.longest)
	return now.Sub(p.sent[to]) >= turn*earlyTurn/100 && !p.through.After(now.Add(bunchTime))
}

// takes is how long a number of bytes take the activity's part of the link.
func (p *pace) takes(bytes int) time.Duration {
	return time.Duration(float64(bytes) / (activityShare * p.bytesPerSecond) * float64(time.Second))
}

// note notes that a box is told, and in how many bytes.
func (p *pace) note(to string, bytes int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent == nil {
		p.sent = map[string]time.Time{}
	}
	maps.DeleteFunc(p.sent, func(_ string, at time.Time) bool { return now.Sub(at) > memberTTL })
	p.sent[to] = now
	if p.bytesPerSecond > 0 {
		if p.through.Before(now) {
			p.through = now
		}
		p.through = p.through.Add(p.takes(bytes))
	}
	// A shorter message counts by and by: one exchange with little to tell does not free the link.
	p.longest = max(bytes, p.longest*9/10)
}

// addActivity adds to a message what its receiver is told of activity, if it is due. What is not due waits, and
// is added up.
func (e *Exchange) addActivity(to string, m *message) error {
	now := time.Now()
	if !e.pace.due(to, e.Members.receivers(now), now) {
		return nil
	}
	waiting := e.Pending.take(to)
	told := activity{Observations: waiting.observations(), Work: waiting.workItems()}
	if m.Scope != noScope {
		told.Summary = e.Members.summaryFor(to, m.Scope, e.ownSummary())
	}
	if e.Members.readsBinary(to) {
		m.BinaryActivity = told.encode()
		m.Observations.Paused = told.Observations.Paused // The binary form has none.
		e.pace.note(to, len(m.BinaryActivity)*4/3, now)  // In base64.
		return nil
	}
	bytes := told.bytes()
	if bytes < packedActivityBytes || !e.Members.takesPieces(to) {
		m.Summary, m.Observations, m.Work = told.Summary, told.Observations, told.Work
		e.pace.note(to, bytes, now)
		return nil
	}
	text, err := json.Marshal(told)
	if err != nil {
		return errors.Trace(err)
	}
	m.PackedActivity, err = pack(text)
	e.pace.note(to, len(m.PackedActivity)*4/3, now) // In base64.
	return err
}

// bytes is about how long the activity is as JSON.
func (a *activity) bytes() int {
	bytes := len(a.Observations.Outcomes)*outcomeBytes + len(a.Work)*workBytes
	for _, prompt := range a.Observations.Prompts {
		bytes += promptBytes + len(prompt.Blocks)*blockBytes
	}
	if a.Summary != nil {
		bytes += len(a.Summary.Loads)*loadBytes + len(a.Summary.Uses)*useBytes
	}
	return bytes
}

// unpackActivity replaces packed and binary activity by what it holds.
func (m *message) unpackActivity() error {
	if m.BinaryActivity != nil {
		told, err := decodeActivity(m.BinaryActivity)
		m.takeActivity(told)
		return err
	}
	if m.PackedActivity == nil {
		return nil
	}
	text, err := unpack(m.PackedActivity)
	if err != nil {
		return err
	}
	var told activity
	if err := json.Unmarshal(text, &told); err != nil {
		return errors.WithType(err, errContent)
	}
	m.takeActivity(told)
	return nil
}

func (m *message) takeActivity(told activity) {
	m.PackedActivity, m.BinaryActivity = nil, nil
	if told.Observations.Paused == nil {
		told.Observations.Paused = m.Observations.Paused
	}
	m.Summary, m.Observations, m.Work = told.Summary, told.Observations, told.Work
}
