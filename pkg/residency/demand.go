package residency

import (
	"sync"
	"time"
)

// ModelKey identifies a model of a service.
type ModelKey struct {
	Service string `json:"s"`
	Model   string `json:"m"`
}

// WorkKey identifies a model and the kind of work that is requested of it.
type WorkKey struct {
	ModelKey
	// Patient work can wait until the model is loaded from an engine's own copy.
	Patient bool `json:"p,omitempty"`
}

const (
	// bucketSpan is the duration of one bucket of demand.
	bucketSpan = 250 * time.Millisecond
	// slowBuckets is the number of buckets that the slow rate averages: 5 s.
	slowBuckets = 20
	// fastBuckets is the number of buckets that the fast rate averages: 2.5 s.
	fastBuckets = 10
	// trendWeight is the part of a rise, the fast rate less the slow rate, that is added to the fast rate as
	// expected further rise.
	trendWeight = 1.0
)

// Demand estimates the work requested of each model, in milliseconds of one engine's time per millisecond.
// The zero value is ready to use. It is safe for concurrent use.
type Demand struct {
	mu sync.Mutex
	// buckets is a ring buffer of the recorded work, in milliseconds.
	buckets [slowBuckets]map[ModelKey]float64
	// urgent tells, for each model that was ever requested, whether any of its work was not patient.
	urgent map[ModelKey]bool
	// newest is the number of the newest bucket, counted in bucketSpan since 1970.
	newest int64
}

// Note records requested work, in milliseconds of an engine's time.
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

// Patient reports whether all work that was ever requested of a model can wait for a load. It returns false
// for a model that was never requested.
func (d *Demand) Patient(key ModelKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	urgent, asked := d.urgent[key]
	return asked && !urgent
}

// advance makes the bucket that contains now the newest one. The caller holds the lock.
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

// Rates returns the expected work for each model, where 1 is all of one engine's time. Models without work
// in the last slowBuckets are left out.
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

// sums returns each model's work in the last fastBuckets and in all buckets. The caller holds the lock.
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

// expectedRate extrapolates a rise, because a load takes seconds. A fall counts only half.
func expectedRate(fast, slow float64) float64 {
	if fast > slow {
		return fast + trendWeight*(fast-slow)
	}
	return (fast + slow) / 2
}
