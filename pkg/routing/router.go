package routing

import (
	"sync"
	"time"
)

const (
	// defaultSlotTime is the expected time in a slot before any was measured.
	defaultSlotTime = 2 * time.Second
	// slotTimeWeight is the weight of one measured time in the running mean.
	slotTimeWeight = 0.05
)

// Config sets how a router estimates.
type Config struct {
	// SlotTime is the expected time in a slot before any was measured; 0 means 2 s.
	SlotTime time.Duration
}

// Router chooses upstreams by what this box sent and measured. It is safe for concurrent use.
type Router struct {
	config   Config
	prefixes *prefixIndex

	mu        sync.Mutex
	upstreams map[string]*upstreamRecord
	// slotTimes holds the mean time in a slot, by model.
	slotTimes map[string]time.Duration
}

// upstreamRecord holds what this box sent to one upstream.
type upstreamRecord struct {
	// inFlight is the number of this box's requests there that have not ended.
	inFlight int
	// sentAt and endedAt hold when this box's requests were sent and ended since the latest report, oldest first.
	sentAt, endedAt []time.Time
	// totalSent counts all requests that were sent.
	totalSent int64
	// avoidUntil is the time until which the upstream is avoided after its latest failure.
	avoidUntil time.Time
}

// New returns a router that has measured nothing.
func New(config Config) *Router {
	if config.SlotTime == 0 {
		config.SlotTime = defaultSlotTime
	}
	return &Router{
		config:    config,
		prefixes:  newPrefixIndex(),
		upstreams: map[string]*upstreamRecord{},
		slotTimes: map[string]time.Duration{},
	}
}

// record returns the record of an upstream, and adds a new one if there is none. The caller holds the
// lock.
func (r *Router) record(upstream string) *upstreamRecord {
	record, ok := r.upstreams[upstream]
	if !ok {
		record = &upstreamRecord{}
		r.upstreams[upstream] = record
	}
	return record
}

// RecordSent records that a request is sent. The function that it returns records the end of the request;
// only its first call counts.
func (r *Router) RecordSent(model, prompt, upstream string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record(upstream)
	record.inFlight++
	record.totalSent++
	record.sentAt = append(record.sentAt, time.Now())
	r.prefixes.add(model, prompt, upstream)
	var once sync.Once
	return func() { once.Do(func() { r.recordEnd(upstream) }) }
}

func (r *Router) recordEnd(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record(upstream)
	record.inFlight--
	record.endedAt = append(record.endedAt, time.Now())
}

// changeSince returns by how many this box's requests at an upstream have grown since a report, which is negative if more
// ended than were sent. It drops the times before the report, and those before maxReportAge. The caller holds the lock.
func (r *Router) changeSince(upstream string, reported time.Time) int {
	record := r.record(upstream)
	if oldest := time.Now().Add(-maxReportAge); reported.Before(oldest) {
		reported = oldest
	}
	record.sentAt = since(record.sentAt, reported)
	record.endedAt = since(record.endedAt, reported)
	return len(record.sentAt) - len(record.endedAt)
}

// since returns the times that are not before a time. The times are in ascending order.
func since(times []time.Time, start time.Time) []time.Time {
	first := 0
	for first < len(times) && times[first].Before(start) {
		first++
	}
	return times[first:]
}

// RecordSlotTime records how long a request on a model was in a slot.
func (r *Router) RecordSlotTime(model string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean := r.meanSlotTime(model)
	r.slotTimes[model] = mean + time.Duration(slotTimeWeight*float64(took-mean))
}

// SlotTime returns the mean time that a request on a model is in a slot.
func (r *Router) SlotTime(model string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.meanSlotTime(model)
}

func (r *Router) meanSlotTime(model string) time.Duration {
	if mean, ok := r.slotTimes[model]; ok {
		return mean
	}
	return r.config.SlotTime
}

// Avoid marks an upstream to be avoided for a while: it is picked only if all others are avoided too.
func (r *Router) Avoid(upstream string, avoid time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(upstream).avoidUntil = time.Now().Add(avoid)
}

func (r *Router) avoided(upstream string) bool {
	return time.Now().Before(r.record(upstream).avoidUntil)
}

// DropPrefixes records that an upstream lost its cached prefixes, as after a restart.
func (r *Router) DropPrefixes(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes.drop(upstream)
}

// Forget drops the records of upstreams for which keep returns false and that have nothing in flight.
func (r *Router) Forget(keep func(upstream string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, record := range r.upstreams {
		if record.inFlight == 0 && !keep(id) {
			delete(r.upstreams, id)
		}
	}
}

// Totals returns how many requests this box has sent so far, by upstream.
func (r *Router) Totals() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := make(map[string]int64, len(r.upstreams))
	for id, record := range r.upstreams {
		if record.totalSent > 0 {
			totals[id] = record.totalSent
		}
	}
	return totals
}
