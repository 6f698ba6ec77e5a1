package quarantine

import "time"

// Restore adds the store's record of a part that is held. The hold counts from now, as the record does not say when it
// began. A part that this box knows a hold of is left as it is, and so is one that was answered since the last crash
// that this box knows of.
func (r *PartRegister) Restore(part Fingerprint, stored Stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if hold, known := r.held[part]; known && hold.level >= stored.Level || r.cleared(part) {
		return
	}
	stored.Level = min(max(0, stored.Level), maxCrashes)
	r.restored[part] = restoredPart{stored: stored, at: now}
	r.evaluate(now)
}

// cleared reports whether this box knows of crashes while a part was in flight, all of which it was answered after.
// The caller holds the lock.
func (r *PartRegister) cleared(part Fingerprint) bool {
	known := false
	for _, crash := range r.crashes {
		if crash.counts(part) {
			return false
		}
		_, found := crash.parts[part]
		known = known || found
	}
	return known
}

// Lift ends the hold of a part and clears its crashes, as an answer at this moment does.
func (r *PartRegister) Lift(part Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.addAnswer(part, now, now) {
		r.changed[part] = true
	}
}

// Cleared lists the parts that were held and were answered since, so that their records in the store are obsolete.
func (r *PartRegister) Cleared() []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Fingerprint
	for part := range r.recentlyHeld {
		if _, held := r.held[part]; held || len(r.timesOf(part, r.crashes)) > 0 {
			continue
		}
		if r.cleared(part) || !r.answers.latest(part).IsZero() {
			list = append(list, part)
		}
	}
	return list
}

// probationRecord is how long the store has the record of a part after its hold, for boxes that start then.
const probationRecord = time.Minute

// Held lists the parts that are held or were until a moment ago, except those that are held only by the store's record.
func (r *PartRegister) Held() []HeldRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.evaluate(now)
	var list []HeldRequest
	for part, hold := range r.held {
		last := hold.until.Add(r.spread() + probationRecord)
		held := HeldRequest{Request: part, Stored: Stored{Crashes: hold.crashes, Level: hold.level}, Remaining: last.Sub(now)}
		known := false
		for _, crash := range r.crashes {
			if crash.counts(part) {
				known = true
				held.SeenHere = held.SeenHere || crash.source == FromSelf
				held.KnownFor = now.Sub(crash.knownSince)
			}
		}
		if known && held.Remaining > 0 {
			list = append(list, held)
		}
	}
	return list
}
