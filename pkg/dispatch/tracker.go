package dispatch

import (
	"sync"
)

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
