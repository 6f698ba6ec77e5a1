package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// sameCrash is the longest time between two reports of one crash of an upstream: boxes see it within some milliseconds,
	// and reports of it are some hundred ms older or younger than they say after three calls. An
	// upstream needs seconds to start again.
	sameCrash = 1500 * time.Millisecond
	// together is the longest time between crashes of upstreams that fell for one cause. A request that crashes upstreams gets to
	// the next one only when the last is gone, which takes longer.
	together = 50 * time.Millisecond
	// memory is for how long a record is kept after its latest crash, or after the request may be sent again. A request
	// that comes again once in half an hour crashes three upstreams in an hour and a half.
	memory = 30 * time.Minute
	// answeredMemory is for how long a request that was answered is remembered as such: reports of crashes before that may
	// still come. Far longer than a report is under way.
	answeredMemory = time.Minute
	// keptCrashes is how many crashes of a record are kept, the latest. It bounds the hold to 2^5 times the first one.
	keptCrashes = 8
	// pruneInterval is how often records that are over are dropped.
	pruneInterval = 10 * time.Second
	// maxRecords bounds the records of a box, at 0.2 KB each. The requests under way when 60 engines crash at once.
	maxRecords = 4096
)

// Source is how a box came to know of a crash.
type Source string

// The sources.
const (
	FromSelf  Source = "self"
	FromPeer  Source = "peer"
	FromStore Source = "store"
)

// crash is a crash of an upstream at which a request was under way.
type crash struct {
	upstream string
	at       time.Time
	// known is when this box came to know of it, and source how.
	known  time.Time
	source Source
}

// record is what is known of one request.
type record struct {
	// crashes since answered, the earliest first.
	crashes []crash
	// answered is when the request was last answered whole; zero if it was not, as far as is known.
	answered time.Time
	// stored is how many crashes the store has of it, as of restored; 0 if it has none.
	stored   int
	restored time.Time
}

// count is how many crashes in a row there were under the request. Upstreams that fall together count once: a request that all ask
// for runs at many of them, and when a rack loses power its next answers would be held up by what it has no part in.
func (r *record) count() int {
	count := 0
	var counted time.Time
	for _, c := range r.crashes {
		if count == 0 || c.at.Sub(counted) > together {
			count++
			counted = c.at
		}
	}
	return max(count, r.stored)
}

// latest is when the latest upstream crashed, at the latest.
func (r *record) latest() time.Time {
	if len(r.crashes) == 0 {
		return r.restored
	}
	return r.crashes[len(r.crashes)-1].at
}

// held is until when the request is held; it may be over.
func (r *record) held(policy *Policy) time.Time { return r.latest().Add(policy.span(r.count())) }

// over reports whether a record is of no use any more.
func (r *record) over(policy *Policy, now time.Time) bool {
	if r.count() == 0 {
		return now.Sub(r.answered) > answeredMemory
	}
	return now.Sub(r.held(policy)) > memory
}

// add adds a crash, and reports whether it is news.
func (r *record) add(c crash) bool {
	if !c.at.After(r.answered) {
		return false
	}
	for _, old := range r.crashes {
		if old.upstream == c.upstream && c.at.Sub(old.at).Abs() < sameCrash {
			return false
		}
	}
	at, _ := slices.BinarySearchFunc(r.crashes, c.at, func(old crash, at time.Time) int { return old.at.Compare(at) })
	if at == 0 && len(r.crashes) == keptCrashes {
		return false
	}
	r.crashes = slices.Insert(r.crashes, at, c)
	r.crashes = r.crashes[max(0, len(r.crashes)-keptCrashes):]
	return true
}

// answer notes a whole answer, and reports whether it is news.
func (r *record) answer(at time.Time) bool {
	if !at.After(r.answered) {
		return false
	}
	r.answered = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
	if !r.restored.After(at) {
		r.stored = 0
	}
	return true
}

// Register is what one box knows of requests under which upstreams crashed. It is safe for concurrent use.
type Register struct {
	Policy Policy
	// OnHeld is called with each request when it is held once more, with the register locked: it must not call it. nil is not
	// called.
	OnHeld func(Fingerprint, Verdict)
	// OnChanged is called when this box has news for others, with the register locked: it must not call it. nil is not
	// called.
	OnChanged func()

	mu      sync.Mutex
	records map[Fingerprint]*record
	// changed are the records with news for other boxes.
	changed map[Fingerprint]bool
	// pruned is when records that are over were last dropped.
	pruned time.Time
}

// NewRegister returns a register without records.
func NewRegister(policy Policy) *Register {
	return &Register{Policy: policy, records: map[Fingerprint]*record{}, changed: map[Fingerprint]bool{}}
}

// Empty drops records that are over, at most once in pruneInterval, and reports whether nothing is known of any request. It is
// asked for each request, ahead of what costs more.
func (r *Register) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); len(r.records) > 0 && now.Sub(r.pruned) >= pruneInterval {
		r.prune(now)
	}
	return len(r.records) == 0
}

// NoteCrash notes that an upstream crashed while a request of this box was under way there.
func (r *Register) NoteCrash(f Fingerprint, upstream string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.add(f, crash{upstream: upstream, at: at, known: now, source: FromSelf}) {
		r.noteChanged(f)
	}
}

// noteChanged notes news for other boxes. The caller holds the lock.
func (r *Register) noteChanged(f Fingerprint) {
	r.changed[f] = true
	if r.OnChanged != nil {
		r.OnChanged()
	}
}

// add adds a crash to a request's record, and reports whether it is news. The caller holds the lock.
func (r *Register) add(f Fingerprint, c crash) bool {
	known := r.of(f, c.known)
	before := known.count()
	if !known.add(c) {
		return false
	}
	r.noteHeld(f, known, before)
	return true
}

// noteHeld has it known that a request is held once more. The caller holds the lock.
func (r *Register) noteHeld(f Fingerprint, known *record, before int) {
	if r.OnHeld != nil && known.count() > before && known.count() >= r.Policy.PauseAfter {
		r.OnHeld(f, known.verdict(&r.Policy, time.Now()))
	}
}

// NoteAnswered notes that a request was answered whole, so that nothing is held against it.
func (r *Register) NoteAnswered(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.records[f]; known != nil && known.count() > 0 && known.answer(time.Now()) {
		r.changed[f] = true // Not worth telling at once.
	}
}

// of returns the record of a request, a new one if there is none. The caller holds the lock.
func (r *Register) of(f Fingerprint, now time.Time) *record {
	known := r.records[f]
	if known != nil && known.over(&r.Policy, now) {
		r.drop(f)
		known = nil
	}
	if known == nil {
		if len(r.records) >= maxRecords {
			r.evict(now)
		}
		known = &record{}
		r.records[f] = known
	}
	return known
}

// evict drops the records that are over, and if there are none the one with the fewest crashes, of these the one whose latest
// is the longest ago. The caller holds the lock.
func (r *Register) evict(now time.Time) {
	r.prune(now)
	if len(r.records) < maxRecords {
		return
	}
	var least Fingerprint
	var found *record
	for f, known := range r.records {
		if found == nil || known.count() < found.count() || known.count() == found.count() && known.latest().Before(found.latest()) {
			least, found = f, known
		}
	}
	r.drop(least)
}

// prune drops the records that are over. The caller holds the lock.
func (r *Register) prune(now time.Time) {
	r.pruned = now
	for f, known := range r.records {
		if known.over(&r.Policy, now) {
			r.drop(f)
		}
	}
}

func (r *Register) drop(f Fingerprint) {
	delete(r.records, f)
	delete(r.changed, f)
}
