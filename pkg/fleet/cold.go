package fleet

import "time"

// This file has what a box knows about cold engines: for some time after a start, or after an operator
// left them idle, they can take only few requests. It belongs to one incarnation of an engine and ends
// with it.
//
//	source                                     cold until
//	the engine's entry, or an answer           the time that it states is over
//	it may be cold, since it came back from    the service's start time is over; a message that states
//	an evacuation, a lapsed entry, or from     a longer time takes precedence
//	failed connections

// maxCold bounds how long an engine counts as cold by its own statement.
const maxCold = 10 * time.Minute

// coldRecord holds what is known about one engine.
type coldRecord struct {
	// coldUntil is the end that the engine stated; returnedAt is when it came back.
	coldUntil, returnedAt time.Time
}

// isCold reports whether an engine is cold, or may be. coldStart is how long engines of its service are
// cold after a start. The caller holds the lock.
func (d *Directory) isCold(id string, coldStart time.Duration) bool {
	if d.connectFailures[id] > 0 {
		return true
	}
	record, ok := d.cold[id]
	if !ok {
		return false
	}
	now := time.Now()
	return now.Before(record.coldUntil) || !record.returnedAt.IsZero() && now.Before(record.returnedAt.Add(coldStart))
}

// setCold records for how long an engine states that it is cold; 0 ends that. The caller holds the
// lock.
func (d *Directory) setCold(id string, span time.Duration) {
	record, ok := d.cold[id]
	if span <= 0 && !ok {
		return
	}
	record.coldUntil = time.Time{}
	if span > 0 {
		record.coldUntil = time.Now().Add(min(span, maxCold))
	}
	d.cold[id] = record
}

// recordReturn records that an engine came back, and may be cold. The caller holds the lock.
func (d *Directory) recordReturn(id string) {
	record := d.cold[id]
	record.returnedAt = time.Now()
	d.cold[id] = record
}

// expireCold drops the records whose time is over. The caller holds the lock.
func (d *Directory) expireCold(now time.Time) {
	for id, record := range d.cold {
		if now.After(record.coldUntil) && now.Sub(record.returnedAt) > maxCold {
			delete(d.cold, id)
		}
	}
}
