package dispatch

import (
	"time"
)

// Ticket is one request under way at one back end.
type Ticket struct {
	book    *LoadTracker
	backend string
	model   string
	load    Load
	sentAt  time.Time
	// predicted time to the first token when the request was sent.
	predicted time.Duration
	started   bool
	ended     bool
	onEnd     func()
}

// OnEnd has f called when the request is over.
func (t *Ticket) OnEnd(f func()) { t.onEnd = f }

// Begin notes that a request is sent to a back end.
func (b *LoadTracker) Begin(choice Choice, need Requirements) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.of(choice.Upstream.ID)
	load := Load{Running: 1, Waiting: 1}
	if len(need.Blocks) > 0 || need.PromptTokens > 0 {
		load.Prefill[min(need.Urgency, UrgencyLevels-1)] = choice.Uncached
		load.Tokens = need.PromptTokens + need.AnswerTokens
		b.notePrompt(entry, choice.Upstream.ID, need)
	}
	entry.own.Add(load)
	return &Ticket{book: b, backend: choice.Upstream.ID, model: need.Model, load: load, sentAt: time.Now(), predicted: choice.Wait}
}

// Started notes the first token.
func (t *Ticket) Started() {
	t.book.mu.Lock()
	defer t.book.mu.Unlock()
	if t.started || t.ended {
		return
	}
	t.started = true
	entry := t.book.of(t.backend)
	entry.own.read(t.load)
	t.book.observe(entry, t.model, t.predicted, time.Since(t.sentAt))
}

// End notes that the request is over; it may be called more than once.
func (t *Ticket) End() {
	t.book.mu.Lock()
	defer t.book.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	if t.onEnd != nil {
		t.onEnd()
	}
	entry := t.book.of(t.backend)
	if !t.started {
		entry.own.read(t.load)
	}
	entry.own.Running--
	entry.own.Tokens -= t.load.Tokens
}
