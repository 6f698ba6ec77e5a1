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

// Urgencies is how many ranks of urgency are told apart; 0 is the most urgent.
const Urgencies = 3

// ahead is the prompt tokens that are read before those of a new request.
func (l *Load) ahead(urgency int) int {
	tokens := 0
	for rank := range min(urgency, Urgencies-1) + 1 {
		tokens += l.Prefill[rank]
	}
	return tokens
}

// Load is what one process has under way at one back end.
type Load struct {
	// Running requests, from the sending to the end of the answer.
	Running int `json:"r,omitempty"`
	// Prefill is the prompt tokens that the back end has still to read, by their urgency.
	Prefill [Urgencies]int `json:"p,omitzero"`
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

// Sent is a prompt that a process sent to an engine.
type Sent struct {
	Backend string  `json:"b"`
	Pieces  []Piece `json:"s"`
}

// Verdicts counts how requests to a back end ended.
type Verdicts struct {
	Good int `json:"g,omitempty"`
	Bad  int `json:"b,omitempty"`
}

// Book keeps the loads of all back ends. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	backends map[string]*backendBook
	// others is what all other processes have under way, as far as they were heard.
	others map[string]Load
	// pace is how fast models work, by name: 1 is what the prediction goes by.
	pace map[string]float64
	// sent and verdicts are what the peers have not been told yet.
	sent     []Sent
	verdicts map[string]Verdicts
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

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		backends: map[string]*backendBook{},
		pace:     map[string]float64{},
		verdicts: map[string]Verdicts{},
	}
}

// of returns the book of one back end. The caller holds the lock.
func (b *Book) of(id string) *backendBook {
	entry := b.backends[id]
	if entry == nil {
		entry = &backendBook{slowness: 1}
		b.backends[id] = entry
	}
	return entry
}

// Ticket is one request under way at one back end.
type Ticket struct {
	book    *Book
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
func (b *Book) Begin(choice Choice, need Need) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.of(choice.Backend.ID)
	load := Load{Running: 1, Waiting: 1}
	if len(need.Pieces) > 0 || need.PromptTokens > 0 {
		load.Prefill[min(need.Urgency, Urgencies-1)] = choice.Uncached
		load.Tokens = need.PromptTokens + need.AnswerTokens
		b.notePrompt(entry, choice.Backend.ID, need)
	}
	entry.own.Add(load)
	return &Ticket{book: b, backend: choice.Backend.ID, model: need.Model, load: load, sentAt: time.Now(), predicted: choice.Wait}
}

// notePrompt counts a prompt as kept by the engine. The caller holds the lock.
func (b *Book) notePrompt(entry *backendBook, id string, need Need) {
	if entry.cache == nil {
		entry.cache = newPrefixCache(int(keptShare * float64(need.CacheTokens)))
	}
	entry.cache.use(need.Pieces)
	// The last part is the request's own: the peers have no use for it.
	shared := need.Pieces[:max(0, len(need.Pieces)-1)]
	if len(shared) > 0 && len(b.sent) < maxSentKept && entry.cache.tell(shared, time.Now()) {
		b.sent = append(b.sent, Sent{Backend: id, Pieces: shared})
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
func (b *Book) observe(entry *backendBook, model string, predicted, observed time.Duration) {
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
func (b *Book) paceOf(model string) float64 {
	if pace, ok := b.pace[model]; ok {
		return pace
	}
	return 1
}

// Work estimates the engine time that a request costs.
func (b *Book) Work(need Need, uncached int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	work := prefillTime(uncached) + time.Duration(need.AnswerTokens)*answerTokenTime
	return time.Duration(float64(work) * b.paceOf(need.Model))
}

// answerTokenTime is the engine time of one token of an answer, which shares its step with
// those of other requests.
const answerTokenTime = 150 * time.Microsecond

// Verdict notes how a request to a back end ended.
func (b *Book) Verdict(backend string, good bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.verdicts[backend]
	if good {
		counts.Good++
	} else {
		counts.Bad++
	}
	b.verdicts[backend] = counts
	b.of(backend).health.note(good)
}

// Silent tells whether nobody got an answer from a back end lately, though several tried.
func (b *Book) Silent(backend string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.backends[backend]
	return entry != nil && entry.health.silent(time.Now())
}

// News is what a process tells its peers.
type News struct {
	Sent     []Sent              `json:"sent,omitempty"`
	Verdicts map[string]Verdicts `json:"verdicts,omitempty"`
}

// Loads returns what this process has under way.
func (b *Book) Loads() map[string]Load {
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

// TakeNews returns what was sent and seen since the last call.
func (b *Book) TakeNews() ([]Sent, map[string]Verdicts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent, verdicts := b.sent, b.verdicts
	b.sent, b.verdicts = nil, map[string]Verdicts{}
	return sent, verdicts
}

// Hear takes in a peer's news.
func (b *Book) Hear(news News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sent := range news.Sent {
		entry := b.of(sent.Backend)
		if entry.cache == nil {
			if entry.capacity == 0 {
				continue
			}
			entry.cache = newPrefixCache(entry.capacity)
		}
		entry.cache.use(sent.Pieces)
		entry.cache.tell(sent.Pieces, time.Now())
	}
	for id, counts := range news.Verdicts {
		entry := b.of(id)
		for range min(counts.Good, maxVerdicts) {
			entry.health.note(true)
		}
		for range min(counts.Bad, maxVerdicts) {
			entry.health.note(false)
		}
	}
}

// maxVerdicts bounds how much one message of a peer can weigh.
const maxVerdicts = 20

// Forget drops a back end that is gone.
func (b *Book) Forget(backend string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry := b.backends[backend]; entry != nil && entry.own == (Load{}) {
		delete(b.backends, backend)
	}
}

// Unloaded drops the prompts that an engine kept, after it unloaded a model or restarted.
func (b *Book) Unloaded(backend string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry := b.backends[backend]; entry != nil {
		entry.cache = nil
	}
}

// SetOthers takes what all other processes have under way at the back ends.
func (b *Book) SetOthers(loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = loads
}

// total is the load of a back end from all processes. The caller holds the lock.
func (b *Book) total(id string, entry *backendBook) Load {
	load := b.others[id]
	load.Add(entry.own)
	return load
}

// Total is the load of a back end from all processes.
func (b *Book) Total(id string) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total(id, b.of(id))
}
