package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxPartCrashes is how many crashes a box knows of, the latest ones, and maxPartsOfCrash how many parts of prompts
	// each has at most. Prompts have a few shared parts, and an engine begins a few answers at once.
	maxPartCrashes  = 64
	maxPartsOfCrash = 512
	// maxAnsweredParts is how many answered parts a generation of answers has at most, and answerGeneration its longest
	// time. Two generations are kept.
	maxAnsweredParts = 4096
	answerGeneration = time.Minute
	// probeInterval is the shortest time between two requests that a box sends to try a part again. It covers the time
	// until an upstream crashes or has written for long enough to count as sound.
	probeInterval = 2 * time.Second
)

// partCrash is a crash of an upstream.
type partCrash struct {
	upstream   string
	at         time.Time
	knownSince time.Time
	source     Source
	// parts are those of the requests in flight there whose answers had not begun or had just begun. The value is when a
	// request with the part was answered after the crash, which shows that the part is not its cause; zero if none was.
	parts map[Fingerprint]time.Time
}

// restoredPart is a part whose hold this box read in the store. at is zero for none.
type restoredPart struct {
	stored Stored
	at     time.Time
}

// PartRegister holds one box's records of crashes and of the shared parts of prompts in flight at each. A crash is
// evidence against all of them but those that were answered since. It is safe for concurrent use.
type PartRegister struct {
	Policy PartPolicy
	// Box is the name of this box, and Boxes returns how many there are; nil means one. Boxes of different names end a hold
	// at different times.
	Box   string
	Boxes func() int
	// OnHeld is called when a hold of a part begins. OnChanged is called when this box has a new crash to report to
	// others. Both are called with the register locked, so they must not call the register. nil is not called.
	OnHeld    func(PartVerdict)
	OnChanged func()

	mu sync.Mutex
	// crashes is in the order of their times.
	crashes  []*partCrash
	restored map[Fingerprint]restoredPart
	answers  answeredParts
	// changed holds the parts with changes of this box to report to others.
	changed map[Fingerprint]bool
	// probes holds when this box last sent a request to try a part again.
	probes map[Fingerprint]time.Time
	// held is the result of the latest evaluation.
	held map[Fingerprint]partHold
	// recentlyHeld holds when each part was held last, for recordRetention.
	recentlyHeld map[Fingerprint]time.Time
	evaluatedAt  time.Time
	dirty        bool
}

// NewPartRegister returns a register without crashes.
func NewPartRegister(policy PartPolicy, box string) *PartRegister {
	return &PartRegister{
		Policy: policy, Box: box, restored: map[Fingerprint]restoredPart{}, changed: map[Fingerprint]bool{},
		probes: map[Fingerprint]time.Time{}, held: map[Fingerprint]partHold{}, recentlyHeld: map[Fingerprint]time.Time{},
	}
}

// answeredParts holds when parts were last answered, in two generations, so that it is bounded whatever parts callers
// make up.
type answeredParts struct {
	young, old map[Fingerprint]time.Time
	begun      time.Time
}

func (a *answeredParts) latest(part Fingerprint) time.Time {
	if at, ok := a.young[part]; ok {
		return at
	}
	return a.old[part]
}

func (a *answeredParts) note(part Fingerprint, at, now time.Time) {
	if !at.After(a.latest(part)) {
		return
	}
	if a.young == nil || len(a.young) >= maxAnsweredParts || now.Sub(a.begun) >= answerGeneration {
		a.young, a.old, a.begun = map[Fingerprint]time.Time{}, a.young, now
	}
	a.young[part] = at
}

// Empty reports whether no crash and no hold is known.
func (r *PartRegister) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.crashes) == 0 && len(r.restored) == 0
}

// NoteCrash records that an upstream crashed while a request of this box was in flight there whose answer had not begun,
// or had just begun. parts are the shared parts of its prompt.
func (r *PartRegister) NoteCrash(upstream string, at time.Time, parts []Fingerprint) {
	if len(parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	added := r.add(partCrash{upstream: upstream, at: at, knownSince: now, source: FromSelf}, parts)
	for _, part := range added {
		r.changed[part] = true
	}
	r.evaluate(now)
	if len(added) > 0 && r.OnChanged != nil {
		r.OnChanged()
	}
}

// NoteAnswered records that an upstream began to write an answer to a request with these parts at the given time, and
// has shown since that it did not crash under it.
func (r *PartRegister) NoteAnswered(parts []Fingerprint, at time.Time) {
	if len(parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, part := range parts {
		if r.addAnswer(part, at, now) {
			r.changed[part] = true
		}
	}
}

// addAnswer records an answer, and reports whether it clears the part of a crash or hold. The caller holds the lock.
func (r *PartRegister) addAnswer(part Fingerprint, at, now time.Time) (cleared bool) {
	r.answers.note(part, at, now)
	for _, crash := range r.crashes {
		if answered, known := crash.parts[part]; known && answered.IsZero() && at.After(crash.at) {
			crash.parts[part] = at
			cleared = true
		}
	}
	if restored, known := r.restored[part]; known && at.After(restored.at) {
		delete(r.restored, part)
		cleared = true
	}
	r.dirty = r.dirty || cleared
	return cleared
}

// add adds parts to a crash, and returns those that are new. The caller holds the lock.
func (r *PartRegister) add(c partCrash, parts []Fingerprint) (added []Fingerprint) {
	crash := r.recordOf(c)
	if crash == nil {
		return nil
	}
	for _, part := range parts {
		if _, known := crash.parts[part]; known || len(crash.parts) >= maxPartsOfCrash {
			continue
		}
		crash.parts[part] = time.Time{}
		added = append(added, part)
		if answered := r.answers.latest(part); answered.After(crash.at) {
			// The box that reports the crash may not know of the answer.
			crash.parts[part] = answered
			r.changed[part] = true
		}
	}
	r.dirty = r.dirty || len(added) > 0
	return added
}

// recordOf returns the record of a crash, a new one if there is none, or nil if it is too old. The caller holds the lock.
func (r *PartRegister) recordOf(c partCrash) *partCrash {
	for _, old := range r.crashes {
		if old.upstream == c.upstream && c.at.Sub(old.at).Abs() < sameCrashWindow {
			return old
		}
	}
	if len(r.crashes) == maxPartCrashes {
		if !c.at.After(r.crashes[0].at) {
			return nil
		}
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	c.parts = map[Fingerprint]time.Time{}
	index, _ := slices.BinarySearchFunc(r.crashes, c.at, func(old *partCrash, at time.Time) int { return old.at.Compare(at) })
	r.crashes = slices.Insert(r.crashes, index, &c)
	return &c
}

// prune drops what is too old to matter. The caller holds the lock.
func (r *PartRegister) prune(now time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(crash *partCrash) bool { return now.Sub(crash.at) > recordRetention })
	for part, restored := range r.restored {
		if now.Sub(restored.at) > recordRetention {
			delete(r.restored, part)
		}
	}
	for part, at := range r.recentlyHeld {
		if now.Sub(at) > recordRetention {
			delete(r.recentlyHeld, part)
		}
	}
	for part, at := range r.probes {
		if now.Sub(at) > probeInterval {
			delete(r.probes, part)
		}
	}
}
