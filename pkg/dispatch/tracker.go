package dispatch

import (
	"sync"
	"time"
)

// LoadTracker keeps what is known of all upstreams' load, failures and cached prefixes. It is safe
// for concurrent use.
type LoadTracker struct {
	mu        sync.Mutex
	upstreams map[string]*upstreamRecord
	// remote is the latest known load of all other boxes, by upstream.
	remote map[string]Load
	// remoteAt is as of when those loads are.
	remoteAt time.Time
	// modelFactors correct the predicted work, by model; a model without one has factor 1.
	modelFactors map[string]float64
	// pendingPrompts, pendingOutcomes and pendingPaused are what TakeObservations returns next.
	pendingPrompts  []SentPrompt
	pendingOutcomes map[string]Outcomes
	pendingPaused   map[string]int
}

// upstreamRecord is what is known of one upstream.
type upstreamRecord struct {
	// own is the load from this box.
	own        Load
	ejection   outlierEjection
	pauseShare pauseShare
	streak     failureStreak
	// factor corrects the predicted wait at this upstream.
	factor float64
	// runTime is how long a request runs there after its first token, a running mean; 0 if none has ended.
	runTime time.Duration
	// answerTime is that of an upstream of a plain service.
	answerTime answerTime
	// cache is nil until the engine was sent a prompt.
	cache *prefixCache
	// cacheCapacity, in tokens, is that of the latest request that considered the engine; 0 before
	// the first one.
	cacheCapacity int
}

// runTimeWeight is the weight of one request in an upstream's run time.
const runTimeWeight = 0.05

// noteRun takes the time of one request from its first token to its end.
func (r *upstreamRecord) noteRun(span time.Duration) {
	if r.runTime == 0 {
		r.runTime = span
		return
	}
	r.runTime += scale(span-r.runTime, runTimeWeight)
}

// NewLoadTracker returns an empty tracker.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{
		upstreams:       map[string]*upstreamRecord{},
		modelFactors:    map[string]float64{},
		pendingOutcomes: map[string]Outcomes{},
		pendingPaused:   map[string]int{},
	}
}

// record returns the record of an upstream, a new one if there is none. The caller holds the lock.
func (t *LoadTracker) record(id string) *upstreamRecord {
	record := t.upstreams[id]
	if record == nil {
		record = &upstreamRecord{factor: 1, pauseShare: mostPauseShare}
		t.upstreams[id] = record
	}
	return record
}

// Forget drops an upstream that is gone, unless this box still has requests there.
func (t *LoadTracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.upstreams[id]; record != nil && record.own == (Load{}) {
		delete(t.upstreams, id)
	}
}

// Loads returns this box's load, by upstream; idle upstreams are left out.
func (t *LoadTracker) Loads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := map[string]Load{}
	for id, record := range t.upstreams {
		if record.own != (Load{}) {
			loads[id] = record.own
		}
	}
	return loads
}

// SetRemoteLoads replaces the load of all other boxes, by upstream, which is as of a time. The tracker keeps the map.
func (t *LoadTracker) SetRemoteLoads(loads map[string]Load, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remote, t.remoteAt = loads, at
}

// Total is the load of an upstream from all boxes.
func (t *LoadTracker) Total(id string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total(id, t.record(id))
}

// total is the load of an upstream from all boxes. The caller holds the lock.
func (t *LoadTracker) total(id string, record *upstreamRecord) Load {
	load := t.remote[id]
	load.Add(record.own)
	return load
}
