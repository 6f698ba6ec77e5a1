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

const (
	// bucketSpan is the time of one bucket of demand.
	bucketSpan = 250 * time.Millisecond
	// slowBuckets and fastBuckets are how many buckets the two rates reach back.
	slowBuckets = 20
	fastBuckets = 10
	// ahead is how far a rise is drawn out, in the distance between the two rates' middles.
	ahead = 1.0
)

// Demand measures how much work is asked of each model: milliseconds of one engine's time a
// millisecond. It is safe for concurrent use.
type Demand struct {
	mu sync.Mutex
	// ring holds the work noted in each bucket; at is the number of the newest.
	ring [slowBuckets]map[ModelKey]float64
	at   int64
}

// Note adds work, in milliseconds of an engine's time.
func (d *Demand) Note(work map[ModelKey]float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	bucket := d.ring[d.at%slowBuckets]
	for key, milliseconds := range work {
		bucket[key] += milliseconds
	}
}

// advance makes the bucket of now the newest one. The caller holds the lock.
func (d *Demand) advance(now time.Time) {
	number := now.UnixNano() / int64(bucketSpan)
	if d.at == 0 || number-d.at > slowBuckets {
		d.at = number - slowBuckets
	}
	for d.at < number {
		d.at++
		d.ring[d.at%slowBuckets] = map[ModelKey]float64{}
	}
	if d.ring[d.at%slowBuckets] == nil {
		d.ring[d.at%slowBuckets] = map[ModelKey]float64{}
	}
}

// Rates returns the work that each model will probably be asked for.
func (d *Demand) Rates(now time.Time) map[ModelKey]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	fast, slow := map[ModelKey]float64{}, map[ModelKey]float64{}
	for back := range int64(slowBuckets) {
		for key, work := range d.ring[(d.at-back)%slowBuckets] {
			slow[key] += work
			if back < fastBuckets {
				fast[key] += work
			}
		}
	}
	const milliseconds = float64(bucketSpan / time.Millisecond)
	rates := make(map[ModelKey]float64, len(slow))
	for key := range slow {
		slowRate := slow[key] / (slowBuckets * milliseconds)
		fastRate := fast[key] / (fastBuckets * milliseconds)
		if fastRate > slowRate {
			rates[key] = fastRate + ahead*(fastRate-slowRate)
		} else {
			rates[key] = (fastRate + slowRate) / 2
		}
	}
	return rates
}
