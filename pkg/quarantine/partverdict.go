package quarantine

import (
	"bytes"
	"hash/fnv"
	"slices"
	"time"
)

// PartVerdict reports whether requests with a part of prompts are held, and because of which crashes. The zero value
// means that none of the parts is suspected.
type PartVerdict struct {
	Part Fingerprint
	// Held reports whether requests with the part are sent to no upstream until RetryAfter has passed.
	Held       bool
	RetryAfter time.Duration
	// Probation reports whether the hold is over and the part was not answered since: a request may be sent if TakeProbe
	// allows it.
	Probation bool
	// Crashes is how many crashes there were without a sound answer to the part since, and Upstreams those that this box
	// knows of. Level is how many earlier holds ended in a crash.
	Crashes   int
	Level     int
	Upstreams []string
	// Age is how long ago the latest crash was, and Source how this box learned of it.
	Age    time.Duration
	Source Source
	// AnsweredAge is how long ago this box last knew of a sound answer to the part; negative if it knows of none.
	AnsweredAge time.Duration
}

// Verdict returns the verdict on a request with these parts: that on a part that is held, or else on one that is on
// probation.
func (r *PartRegister) Verdict(parts []Fingerprint) PartVerdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.dirty || now.Sub(r.evaluatedAt) >= pruneInterval {
		r.evaluate(now)
	}
	var found PartVerdict
	for _, part := range parts {
		hold, suspected := r.held[part]
		if !suspected {
			continue
		}
		verdict := r.verdictOn(part, hold, now)
		if verdict.Held {
			return verdict
		}
		found = verdict
	}
	return found
}

// TakeProbe reports whether this box may send a request with a part on probation now. It allows one per probeInterval,
// so that a part that still crashes upstreams crashes one.
func (r *PartRegister) TakeProbe(part Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if last, known := r.probes[part]; known && now.Sub(last) < probeInterval {
		return false
	}
	r.probes[part] = now
	return true
}

// verdictOn returns the verdict on one part. The caller holds the lock.
func (r *PartRegister) verdictOn(part Fingerprint, hold partHold, now time.Time) PartVerdict {
	left := r.holdEnd(part, hold).Sub(now)
	verdict := PartVerdict{
		Part: part, Held: left > 0, RetryAfter: max(left, probeInterval), Probation: left <= 0,
		Crashes: hold.crashes, Level: hold.level, Source: FromStore, Age: now.Sub(r.restored[part].at), AnsweredAge: -1,
	}
	if answered := r.answers.latest(part); !answered.IsZero() {
		verdict.AnsweredAge = now.Sub(answered)
	}
	for _, crash := range r.crashes {
		if crash.counts(part) {
			verdict.Upstreams = append(verdict.Upstreams, crash.upstream)
			verdict.Age, verdict.Source = now.Sub(crash.at), crash.source
		}
	}
	return verdict
}

// holdEnd returns when a hold ends at this box.
func (r *PartRegister) holdEnd(part Fingerprint, hold partHold) time.Time {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(r.Box)) // Never fails.
	_, _ = hash.Write(part[:])
	share := float64(hash.Sum32()) / (1 << 32)
	return hold.until.Add(time.Duration(share * float64(r.spread())))
}

// spread returns the time in which the boxes end a hold, one after the other.
func (r *PartRegister) spread() time.Duration {
	boxes := 1
	if r.Boxes != nil {
		boxes = r.Boxes()
	}
	return time.Duration(boxes) * r.Policy.ProbeSpacing
}

// counts reports whether the crash counts against a part.
func (c *partCrash) counts(part Fingerprint) bool {
	answered, known := c.parts[part]
	return known && answered.IsZero()
}

// evaluate determines which parts are held. It explains the crashes by as few parts as it can: it takes the part with
// the most crashes, leaves those crashes out, and repeats that with the others. Parts that only stand beside the cause
// in the same prompts are left without crashes so. The caller holds the lock.
func (r *PartRegister) evaluate(now time.Time) {
	r.prune(now)
	r.dirty, r.evaluatedAt = false, now
	before := r.held
	r.held = map[Fingerprint]partHold{}
	left := slices.Clone(r.crashes)
	for part := range r.restored {
		left = r.take(part, left)
	}
	for {
		part, found := r.mostSuspected(left)
		if !found {
			break
		}
		left = r.take(part, left)
	}
	if r.OnHeld == nil {
		return
	}
	for part, hold := range r.held {
		if old, known := before[part]; !known || hold.level > old.level {
			r.OnHeld(r.verdictOn(part, hold, now))
		}
	}
}

// take takes a part for the cause of all crashes that count against it, and returns those of left that remain.
func (r *PartRegister) take(part Fingerprint, left []*partCrash) []*partCrash {
	if hold, begun := r.Policy.holdOf(merged(r.timesOf(part, r.crashes)), r.answers.latest(part), r.restored[part]); begun {
		r.held[part], r.recentlyHeld[part] = hold, r.evaluatedAt
	}
	return slices.DeleteFunc(left, func(crash *partCrash) bool { return crash.counts(part) })
}

// timesOf returns the times of those crashes that count against a part.
func (r *PartRegister) timesOf(part Fingerprint, crashes []*partCrash) []time.Time {
	var times []time.Time
	for _, crash := range crashes {
		if crash.counts(part) {
			times = append(times, crash.at)
		}
	}
	return times
}

// mostSuspected returns the part with the most crashes among those with enough of them; of several such parts, the one
// whose latest answer is the longest ago.
func (r *PartRegister) mostSuspected(left []*partCrash) (most Fingerprint, found bool) {
	if len(left) < r.Policy.HoldAfter {
		return most, false
	}
	counts := map[Fingerprint]int{}
	for _, crash := range left {
		for part, answered := range crash.parts {
			if answered.IsZero() {
				counts[part]++
			}
		}
	}
	count := 0
	for part, n := range counts {
		if n < r.Policy.HoldAfter {
			continue
		}
		times := merged(r.timesOf(part, left))
		if n = len(times); !r.Policy.suffices(n, times[n-1], r.answers.latest(part)) {
			continue
		}
		if !found || n > count || n == count && r.lessRecent(part, most) {
			most, count, found = part, n, true
		}
	}
	return most, found
}

// lessRecent reports whether the latest answer to one part is longer ago than that to another one. Parts without a
// difference are ordered by their fingerprints, so that all boxes suspect the same one.
func (r *PartRegister) lessRecent(part, other Fingerprint) bool {
	a, b := r.answers.latest(part), r.answers.latest(other)
	if a.Equal(b) {
		return bytes.Compare(part[:], other[:]) < 0
	}
	return a.Before(b)
}

// Counts returns how many parts there are with crashes that count against them.
func (r *PartRegister) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.evaluate(now)
	suspected := map[Fingerprint]bool{}
	for _, crash := range r.crashes {
		for part, answered := range crash.parts {
			if answered.IsZero() {
				suspected[part] = true
			}
		}
	}
	var counts Counts
	for part, hold := range r.held {
		delete(suspected, part)
		if r.holdEnd(part, hold).After(now) {
			counts.Held++
		} else {
			counts.Suspected++
		}
	}
	counts.Suspected += len(suspected)
	return counts
}
