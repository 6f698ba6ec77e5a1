// Package mirror keeps a copy of all that the key-value service holds.
//
// The copy follows the service's watch. Where the service can't be reached, or need not be asked, a
// newer copy of another box brings it up to date, as a delta. So a few boxes that watch the service
// are enough for all. The package owns the copy and its age; it relies on pkg/kv for the service and
// on its callers to carry deltas between boxes.
//
// `ospreymoor node` uses it (internal/storeview, internal/cluster). `ospreymoor serve` has
// pkg/records instead: named records with generations of their own, not one copy at a revision.
package mirror

import (
	"slices"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// State is what the service holds at one revision.
type State struct {
	// Revision of the service that the records reflect; 0 before anything was read.
	Revision int64
	Records  Records
	// Changed are the keys whose records are new, other or gone since the state before; nil if that is not known.
	Changed []string
	// PreviousCurrentAt is when the state before this one was last known to be current: what changed
	// did so later. It is zero for the first state.
	PreviousCurrentAt time.Time
	// Origin is where the latest change came from.
	Origin Origin
}

// Origin is where a change of the copy came from.
type Origin string

// The origins of a change.
const (
	// FromSnapshot is a snapshot of the service, FromWatch a batch of its watch, and FromPeer a
	// delta of another box.
	FromSnapshot Origin = "snapshot"
	FromWatch    Origin = "watch"
	FromPeer     Origin = "peer"
)

// Mirror follows the service. It is safe for concurrent use; its exported fields are set before Run.
type Mirror struct {
	Store kv.Store
	// OnChange is called with each new state, one call at a time and with the mirror locked: it must
	// neither block nor call the mirror.
	OnChange func(State)
	// BatchDelay returns how long changes are gathered before the service is asked for more, since
	// each answer of a watch is a call that costs; nil is no time.
	BatchDelay func() time.Duration
	// PollTimeout returns how long the service may hold back the answer to one poll of the watch
	// while nothing changes; nil or 0 leaves it to pkg/kv.
	PollTimeout func() time.Duration
	// PollAhead reports whether the service is asked for the next changes already while those before gather, so that a
	// large one is on its way meanwhile; nil is never. It costs a call where the mirror then pauses.
	PollAhead func() bool
	// Paused reports whether the service need not be asked now, because other boxes bring the copy
	// up to date; nil asks it always.
	Paused func() bool
	// AwaitsCopy reports whether a first copy may be awaited from other boxes, so that this one does not read a large service whole; nil
	// is never.
	AwaitsCopy func() bool
	// OnPart is called with the first records of a service that is too large to be read whole while a copy is awaited; nil is not.
	OnPart func([]kv.Record)
	// OnConnectivity is called when the service is lost (with the error) and regained (with nil).
	OnConnectivity func(error)

	mu        sync.Mutex
	state     State
	changelog changelog
	removals  removals
	missing   missing
	freshness freshness
	// awaited are confirmations of revisions that this copy has yet to reach, in the order in which they came.
	awaited []confirmation
	// partRead means that the first records of a large service were read, and a copy is awaited.
	partRead bool
	// copied means that the state came from other boxes alone, from its first copy on.
	copied bool
	// connection is that to the service.
	connection connection
}

// freshness is when the copy was last known to be current; zero times are never.
type freshness struct {
	// byStore is when the service itself last confirmed it.
	byStore time.Time
	// byAny is when the service or another box last confirmed it.
	byAny time.Time
	// brought is when other boxes last brought a part of what it lacks.
	brought time.Time
}

// confirmation is that another box's copy of a revision was current at some time.
type confirmation struct {
	revision int64
	at       time.Time
}

// maxAwaited bounds the confirmations that are kept. The exchanges of two seconds, longer than a copy takes
// from another box.
const maxAwaited = 8

// connection is how the calls to the service went.
type connection struct {
	// lost is true while the latest call failed.
	lost bool
	// triedAt is when the service was last asked.
	triedAt time.Time
}

// State returns the latest state.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// StoreAge returns how long ago the service itself confirmed that the copy is current; negative if it
// never did.
func (m *Mirror) StoreAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return since(m.freshness.byStore)
}

// Staleness returns how long ago the copy was last known to be current, by the service or by another
// box; negative if it never was. A copy that lacks records is not current, unless they are coming.
func (m *Mirror) Staleness() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := since(m.freshness.byAny)
	if age == never {
		return never
	}
	return max(age, m.missing.age())
}

// never is the age of what was never confirmed.
const never = -1

func since(confirmed time.Time) time.Duration {
	if confirmed.IsZero() {
		return never
	}
	return time.Since(confirmed)
}

// ConfirmCurrent notes that another box's copy of a revision was current at some time. It counts once this
// copy is as new: while records change faster than an exchange carries them, what the exchange confirms arrives
// a moment after it, and boxes that did not wait for it would poll the service.
func (m *Mirror) ConfirmCurrent(revision int64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.awaited) == maxAwaited {
		// The earlier ones are of revisions that are reached sooner.
		m.awaited = m.awaited[:maxAwaited-1]
	}
	m.awaited = append(m.awaited, confirmation{revision: revision, at: at})
	m.confirmReached()
}

// Arriving returns how long ago other boxes last brought a part of what this copy lacks, or confirmed a copy that is newer than this one,
// whichever is longer ago; negative if no newer copy is known.
func (m *Mirror) Arriving() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.awaited) == 0 || m.freshness.brought.IsZero() {
		return never
	}
	confirmed := m.awaited[len(m.awaited)-1].at
	return max(time.Since(m.freshness.brought), time.Since(confirmed))
}

// confirmReached takes in the confirmations of revisions that this copy has reached. The caller holds the lock.
func (m *Mirror) confirmReached() {
	m.awaited = slices.DeleteFunc(m.awaited, func(c confirmation) bool {
		reached := c.revision <= m.state.Revision
		if reached && c.at.After(m.freshness.byAny) {
			m.freshness.byAny = c.at
		}
		return reached
	})
}

// confirmByStore notes that the service itself answered with its current state. The caller holds
// the lock.
func (m *Mirror) confirmByStore() {
	now := time.Now()
	m.freshness.byStore, m.freshness.byAny = now, now
}

// Lost reports whether the service could not be reached at the latest call.
func (m *Mirror) Lost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connection.lost
}

// noteConnectivity notes how a call went. Only losing and regaining the service are passed on, not the
// errors of further calls while it is lost.
func (m *Mirror) noteConnectivity(err error) {
	m.mu.Lock()
	was := m.connection.lost
	m.connection.lost = err != nil
	m.mu.Unlock()
	if m.OnConnectivity != nil && was != (err != nil) {
		m.OnConnectivity(err)
	}
}

// change makes the next state by records that are put and keys that are dropped, and passes it on. The caller holds the lock.
func (m *Mirror) change(revision int64, origin Origin, put []kv.Record, drop []string, previousCurrentAt time.Time) {
	records := m.state.Records.with(put, drop)
	m.changelog.add(put, records)
	changed := make([]string, 0, len(put)+len(drop))
	for _, record := range put {
		changed = append(changed, record.Key)
	}
	changed = append(changed, drop...)
	m.state = State{Revision: revision, Records: records, Changed: changed, PreviousCurrentAt: previousCurrentAt, Origin: origin}
	m.confirmReached()
	if m.OnChange != nil {
		m.OnChange(m.state)
	}
}

// replace makes the next state of all records that there are. Those that are as they were do not count as changed. The caller holds the
// lock.
func (m *Mirror) replace(revision int64, origin Origin, all map[string]kv.Record, previousCurrentAt time.Time) {
	var put []kv.Record
	var drop []string
	for key, record := range all {
		if old, held := m.state.Records.Get(key); !held || old.Revision != record.Revision {
			put = append(put, record)
		}
	}
	for key := range m.state.Records.All() {
		if _, kept := all[key]; !kept {
			drop = append(drop, key)
		}
	}
	m.change(revision, origin, put, drop, previousCurrentAt)
}
