// Package dispatch chooses the back end of each request.
//
// It predicts the time to the first token from what this process and its peers have sent to an
// engine and have not seen answered, and from the prompts that the engine probably keeps.
// Engines' own reports lag and are not asked for.
package dispatch

import (
	"math"
	"sync"
	"time"
)

// UrgencyLevels is how many ranks of urgency are told apart; 0 is the most urgent.
const UrgencyLevels = 3

// ahead is the prompt tokens that are read before those of a new request.
func (l *Load) ahead(urgency int) int {
	tokens := 0
	for rank := range min(urgency, UrgencyLevels-1) + 1 {
		tokens += l.Prefill[rank]
	}
	return tokens
}

// Load is what one process has under way at one back end.
type Load struct {
	// Running requests, from the sending to the end of the answer.
	Running int `json:"r,omitempty"`
	// Prefill is the prompt tokens that the back end has still to read, by their urgency.
	Prefill [UrgencyLevels]int `json:"p,omitzero"`
	// Tokens of memory that the running requests take or will take.
	Tokens int `json:"t,omitempty"`
	// Waiting requests have no first token yet.
	Waiting int `json:"w,omitempty"`
}

// Add adds another process's load at the same back end.
func (l *Load) Add(other Load) {
	l.Running += other.Running
	for urgency, tokens := range other.Prefill {
		l.Prefill[urgency] += tokens
	}
	l.Tokens += other.Tokens
	l.Waiting += other.Waiting
}

// read takes a request's prompt off what is still to be read.
func (l *Load) read(request Load) {
	for urgency, tokens := range request.Prefill {
		l.Prefill[urgency] -= tokens
	}
	l.Waiting--
}

// SentPrompt is a prompt that a process sent to an engine.
type SentPrompt struct {
	Upstream string        `json:"b"`
	Blocks   []PrefixBlock `json:"s"`
}

// Outcomes counts how requests to a back end ended.
type Outcomes struct {
	Succeeded int `json:"g,omitempty"`
	Failed    int `json:"b,omitempty"`
}

// LoadTracker keeps the loads of all back ends. It is safe for concurrent use.
type LoadTracker struct {
	mu       sync.Mutex
	backends map[string]*backendBook
	// others is what all other processes have under way, as far as they were heard.
	others map[string]Load
	// pace is how fast models work, by name: 1 is what the prediction goes by.
	pace map[string]float64
	// sent and verdicts are what the peers have not been told yet.
	sent     []SentPrompt
	verdicts map[string]Outcomes
}

type backendBook struct {
	own Load
	// cache is nil until the engine was sent a prompt.
	cache  *prefixCache
	health health
	// slowness is observed time to the first token by predicted, as a running mean.
	slowness float64
	// capacity of the engine's memory in tokens.
	capacity int
}

const (
	// keptShare is the part of an engine's memory that is counted on for kept prompts.
	keptShare = 0.7
	// maxSentKept bounds what is remembered for the peers between two exchanges.
	maxSentKept = 2000
)

// NewLoadTracker returns an empty book.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{
		backends: map[string]*backendBook{},
		pace:     map[string]float64{},
		verdicts: map[string]Outcomes{},
	}
}

// of returns the book of one back end. The caller holds the lock.
func (b *LoadTracker) of(id string) *backendBook {
	entry := b.backends[id]
	if entry == nil {
		entry = &backendBook{slowness: 1}
		b.backends[id] = entry
	}
	return entry
}

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

// notePrompt counts a prompt as kept by the engine. The caller holds the lock.
func (b *LoadTracker) notePrompt(entry *backendBook, id string, need Requirements) {
	if entry.cache == nil {
		entry.cache = newPrefixCache(int(keptShare * float64(need.CacheTokens)))
	}
	entry.cache.use(need.Blocks)
	// The last part is the request's own: the peers have no use for it.
	shared := need.Blocks[:max(0, len(need.Blocks)-1)]
	if len(shared) > 0 && len(b.sent) < maxSentKept && entry.cache.tell(shared, time.Now()) {
		b.sent = append(b.sent, SentPrompt{Upstream: id, Blocks: shared})
	}
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

const (
	// slownessWeight and paceWeight are those of a new observation in the running means.
	slownessWeight = 0.05
	paceWeight     = 0.1
	// leastFactor and mostFactor bound the factors and one observation.
	leastFactor = 0.2
	mostFactor  = 1.5
	// leastPredicted is too short to compare with.
	leastPredicted = 8 * time.Millisecond
)

// observe corrects the factors by a prediction and what came of it. The caller holds the lock.
func (b *LoadTracker) observe(entry *backendBook, model string, predicted, observed time.Duration) {
	if predicted < leastPredicted {
		return
	}
	ratio := bounded(float64(observed) / float64(predicted))
	entry.slowness = bounded(entry.slowness * math.Pow(ratio, slownessWeight))
	if model != "" {
		b.pace[model] = bounded(b.paceOf(model) * math.Pow(ratio, paceWeight))
	}
}

func bounded(factor float64) float64 { return min(mostFactor, max(leastFactor, factor)) }

// paceOf is the factor of a model's work. The caller holds the lock.
func (b *LoadTracker) paceOf(model string) float64 {
	if pace, ok := b.pace[model]; ok {
		return pace
	}
	return 1
}

// Work estimates the engine time that a request costs.
func (b *LoadTracker) Work(need Requirements, uncached int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	work := prefillTime(uncached) + time.Duration(need.AnswerTokens)*answerTokenTime
	return time.Duration(float64(work) * b.paceOf(need.Model))
}

// answerTokenTime is the engine time of one token of an answer, which shares its step with
// those of other requests.
const answerTokenTime = 150 * time.Microsecond

// RecordOutcome notes how a request to a back end ended.
func (b *LoadTracker) RecordOutcome(backend string, good bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.verdicts[backend]
	if good {
		counts.Succeeded++
	} else {
		counts.Failed++
	}
	b.verdicts[backend] = counts
	b.of(backend).health.note(good)
}

// Unresponsive tells whether nobody got an answer from a back end lately, though several tried.
func (b *LoadTracker) Unresponsive(backend string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.backends[backend]
	return entry != nil && entry.health.silent(time.Now())
}

// Observations is what a process tells its peers.
type Observations struct {
	Prompts  []SentPrompt        `json:"sent,omitempty"`
	Outcomes map[string]Outcomes `json:"verdicts,omitempty"`
}

// Loads returns what this process has under way.
func (b *LoadTracker) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[string]Load{}
	for id, entry := range b.backends {
		if entry.own != (Load{}) {
			loads[id] = entry.own
		}
	}
	return loads
}

// TakeObservations returns what was sent and seen since the last call.
func (b *LoadTracker) TakeObservations() ([]SentPrompt, map[string]Outcomes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent, verdicts := b.sent, b.verdicts
	b.sent, b.verdicts = nil, map[string]Outcomes{}
	return sent, verdicts
}

// MergeObservations takes in a peer's news.
func (b *LoadTracker) MergeObservations(news Observations) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sent := range news.Prompts {
		entry := b.of(sent.Upstream)
		if entry.cache == nil {
			if entry.capacity == 0 {
				continue
			}
			entry.cache = newPrefixCache(entry.capacity)
		}
		entry.cache.use(sent.Blocks)
		entry.cache.tell(sent.Blocks, time.Now())
	}
	for id, counts := range news.Outcomes {
		entry := b.of(id)
		for range min(counts.Succeeded, maxVerdicts) {
			entry.health.note(true)
		}
		for range min(counts.Failed, maxVerdicts) {
			entry.health.note(false)
		}
	}
}

// maxVerdicts bounds how much one message of a peer can weigh.
const maxVerdicts = 20

// Forget drops a back end that is gone.
func (b *LoadTracker) Forget(backend string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry := b.backends[backend]; entry != nil && entry.own == (Load{}) {
		delete(b.backends, backend)
	}
}

// SetRemoteLoads takes what all other processes have under way at the back ends.
func (b *LoadTracker) SetRemoteLoads(loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = loads
}

// total is the load of a back end from all processes. The caller holds the lock.
func (b *LoadTracker) total(id string, entry *backendBook) Load {
	load := b.others[id]
	load.Add(entry.own)
	return load
}

// Total is the load of a back end from all processes.
func (b *LoadTracker) Total(id string) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total(id, b.of(id))
}
