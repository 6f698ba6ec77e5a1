package quarantine

import (
	"crypto/sha256"
	"time"
)

// PartFingerprint returns the fingerprint of a shared part of prompts. It has no customer, model or service: a part
// that crashes upstreams does so whatever else a request has.
func PartFingerprint(id string) Fingerprint {
	hash := sha256.Sum256([]byte("part\x00" + id))
	return Fingerprint(hash[:len(Fingerprint{})])
}

// PartPolicy defines when a part of prompts is held, that is, when no request with it is sent to an upstream.
type PartPolicy struct {
	// HoldAfter is the number of crashes without a sound answer in between from which on a part is held. With a crash
	// within RecentAnswer of the latest answer it is HoldAfterRecent: the part is probably answered again soon.
	HoldAfter       int
	RecentAnswer    time.Duration
	HoldAfterRecent int
	// Hold is how long a part is held at least. It is short, because crashes for other causes may have a part held that
	// has no share in them. It grows by HoldGrowth with each crash after the end of a hold, up to MaxHold.
	Hold       time.Duration
	HoldGrowth int
	MaxHold    time.Duration
	// RestoredHold is how long a part is held at least after a box has read its hold in the store.
	RestoredHold time.Duration
	// ProbeSpacing is the average time between the ends of a hold at two boxes. It is longer than boxes take to learn that
	// the part crashed an upstream again.
	ProbeSpacing time.Duration
}

// DefaultPartPolicy is the policy in use.
var DefaultPartPolicy = PartPolicy{
	HoldAfter:       3,
	RecentAnswer:    3 * time.Second,
	HoldAfterRecent: 5,
	Hold:            3 * time.Second,
	HoldGrowth:      40,
	MaxHold:         20 * time.Minute,
	RestoredHold:    30 * time.Second,
	ProbeSpacing:    500 * time.Millisecond,
}

// holdTime returns the shortest hold at a level, which is the number of earlier holds that ended in a crash.
func (p *PartPolicy) holdTime(level int) time.Duration {
	hold := p.Hold
	for range level {
		if hold >= p.MaxHold {
			break
		}
		hold *= time.Duration(p.HoldGrowth)
	}
	return min(hold, p.MaxHold)
}

// partHold is a part that is held, or was and has had no sound answer since.
type partHold struct {
	level   int
	crashes int
	// until is the end of the hold at the first box.
	until time.Time
}

// suffices reports whether so many crashes in a row, the latest at a time, are enough to hold a part.
func (p *PartPolicy) suffices(crashes int, latest, answered time.Time) bool {
	if latest.Sub(answered) < p.RecentAnswer {
		return crashes >= p.HoldAfterRecent
	}
	return crashes >= p.HoldAfter
}

// holdOf returns the hold that follows from the times of crashes, the earliest first, from the latest answer and from a
// hold that the store had. Crashes during a hold are of requests that were in flight when it began, and do not extend it.
func (p *PartPolicy) holdOf(crashes []time.Time, answered time.Time, restored restoredPart) (partHold, bool) {
	hold, begun := partHold{crashes: len(crashes)}, false
	if !restored.at.IsZero() {
		hold = partHold{level: restored.stored.Level, crashes: max(len(crashes), restored.stored.Crashes), until: restored.at.Add(max(p.RestoredHold, p.holdTime(restored.stored.Level)))}
		begun = true
	}
	for n, at := range crashes {
		switch {
		case begun && at.Before(hold.until):
		case begun:
			hold.level++
			hold.until = at.Add(p.holdTime(hold.level))
		case p.suffices(n+1, at, answered):
			begun, hold.until = true, at.Add(p.holdTime(0))
		}
	}
	return hold, begun
}

// merged returns the times, the earliest first, without those that follow one within commonCauseWindow.
func merged(times []time.Time) []time.Time {
	var list []time.Time
	for _, at := range times {
		if len(list) == 0 || at.Sub(list[len(list)-1]) > commonCauseWindow {
			list = append(list, at)
		}
	}
	return list
}
