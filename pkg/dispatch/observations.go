package dispatch

import "time"

const (
	// maxPendingPrompts bounds the prompts that wait for TakeObservations; what comes beyond is
	// not shared with peers.
	maxPendingPrompts = 2000
	// maxMergedOutcomes bounds the successes, the failures and the pauses that one message of a peer
	// counts for at one upstream.
	maxMergedOutcomes = 20
)

// Observations is what a box shares with its peers.
type Observations struct {
	Prompts []SentPrompt `json:"sent,omitempty"`
	// Outcomes of requests, by upstream.
	Outcomes map[string]Outcomes `json:"verdicts,omitempty"`
	// Paused counts the streams that paused for longer than their target, by engine.
	Paused map[string]int `json:"paused,omitempty"`
}

// SentPrompt is a prompt that a box sent to an engine, without the request's own part.
type SentPrompt struct {
	Upstream string        `json:"b"`
	Blocks   []PrefixBlock `json:"s"`
}

// Outcomes counts how requests to an upstream ended.
type Outcomes struct {
	Succeeded int `json:"g,omitempty"`
	Failed    int `json:"b,omitempty"`
}

// RecordOutcome counts a request to an upstream that ended, for this box and for its peers.
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

// recordOutcome counts a request that ended, on this box or on a peer.
func (r *upstreamRecord) recordOutcome(succeeded bool, now time.Time) {
	r.streak.recordOutcome(succeeded, now)
	r.ejection.recordOutcome(succeeded)
	if succeeded {
		r.pauseShare.streamInTime()
	}
}

// recordPrompt counts a prompt as cached by the engine and keeps it for the peers, if they are due
// to get it. The caller holds the lock.
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
	observed := Observations{Prompts: t.pendingPrompts, Outcomes: t.pendingOutcomes, Paused: t.pendingPaused}
	t.pendingPrompts, t.pendingOutcomes, t.pendingPaused = nil, map[string]Outcomes{}, map[string]int{}
	return observed
}

// MergeObservations adds what a peer observed. It is not passed on by TakeObservations.
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
			t.record(id).pauseShare.streamPaused()
		}
	}
}

// mergePrompt counts a prompt that a peer sent as cached by the engine, and as known to the peers.
// Before this box considers the engine for the first time, its memory is not known: the prompt is
// then left out.
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
