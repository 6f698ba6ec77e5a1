package quarantine

import "time"

// Stored is the store's record of a request that is held. It lasts no longer than the request is.
type Stored struct {
	// Crashes is how many upstreams crashed in a row under the request.
	Crashes int `json:"crashes"`
}

// Restore takes in the store's record of a request. A box that has just started holds it from then on: when the latest
// upstream crashed is not told, since boxes have no time in common.
func (r *Register) Restore(f Fingerprint, stored Stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	known := r.of(f, now)
	before := known.count()
	if stored.Crashes <= before {
		return
	}
	known.stored, known.restored = min(stored.Crashes, keptCrashes), now
	r.noteHeld(f, known, before)
}

// HeldRequest is a request that is held.
type HeldRequest struct {
	Request Fingerprint
	Stored  Stored
	// For is how long it still is.
	For time.Duration
	// Seen means that this box saw a crash under it itself.
	Seen bool
	// KnownFor is for how long this box has known of the latest crash.
	KnownFor time.Duration
}

// Held lists the requests that are held, but for those that this box knows from the store alone: what it would write would last
// as long again after each restart.
func (r *Register) Held() []HeldRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var list []HeldRequest
	for f, known := range r.records {
		left := known.held(&r.Policy).Sub(now)
		if len(known.crashes) < r.Policy.PauseAfter || left <= 0 {
			continue
		}
		held := HeldRequest{Request: f, Stored: Stored{Crashes: known.count()}, For: left}
		for _, c := range known.crashes {
			held.Seen = held.Seen || c.source == FromSelf
			held.KnownFor = now.Sub(c.known)
		}
		list = append(list, held)
	}
	return list
}
