package dispatch

import (
	"math"
	"time"
)

// Ticket tracks one request in flight at one upstream. The request counts as load until End.
type Ticket struct {
	tracker  *LoadTracker
	upstream string
	model    string
	load     Load
	sentAt   time.Time
	// predicted is the mean time to the first token as predicted when the request was sent, without penalties
	// and without the wait for a slot.
	predicted time.Duration
	// delay is the time in which the engine was to prefill other prompts before, by the keeper of reservations.
	delay time.Duration
	// prefill is how long the uncached part of the prompt takes to prefill at pace 1.
	prefill   time.Duration
	started   bool
	startedAt time.Time
	ended     bool
	onEnd     func()
}

// Begin records that a request is sent to the chosen upstream.
func (t *LoadTracker) Begin(choice Choice, need Requirements) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := choice.Upstream.ID
	record := t.record(id)
	load := Load{Running: 1, Waiting: 1}
	if len(need.Blocks) > 0 || need.PromptTokens > 0 {
		load.Prefill[urgencyLevel(need.Urgency)] = int(math.Ceil(float64(choice.Uncached) * t.modelPace(need.Model)))
		load.Tokens = need.PromptTokens + need.AnswerTokens
		t.recordPrompt(id, record, need)
	}
	record.own.Add(load)
	return &Ticket{
		tracker: t, upstream: id, model: need.Model, load: load, sentAt: time.Now(),
		predicted: choice.meanWait, delay: choice.delay, prefill: prefillTime(choice.Uncached),
	}
}

// OnEnd makes End call f once. The tracker is locked during the call, so f must not use it. OnEnd must be
// called before the ticket is shared between goroutines.
func (t *Ticket) OnEnd(f func()) { t.onEnd = f }

// Started records the first token, or the start of a plain service's response. Calls after the first one and
// after End do nothing.
func (t *Ticket) Started() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if t.started || t.ended {
		return
	}
	t.started, t.startedAt = true, time.Now()
	record := t.tracker.record(t.upstream)
	record.own.finishPrefill(t.load)
	if t.model == "" {
		record.responseTime.add(t.startedAt.Sub(t.sentAt), t.startedAt)
		return
	}
	firstToken := t.startedAt.Sub(t.sentAt)
	record.updateFactor(t.predicted, firstToken)
	t.tracker.updateDemandFactor(t.model, t.predicted, firstToken)
	t.tracker.learnPace(t.model, t.prefill, firstToken-t.delay)
}

// End records the end of the request, whatever its outcome. Calls after the first one do nothing.
func (t *Ticket) End() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	if t.onEnd != nil {
		t.onEnd()
	}
	record := t.tracker.record(t.upstream)
	if !t.started {
		record.own.finishPrefill(t.load)
	} else {
		record.recordRunTime(time.Since(t.startedAt))
	}
	record.own.Running--
	record.own.Tokens -= t.load.Tokens
}
