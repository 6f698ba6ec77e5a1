package dispatch

import (
	"time"
)

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

// Observations is what a process tells its peers.
type Observations struct {
	Prompts  []SentPrompt        `json:"sent,omitempty"`
	Outcomes map[string]Outcomes `json:"verdicts,omitempty"`
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
