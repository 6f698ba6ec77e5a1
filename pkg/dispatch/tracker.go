package dispatch

import (
	"sync"
	"time"
)

// LoadTracker holds the known load, failures and cached prefixes of all upstreams. It is safe for concurrent use.
type LoadTracker struct {
	mu        sync.Mutex
	upstreams map[string]*upstreamRecord
	// remote is the latest reported load of all other boxes, by upstream.
	remote map[string]Load
	// remoteAt is the time that remote refers to.
	remoteAt time.Time
	// paces are how long prompts take to prefill, by model.
	paces map[string]*pace
	// demandFactors correct the work that placement counts as demand, by model; a missing model has factor 1.
	demandFactors map[string]float64
	// overhead is the shortest time that a first token took beside prefill; 0 if no short prompt was observed.
	overhead      time.Duration
	overheadKnown bool
	// pendingPrompts, pendingOutcomes and pendingPauses are returned by the next TakeObservations.
	pendingPrompts  []SentPrompt
	pendingOutcomes map[string]Outcomes
	pendingPauses   map[string]int
}

// upstreamRecord is the state of one upstream.
type upstreamRecord struct {
	// own is the load from this box.
	own        Load
	ejection   outlierEjection
	pauseShare pauseShare
	streak     failureStreak
	// factor corrects the predicted wait at this upstream.
	factor float64
	// runTime is the moving average of the time from first token to end of response; 0 if no request ended.
	runTime time.Duration
	// responseTime is used for upstreams of plain services only.
	responseTime responseTime
	// cache is nil until the engine was sent a prompt.
	cache *prefixCache
	// cacheCapacity is the capacity for prefixes, in tokens, by the latest request that considered the
	// engine; 0 before the first one.
	cacheCapacity int
}

// runTimeWeight is the weight of one request in an upstream's average run time.
const runTimeWeight = 0.05

// recordRunTime adds the time of one request from its first token to its end.
func (r *upstreamRecord) recordRunTime(span time.Duration) {
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
		paces:           map[string]*pace{},
		demandFactors:   map[string]float64{},
		pendingOutcomes: map[string]Outcomes{},
		pendingPauses:   map[string]int{},
	}
}

// record returns the record of an upstream, which it creates if there is none. The caller holds the lock.
func (t *LoadTracker) record(id string) *upstreamRecord {
	record := t.upstreams[id]
	if record == nil {
		record = &upstreamRecord{factor: 1, pauseShare: maxPauseShare}
		t.upstreams[id] = record
	}
	return record
}

// Forget drops a removed upstream, unless this box still has requests in flight there.
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

// SetRemoteLoads replaces the load of all other boxes, by upstream. at is the time that the loads refer to. The
// tracker takes ownership of the map.
func (t *LoadTracker) SetRemoteLoads(loads map[string]Load, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remote, t.remoteAt = loads, at
}

// HoldTime returns the mean time for which this box's requests occupy an upstream, without the prefill of prompts; 0 if
// none has ended.
func (t *LoadTracker) HoldTime(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.upstreams[id]; record != nil {
		return record.responseTime.mean + record.runTime
	}
	return 0
}

// Total returns the load of an upstream from all boxes.
func (t *LoadTracker) Total(id string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total(id, t.record(id))
}

// total returns the load of an upstream from all boxes. The caller holds the lock.
func (t *LoadTracker) total(id string, record *upstreamRecord) Load {
	load := t.remote[id]
	load.Add(record.own)
	return load
}

// RunningElsewhere returns the number of requests that run at upstreams from all other boxes, by their latest reports.
func (t *LoadTracker) RunningElsewhere() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := 0
	for _, load := range t.remote {
		running += load.Running
	}
	return running
}
