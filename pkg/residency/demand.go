package residency

import (
	"sync"
	"time"
)

// ModelKey names a model of one service.
type ModelKey struct {
	Service string `json:"s"`
	Model   string `json:"m"`
}

// WorkKey names a model and the kind of work that is asked of it.
type WorkKey struct {
	ModelKey
	// Patient work can wait until the model is loaded from an engine's own copy.
	Patient bool `json:"p,omitempty"`
}

const (
	// bucketSpan is the time of one bucket of demand.
	bucketSpan = 250 * time.Millisecond
	// slowBuckets is how many buckets the slow rate is the mean of: 5 s.
	slowBuckets = 20
	// fastBuckets is how many buckets the fast rate is the mean of: 2.5 s.
	fastBuckets = 10
	// trendWeight is the part of a rise, fast rate less slow rate, that is expected once more.
	trendWeight = 1.0
)

// Demand estimates how much work is asked of each model, in milliseconds of one engine's time a
// millisecond. It is safe for concurrent use.
type Demand struct {
	mu sync.Mutex
	// buckets is a ring of the work noted, in milliseconds.
	buckets [slowBuckets]map[ModelKey]float64
	// urgent reports, for each model that was asked for, whether any of its work was not patient.
	urgent map[ModelKey]bool
	// newest is the number of the newest bucket, in bucketSpan since 1970.
	newest int64
}

// Note adds work, in milliseconds of an engine's time.
func (d *Demand) Note(work map[WorkKey]float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	bucket := d.buckets[d.newest%slowBuckets]
	if d.urgent == nil {
		d.urgent = map[ModelKey]bool{}
	}
	for key, milliseconds := range work {
		bucket[key.ModelKey] += milliseconds
		d.urgent[key.ModelKey] = d.urgent[key.ModelKey] || !key.Patient
	}
}

// Patient reports whether all work that was ever asked of a model could wait for a load. It is false for
// a model that nobody asked for yet.
func (d *Demand) Patient(key ModelKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	urgent, asked := d.urgent[key]
	return asked && !urgent
}

// advance makes the bucket of now the newest one. The caller holds the lock.
func (d *Demand) advance(now time.Time) {
	number := now.UnixNano() / int64(bucketSpan)
	if d.newest == 0 || number-d.newest > slowBuckets {
		d.newest = number - slowBuckets
	}
	for d.newest < number {
		d.newest++
		d.buckets[d.newest%slowBuckets] = map[ModelKey]float64{}
	}
	if d.buckets[d.newest%slowBuckets] == nil {
		d.buckets[d.newest%slowBuckets] = map[ModelKey]float64{}
	}
}

// Rates returns the work that each model will probably be asked for, 1 being all of one engine's
// time. Models without work in the last slowBuckets are missing.
func (d *Demand) Rates(now time.Time) map[ModelKey]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	fast, slow := d.sums()
	const milliseconds = float64(bucketSpan / time.Millisecond)
	rates := make(map[ModelKey]float64, len(slow))
	for key := range slow {
		slowRate := slow[key] / (slowBuckets * milliseconds)
		fastRate := fast[key] / (fastBuckets * milliseconds)
		rates[key] = expectedRate(fastRate, slowRate)
	}
	return rates
}

// sums adds up the work of the last fastBuckets and of all buckets. The caller holds the lock.
func (d *Demand) sums() (fast, slow map[ModelKey]float64) {
	fast, slow = map[ModelKey]float64{}, map[ModelKey]float64{}
	for back := range int64(slowBuckets) {
		for key, work := range d.buckets[(d.newest-back)%slowBuckets] {
			slow[key] += work
			if back < fastBuckets {
				fast[key] += work
			}
		}
	}
	return fast, slow
}

// expectedRate continues a rise, since a load takes seconds; of a fall only half counts.
func expectedRate(fast, slow float64) float64 {
	if fast > slow {
		return fast + trendWeight*(fast-slow)
	}
	return (fast + slow) / 2
}
