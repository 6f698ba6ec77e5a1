package routing

import (
	"sync"
	"time"
)

const (
	// defaultService is the expected time in a slot before any was measured.
	defaultService = 2 * time.Second
	// serviceWeight is the weight of one measured time in the running mean.
	serviceWeight = 0.05
)

// Config sets how a router estimates.
type Config struct {
	// Service is the expected time in a slot before any was measured; 0 means 2 s.
	Service time.Duration
}

// Router chooses upstreams by what this box sent and measured. It is safe for concurrent use.
type Router struct {
	config   Config
	prefixes *prefixIndex

	mu        sync.Mutex
	upstreams map[string]*upstreamRecord
	// services are the mean times in a slot, by model.
	services map[string]time.Duration
}

// upstreamRecord is what this box sent to one upstream.
type upstreamRecord struct {
	// inFlight requests of this box.
	inFlight int
	// sent are the times of this box's requests since the latest report, oldest first.
	sent []time.Time
	// total counts all requests that were sent.
	total int64
	// avoidUntil is when the avoidance after the latest failure ends.
	avoidUntil time.Time
}

// New returns a router that has measured nothing.
func New(config Config) *Router {
	if config.Service == 0 {
		config.Service = defaultService
	}
	return &Router{
		config:    config,
		prefixes:  newPrefixIndex(),
		upstreams: map[string]*upstreamRecord{},
		services:  map[string]time.Duration{},
	}
}

// record returns the record of an upstream, a new one if there is none. The caller holds the lock.
func (r *Router) record(upstream string) *upstreamRecord {
	record, ok := r.upstreams[upstream]
	if !ok {
		record = &upstreamRecord{}
		r.upstreams[upstream] = record
	}
	return record
}

// Sent records that a request is sent. The function that it returns records the request's end; only
// the first call counts.
func (r *Router) Sent(model, prompt, upstream string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record(upstream)
	record.inFlight++
	record.total++
	record.sent = append(record.sent, time.Now())
	r.prefixes.add(model, prompt, upstream)
	var once sync.Once
	return func() { once.Do(func() { r.ended(upstream) }) }
}

func (r *Router) ended(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(upstream).inFlight--
}

// sentSince counts this box's requests since a report, and drops the older ones. The caller holds
// the lock.
func (r *Router) sentSince(upstream string, reported time.Time) int {
	record := r.record(upstream)
	first := 0
	for first < len(record.sent) && record.sent[first].Before(reported) {
		first++
	}
	record.sent = record.sent[first:]
	return len(record.sent)
}

// RecordSlotTime records how long a request on a model was in a slot.
func (r *Router) RecordSlotTime(model string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean := r.service(model)
	r.services[model] = mean + time.Duration(serviceWeight*float64(took-mean))
}

// SlotTime is the mean time that a request on a model is in a slot.
func (r *Router) SlotTime(model string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(model)
}

func (r *Router) service(model string) time.Duration {
	if mean, ok := r.services[model]; ok {
		return mean
	}
	return r.config.Service
}

// Failed has an upstream avoided for a while: it is picked only if all others are avoided too.
func (r *Router) Failed(upstream string, avoid time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(upstream).avoidUntil = time.Now().Add(avoid)
}

func (r *Router) avoided(upstream string) bool {
	return time.Now().Before(r.record(upstream).avoidUntil)
}

// DropPrefixes records that an upstream dropped its cached prefixes, as after a restart.
func (r *Router) DropPrefixes(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prefixes.drop(upstream)
}

// Forget drops the records of upstreams that keep rejects and that have nothing in flight.
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
		if record.total > 0 {
			totals[id] = record.total
		}
	}
	return totals
}
