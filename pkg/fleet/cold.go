package fleet

import "time"

// This file has what a box knows of engines that are cold: for some time after a start, or after an operator let them rest, they bear few
// requests. It is known of one life of an engine and ends with it.
//
//	what tells it                              cold until
//	the engine's entry, or an answer           the time that it gives is over
//	it may be cold, since it is back from      the service's start time is over; a message that says more goes first
//	an evacuation, a lapsed entry, or from
//	taking no connection

// maxCold bounds how long an engine is taken as cold by what it says of itself.
const maxCold = 10 * time.Minute

// coldRecord is what is known of one engine.
type coldRecord struct {
	// coldUntil is by what the engine says; backAt is since when it is back.
	coldUntil, backAt time.Time
}

// isCold reports whether an engine is cold, or may be, where the engines of its service are cold for a time after a start. The caller holds
// the lock.
func (d *Directory) isCold(id string, start time.Duration) bool {
	if d.refusals[id] > 0 {
		return true
	}
	known, ok := d.cold[id]
	if !ok {
		return false
	}
	now := time.Now()
	return now.Before(known.coldUntil) || !known.backAt.IsZero() && now.Before(known.backAt.Add(start))
}

// noteCold takes for how long an engine says that it is cold; 0 ends that. The caller holds the lock.
func (d *Directory) noteCold(id string, span time.Duration) {
	known, ok := d.cold[id]
	if span <= 0 && !ok {
		return
	}
	known.coldUntil = time.Time{}
	if span > 0 {
		known.coldUntil = time.Now().Add(min(span, maxCold))
	}
	d.cold[id] = known
}

// noteBack notes that an engine is back, and perhaps cold. The caller holds the lock.
func (d *Directory) noteBack(id string) {
	known := d.cold[id]
	known.backAt = time.Now()
	d.cold[id] = known
}

// expireCold forgets what is over. The caller holds the lock.
func (d *Directory) expireCold(now time.Time) {
	for id, known := range d.cold {
		if now.After(known.coldUntil) && now.Sub(known.backAt) > maxCold {
			delete(d.cold, id)
		}
	}
}
