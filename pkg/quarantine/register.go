package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// sameCrashWindow is the longest time between two reports of the same crash of an upstream. Boxes see a crash within
	// some milliseconds of each other, and after three calls the age in a report is wrong by some hundred ms in either
	// direction. An upstream needs seconds to start again, so it does not crash twice in this time.
	sameCrashWindow = 1500 * time.Millisecond
	// commonCauseWindow is the longest time between crashes of upstreams that had one common cause. A request that
	// crashes upstreams is sent to the next one only after the former has crashed, which takes longer.
	commonCauseWindow = 50 * time.Millisecond
	// recordRetention is how long a record is kept after its latest crash, or after the hold that followed it. A request
	// that is sent once every half hour crashes three upstreams in an hour and a half.
	recordRetention = 30 * time.Minute
	// answeredRetention is how long the record of an answered request is kept if it has no later crash: reports of
	// crashes before the answer may still arrive. It is far longer than the time that a report takes to arrive.
	answeredRetention = time.Minute
	// maxCrashes is how many crashes a record keeps, the latest ones. With DefaultPolicy it limits a hold to 2^5 times
	// Policy.Hold.
	maxCrashes = 8
	// pruneInterval is how often Empty drops expired records.
	pruneInterval = 10 * time.Second
	// maxRecords limits the records of a box, at 0.2 KB each. It suffices for the requests in flight when 60 engines
	// crash at once.
	maxRecords = 4096
)

// Source is how a box learned of a crash.
type Source string

const (
	FromSelf  Source = "self"
	FromPeer  Source = "peer"
	FromStore Source = "store"
)

// crash is a crash of an upstream at which a request was in flight.
type crash struct {
	upstream string
	at       time.Time
	// knownSince is when this box learned of it, and source how.
	knownSince time.Time
	source     Source
}

// record is what this box knows of one request.
type record struct {
	// crashes holds the crashes since answered, the earliest first.
	crashes []crash
	// answered is when the request was last answered completely; zero if no such answer is known.
	answered time.Time
	// storedCrashes is how many crashes the store's record had when it was read at restoredAt; 0 if there is none.
	storedCrashes int
	restoredAt    time.Time
}

// crashCount returns how many crashes in a row there were under the request. Upstreams that crash within
// commonCauseWindow count once: a request that many callers send runs at many upstreams. When a rack loses power, it
// would otherwise be held for crashes that it did not cause.
func (r *record) crashCount() int {
	count := 0
	var counted time.Time
	for _, c := range r.crashes {
		if count == 0 || c.at.Sub(counted) > commonCauseWindow {
			count++
			counted = c.at
		}
	}
	return max(count, r.storedCrashes)
}

// latestCrash returns when the latest upstream crashed. If this box knows the crashes only from the store, it returns
// when it read them there, which is later than the crash.
func (r *record) latestCrash() time.Time {
	if len(r.crashes) == 0 {
		return r.restoredAt
	}
	return r.crashes[len(r.crashes)-1].at
}

// heldUntil returns until when the request is held, which may be in the past.
func (r *record) heldUntil(policy *Policy) time.Time {
	return r.latestCrash().Add(policy.holdTime(r.crashCount()))
}

// expired reports whether a record is no longer needed.
func (r *record) expired(policy *Policy, now time.Time) bool {
	if r.crashCount() == 0 {
		return now.Sub(r.answered) > answeredRetention
	}
	return now.Sub(r.heldUntil(policy)) > recordRetention
}

// add adds a crash, and reports whether it was new.
func (r *record) add(c crash) bool {
	if !c.at.After(r.answered) {
		return false
	}
	for _, old := range r.crashes {
		if old.upstream == c.upstream && c.at.Sub(old.at).Abs() < sameCrashWindow {
			return false
		}
	}
	index, _ := slices.BinarySearchFunc(r.crashes, c.at, func(old crash, at time.Time) int { return old.at.Compare(at) })
	if index == 0 && len(r.crashes) == maxCrashes {
		return false
	}
	r.crashes = slices.Insert(r.crashes, index, c)
	r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashes):]
	return true
}

// addAnswer records a complete answer, which clears the crashes before it. It reports whether the answer is newer
// than the last one.
func (r *record) addAnswer(at time.Time) bool {
	if !at.After(r.answered) {
		return false
	}
	r.answered = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
	if !r.restoredAt.After(at) {
		r.storedCrashes = 0
	}
	return true
}

// Register holds one box's records of requests under which upstreams crashed. It is safe for concurrent use.
type Register struct {
	Policy Policy
	// OnHeld is called each time that the crash count of a request rises to Policy.PauseAfter or more, also by
	// Restore. It is called with the register locked, so it must not call the register. nil is not called.
	OnHeld func(Fingerprint, Verdict)
	// OnChanged is called when this box has a new crash to report to others. It is called with the register locked, so
	// it must not call the register. nil is not called.
	OnChanged func()

	mu      sync.Mutex
	records map[Fingerprint]*record
	// changed holds the requests whose records have changes of this box to report to others.
	changed map[Fingerprint]bool
	// lastPrune is when expired records were last dropped.
	lastPrune time.Time
}

// NewRegister returns a register without records.
func NewRegister(policy Policy) *Register {
	return &Register{Policy: policy, records: map[Fingerprint]*record{}, changed: map[Fingerprint]bool{}}
}

// Empty drops expired records, at most once per pruneInterval, and reports whether none is left. Callers check it for
// each request before they compute the fingerprint, which costs more.
func (r *Register) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); len(r.records) > 0 && now.Sub(r.lastPrune) >= pruneInterval {
		r.prune(now)
	}
	return len(r.records) == 0
}

// NoteCrash records that an upstream crashed while a request of this box was in flight there.
func (r *Register) NoteCrash(f Fingerprint, upstream string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.add(f, crash{upstream: upstream, at: at, knownSince: now, source: FromSelf}) {
		r.markChanged(f)
	}
}

// markChanged marks a record as changed and calls OnChanged. The caller holds the lock.
func (r *Register) markChanged(f Fingerprint) {
	r.changed[f] = true
	if r.OnChanged != nil {
		r.OnChanged()
	}
}

// add adds a crash to a request's record, and reports whether it was new. The caller holds the lock.
func (r *Register) add(f Fingerprint, c crash) bool {
	rec := r.recordOf(f, c.knownSince)
	before := rec.crashCount()
	if !rec.add(c) {
		return false
	}
	r.reportHeld(f, rec, before)
	return true
}

// reportHeld calls OnHeld if a request's crash count is above before and at least Policy.PauseAfter. The caller holds
// the lock.
func (r *Register) reportHeld(f Fingerprint, rec *record, before int) {
	if r.OnHeld != nil && rec.crashCount() > before && rec.crashCount() >= r.Policy.PauseAfter {
		r.OnHeld(f, rec.verdict(&r.Policy, time.Now()))
	}
}

// NoteAnswered records that a request was answered completely, which clears its crashes.
func (r *Register) NoteAnswered(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[f]; rec != nil && rec.crashCount() > 0 && rec.addAnswer(time.Now()) {
		r.changed[f] = true // Reported with the next update; not worth a call of OnChanged.
	}
}

// recordOf returns the record of a request, a new one if there is none or it has expired. The caller holds the lock.
func (r *Register) recordOf(f Fingerprint, now time.Time) *record {
	rec := r.records[f]
	if rec != nil && rec.expired(&r.Policy, now) {
		r.drop(f)
		rec = nil
	}
	if rec == nil {
		if len(r.records) >= maxRecords {
			r.evict(now)
		}
		rec = &record{}
		r.records[f] = rec
	}
	return rec
}

// evict drops the expired records. If there are still maxRecords, it drops the one with the fewest crashes; of
// several such records, the one whose latest crash is the longest ago. The caller holds the lock.
func (r *Register) evict(now time.Time) {
	r.prune(now)
	if len(r.records) < maxRecords {
		return
	}
	var least Fingerprint
	var found *record
	for f, rec := range r.records {
		if found == nil || rec.crashCount() < found.crashCount() || rec.crashCount() == found.crashCount() && rec.latestCrash().Before(found.latestCrash()) {
			least, found = f, rec
		}
	}
	r.drop(least)
}

// prune drops the expired records. The caller holds the lock.
func (r *Register) prune(now time.Time) {
	r.lastPrune = now
	for f, rec := range r.records {
		if rec.expired(&r.Policy, now) {
			r.drop(f)
		}
	}
}

func (r *Register) drop(f Fingerprint) {
	delete(r.records, f)
	delete(r.changed, f)
}
