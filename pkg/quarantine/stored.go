package quarantine

import "time"

// Stored is the store's record of a request that is held. It lasts no longer than the hold.
type Stored struct {
	// Crashes is how many upstreams crashed in a row under the request.
	Crashes int `json:"crashes"`
	// Level is how many earlier holds of a part ended in a crash; 0 for requests.
	Level int `json:"level,omitempty"`
}

// Restore adds the store's record of a request. If the store has more crashes than this box knows, as when the box
// has just started, the hold counts from now: the record does not say when the latest upstream crashed, since the
// clocks of boxes differ.
func (r *Register) Restore(f Fingerprint, stored Stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	rec := r.recordOf(f, now)
	before := rec.crashCount()
	if stored.Crashes <= before {
		return
	}
	rec.storedCrashes, rec.restoredAt = min(stored.Crashes, maxCrashes), now
	r.reportHeld(f, rec, before)
}

// HeldRequest describes a request that is held.
type HeldRequest struct {
	Request Fingerprint
	Stored  Stored
	// Remaining is how much longer the request is held.
	Remaining time.Duration
	// SeenHere reports whether this box itself saw a crash under the request.
	SeenHere bool
	// KnownFor is how long this box has known of the latest crash.
	KnownFor time.Duration
}

// Held lists the requests that are held, except those that are held only by the store's record: if this box wrote
// these to the store, each restart would extend their records by a whole hold.
func (r *Register) Held() []HeldRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var list []HeldRequest
	for f, rec := range r.records {
		left := rec.heldUntil(&r.Policy).Sub(now)
		if len(rec.crashes) < r.Policy.PauseAfter || left <= 0 {
			continue
		}
		held := HeldRequest{Request: f, Stored: Stored{Crashes: rec.crashCount()}, Remaining: left}
		for _, c := range rec.crashes {
			held.SeenHere = held.SeenHere || c.source == FromSelf
			held.KnownFor = now.Sub(c.knownSince)
		}
		list = append(list, held)
	}
	return list
}
