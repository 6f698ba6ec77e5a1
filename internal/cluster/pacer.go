package cluster

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// activityShare is the share of this box's link that the activity it sends may use. The rest is for changes,
	// which must not wait behind activity, and for callers.
	activityShare = 0.5
	// packedActivityBytes is the length from which on activity is packed. Below it, the processor time costs more
	// than the bytes. The loads of 140 upstreams take 8 KB, those of 600 take 33 KB.
	packedActivityBytes = 16 << 10
	// minTurnPercent is the minimum time between two sends of activity to one box, in percent of an equal turn: the
	// time in which all receivers can be sent activity once. Boxes call at different times, so that a box may use
	// time that another one leaves unused.
	minTurnPercent = 75
	// maxBacklogTime bounds the activity still in transmission when more is sent, as time at the activity's share of
	// the link. It allows a box that calls all others at once to send to all of them, and a change waits no longer
	// than this.
	maxBacklogTime = 20 * time.Millisecond
	// Approximate sizes of the parts of activity as JSON, in bytes.
	loadBytes    = 55
	useBytes     = 80
	outcomeBytes = 30
	promptBytes  = 40
	blockBytes   = 30
	workBytes    = 60
)

// activityPacer limits how often this box sends activity to others, so that all of it together leaves room on the
// link. It is safe for concurrent use.
type activityPacer struct {
	// bytesPerSecond is the rate of the box's link; 0 means no limit.
	bytesPerSecond float64

	mu sync.Mutex
	// lastSent is when each box was last sent activity.
	lastSent map[string]time.Time
	// peakBytes is the length of the longest recent message, in bytes.
	peakBytes int
	// busyUntil is when all activity sent so far is transmitted, at the activity's share of the link.
	busyUntil time.Time
}

// due reports whether a box may be sent activity now. receivers is how many boxes are sent it regularly.
// minTurnPercent of a turn must have passed since the last send to this box, and the backlog must be at most
// maxBacklogTime.
func (p *activityPacer) due(to string, receivers int, now time.Time) bool {
	if p.bytesPerSecond <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	turn := time.Duration(receivers) * p.transmitTime(p.peakBytes)
	return now.Sub(p.lastSent[to]) >= turn*minTurnPercent/100 && !p.busyUntil.After(now.Add(maxBacklogTime))
}

// transmitTime returns how long a number of bytes takes at the activity's share of the link.
func (p *activityPacer) transmitTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / (activityShare * p.bytesPerSecond) * float64(time.Second))
}

// record records that a box is sent activity, and its length in bytes.
func (p *activityPacer) record(to string, bytes int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastSent == nil {
		p.lastSent = map[string]time.Time{}
	}
	maps.DeleteFunc(p.lastSent, func(_ string, at time.Time) bool { return now.Sub(at) > memberTTL })
	p.lastSent[to] = now
	if p.bytesPerSecond > 0 {
		if p.busyUntil.Before(now) {
			p.busyUntil = now
		}
		p.busyUntil = p.busyUntil.Add(p.transmitTime(bytes))
	}
	// The peak decays slowly: one short exchange does not mean that the link is free.
	p.peakBytes = max(bytes, p.peakBytes*9/10)
}

// addActivity adds to a message the activity that its receiver was not sent yet, if the receiver is due. Otherwise
// the activity stays queued and is added up.
func (e *Exchange) addActivity(to string, m *message) error {
	now := time.Now()
	if !e.pacer.due(to, e.Members.summaryReceivers(now), now) {
		return nil
	}
	queued := e.Pending.take(to)
	outgoing := activity{Observations: queued.observations(), Work: queued.workItems()}
	if m.Scope != noScope {
		outgoing.Summary = e.Members.summaryFor(to, m.Scope, e.ownSummary())
	}
	if e.Members.readsBinary(to) {
		m.BinaryActivity = outgoing.encode()
		m.Observations.Paused = outgoing.Observations.Paused // The binary format has no such field.
		e.pacer.record(to, len(m.BinaryActivity)*4/3, now)   // In base64.
		return nil
	}
	bytes := outgoing.estimatedBytes()
	if bytes < packedActivityBytes || !e.Members.readsPacked(to) {
		m.Summary, m.Observations, m.Work = outgoing.Summary, outgoing.Observations, outgoing.Work
		e.pacer.record(to, bytes, now)
		return nil
	}
	text, err := json.Marshal(outgoing)
	if err != nil {
		return errors.Trace(err)
	}
	m.PackedActivity, err = pack(text)
	e.pacer.record(to, len(m.PackedActivity)*4/3, now) // In base64.
	return err
}

// estimatedBytes returns the approximate length of the activity as JSON.
func (a *activity) estimatedBytes() int {
	bytes := len(a.Observations.Outcomes)*outcomeBytes + len(a.Work)*workBytes
	for _, prompt := range a.Observations.Prompts {
		bytes += promptBytes + len(prompt.Blocks)*blockBytes
	}
	if a.Summary != nil {
		bytes += len(a.Summary.Loads)*loadBytes + len(a.Summary.Uses)*useBytes
	}
	return bytes
}

// unpackActivity replaces packed or binary activity by the fields that it contains.
func (m *message) unpackActivity() error {
	if m.BinaryActivity != nil {
		unpacked, err := decodeActivity(m.BinaryActivity)
		m.setActivity(unpacked)
		return err
	}
	if m.PackedActivity == nil {
		return nil
	}
	text, err := unpack(m.PackedActivity)
	if err != nil {
		return err
	}
	var unpacked activity
	if err := json.Unmarshal(text, &unpacked); err != nil {
		return errors.WithType(err, errBadBlob)
	}
	m.setActivity(unpacked)
	return nil
}

func (m *message) setActivity(unpacked activity) {
	m.PackedActivity, m.BinaryActivity = nil, nil
	if unpacked.Observations.Paused == nil {
		unpacked.Observations.Paused = m.Observations.Paused
	}
	m.Summary, m.Observations, m.Work = unpacked.Summary, unpacked.Observations, unpacked.Work
}
