package dispatch

import "time"

const (
	// maxPendingPrompts bounds the prompts kept for the next TakeObservations. Further prompts are not
	// shared with peers.
	maxPendingPrompts = 2000
	// maxMergedOutcomes bounds each of the successes, failures and pauses that one message from a peer
	// adds for one upstream.
	maxMergedOutcomes = 20
)

// Observations are what a box shares with its peers.
type Observations struct {
	Prompts []SentPrompt `json:"sent,omitempty"`
	// Outcomes counts how requests ended, by upstream.
	Outcomes map[string]Outcomes `json:"verdicts,omitempty"`
	// Paused counts the streams with a pause longer than their gap target, by engine.
	Paused map[string]int `json:"paused,omitempty"`
}

// SentPrompt is a prompt that a box sent to an engine, without the last part, which is the request's own.
type SentPrompt struct {
	Upstream string        `json:"b"`
	Blocks   []PrefixBlock `json:"s"`
}

// Outcomes counts how requests to an upstream ended.
type Outcomes struct {
	Succeeded int `json:"g,omitempty"`
	Failed    int `json:"b,omitempty"`
}

// RecordOutcome counts a finished request to an upstream, for this box and for its peers.
func (t *LoadTracker) RecordOutcome(id string, succeeded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.pendingOutcomes[id]
	if succeeded {
		counts.Succeeded++
	} else {
		counts.Failed++
	}
	t.pendingOutcomes[id] = counts
	t.record(id).recordOutcome(succeeded, time.Now())
}

// recordOutcome counts a finished request of this box or of a peer.
func (r *upstreamRecord) recordOutcome(succeeded bool, now time.Time) {
	r.streak.recordOutcome(succeeded, now)
	r.ejection.recordOutcome(succeeded)
	if succeeded {
		r.pauseShare.increase()
	}
}

// recordPrompt marks a prompt as cached by the engine, and queues it for the peers if it is due to be shared
// with them. The caller holds the lock.
func (t *LoadTracker) recordPrompt(id string, record *upstreamRecord, need Requirements) {
	if record.cache == nil {
		record.cache = newPrefixCache(prefixCacheCapacity(need.CacheTokens))
	}
	record.cache.add(need.Blocks)
	shared := sharedBlocks(need.Blocks)
	if len(shared) > 0 && len(t.pendingPrompts) < maxPendingPrompts && record.cache.markShared(shared, time.Now()) {
		t.pendingPrompts = append(t.pendingPrompts, SentPrompt{Upstream: id, Blocks: shared})
	}
}

// TakeObservations returns what this box observed since the last call.
func (t *LoadTracker) TakeObservations() Observations {
	t.mu.Lock()
	defer t.mu.Unlock()
	observed := Observations{Prompts: t.pendingPrompts, Outcomes: t.pendingOutcomes, Paused: t.pendingPauses}
	t.pendingPrompts, t.pendingOutcomes, t.pendingPauses = nil, map[string]Outcomes{}, map[string]int{}
	return observed
}

// MergeObservations adds the observations of a peer. TakeObservations does not pass them on.
func (t *LoadTracker) MergeObservations(observed Observations) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, prompt := range observed.Prompts {
		t.record(prompt.Upstream).mergePrompt(prompt.Blocks, now)
	}
	for id, counts := range observed.Outcomes {
		record := t.record(id)
		for range min(counts.Succeeded, maxMergedOutcomes) {
			record.recordOutcome(true, now)
		}
		for range min(counts.Failed, maxMergedOutcomes) {
			record.recordOutcome(false, now)
		}
	}
	for id, count := range observed.Paused {
		for range min(count, maxMergedOutcomes) {
			t.record(id).pauseShare.decrease()
		}
	}
}

// mergePrompt marks a prompt that a peer sent as cached by the engine and as known to the peers. It ignores
// the prompt if this box has not considered the engine yet, because the engine's memory is then unknown.
func (r *upstreamRecord) mergePrompt(blocks []PrefixBlock, now time.Time) {
	if r.cache == nil {
		if r.cacheCapacity == 0 {
			return
		}
		r.cache = newPrefixCache(r.cacheCapacity)
	}
	r.cache.add(blocks)
	r.cache.markShared(blocks, now)
}
