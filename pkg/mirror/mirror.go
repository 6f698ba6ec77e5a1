// Package mirror keeps a copy of all records of the key-value store.
//
// The copy is updated by a watch of the store. When the store is unreachable or need not be polled, deltas from boxes
// with a newer copy bring it up to date, so that it is enough if a few boxes watch the store. The package owns the
// copy and its age. It relies on pkg/kv for the store, and on its callers to carry deltas between boxes.
//
// `ospreymoor node` uses it (internal/storeview, internal/cluster). `ospreymoor serve` has
// pkg/records instead, which has named records with a generation each, not one copy at a revision.
package mirror

import (
	"slices"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// State is a copy of the store's records at one revision.
type State struct {
	// Revision is the store's revision that the records reflect; 0 before anything was read.
	Revision int64
	Records  Records
	// Changed are the keys whose records were added, changed or removed since the previous state; nil if that is not
	// known.
	Changed []string
	// PreviousCurrentAt is when the previous state was last known to be current. The changes since then are later than
	// that. It is zero for the first state.
	PreviousCurrentAt time.Time
	// Origin is where the latest change came from.
	Origin Origin
}

// Origin is where a change of the copy came from.
type Origin string

// The origins of a change.
const (
	// FromSnapshot is a snapshot of the store, FromWatch a batch of its watch, and FromPeer a delta or a large record
	// from another box.
	FromSnapshot Origin = "snapshot"
	FromWatch    Origin = "watch"
	FromPeer     Origin = "peer"
)

// Mirror keeps a copy of the store up to date. It is safe for concurrent use; its exported fields are set before Run.
type Mirror struct {
	Store kv.Store
	// OnChange is called with each new state, one call at a time and with the mirror locked: it must
	// neither block nor call the mirror.
	OnChange func(State)
	// BatchDelay returns how long changes are gathered before the store is polled for more, because each answer of a
	// watch is a call that costs; nil means no delay.
	BatchDelay func() time.Duration
	// PollTimeout returns how long the store may delay the answer to one poll of the watch while nothing changes; nil or
	// 0 leaves it to pkg/kv.
	PollTimeout func() time.Duration
	// PollAhead reports whether the store is polled for the next changes while the previous ones are still gathered, so
	// that a large one is already on its way; nil means never. If the mirror then pauses, the call was wasted.
	PollAhead func() bool
	// Paused reports whether the store need not be polled now, because other boxes bring the copy up to date; nil means
	// that it is always polled.
	Paused func() bool
	// MayAwaitRestored reports whether this box may wait for other boxes to bring what the store has after it came back
	// from a copy, as long as Paused allows it; nil means never. It is called without the mirror locked.
	MayAwaitRestored func() bool
	// LeaveRestored reports whether this box leaves it to other boxes for now to read a store that came back from a copy, which
	// it has known for that long; nil means never. It is called without the mirror locked.
	LeaveRestored func(known time.Duration) bool
	// MayAwaitCopy reports whether this box may wait for a first copy from other boxes instead of reading a large store
	// whole; nil means never.
	MayAwaitCopy func() bool
	// OnPartialSnapshot is called with the first records of a store that is too large to be read whole while a copy may
	// be awaited; nil is not called.
	OnPartialSnapshot func([]kv.Record)
	// OnConnectivity is called with an error when the store becomes unreachable, and with nil when it is reachable
	// again. nil is not called.
	OnConnectivity func(error)
	// OnOlderSnapshot is called with the revision of a snapshot that is older than the copy, and that of the copy. nil
	// is not called.
	OnOlderSnapshot func(snapshot, copied int64)
	// OnWatchEnd is called when a watch of the store ends by itself. nil is not called.
	OnWatchEnd func()

	mu        sync.Mutex
	state     State
	changelog changelog
	removals  removals
	missing   missingRecords
	freshness freshness
	// pendingConfirmations are confirmations of revisions that this copy has not reached yet, in the order of arrival.
	pendingConfirmations []confirmation
	// reported is the highest revision of a copy that another box reported.
	reported int64
	// outlivedSince is since when this box has known that the store came back from a copy after the state was current; zero
	// if it did not.
	outlivedSince time.Time
	// partialRead means that only the first records of a large store were read, because a copy may be awaited.
	partialRead bool
	// copiedFromPeers means that the whole state so far came from other boxes. The next call of follow clears it.
	copiedFromPeers bool
	connection      connection
}

// freshness is when the copy was last known to be current. A zero time means never.
type freshness struct {
	// storeConfirmed is when the store itself last confirmed that the copy is current.
	storeConfirmed time.Time
	// confirmed is the latest time at which the copy is known to have been current, from the store or another box.
	confirmed time.Time
	// received is when a part of what the copy lacks last arrived from other boxes.
	received time.Time
}

// confirmation states that another box's copy of a revision was current at some time.
type confirmation struct {
	revision int64
	at       time.Time
}

// maxPendingConfirmations bounds the confirmations that are kept. They cover the exchanges of two seconds, which is
// longer than a copy from another box takes to arrive.
const maxPendingConfirmations = 8

// connection is the state of the calls to the store.
type connection struct {
	// lost means that the latest call failed.
	lost bool
	// lastAttempt is when this box last began to follow the store.
	lastAttempt time.Time
}

// State returns the latest state.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// StoreAge returns how long ago the store itself last confirmed that the copy is current; negative if it never did.
func (m *Mirror) StoreAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return ageOf(m.freshness.storeConfirmed)
}

// Staleness returns how long ago the copy was last known to be current, from the store or from another box; negative
// if it never was. A copy that lacks large records is at least as stale as the time without progress on them.
func (m *Mirror) Staleness() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := ageOf(m.freshness.confirmed)
	if age == neverConfirmed {
		return neverConfirmed
	}
	return max(age, m.missing.age())
}

// neverConfirmed is the age of what was never confirmed.
const neverConfirmed = -1

// ageOf returns the time since a confirmation, or neverConfirmed for a zero time.
func ageOf(confirmed time.Time) time.Duration {
	if confirmed.IsZero() {
		return neverConfirmed
	}
	return time.Since(confirmed)
}

// ConfirmCurrent notes that another box's copy of a revision was current at some time. The confirmation counts once
// this copy has reached the revision. While records change faster than an exchange between boxes carries them, the
// confirmed records arrive a moment after the exchange; boxes that dropped the confirmation would poll the store.
func (m *Mirror) ConfirmCurrent(revision int64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reported = max(m.reported, revision)
	if len(m.pendingConfirmations) == maxPendingConfirmations {
		// Drop the latest one: the earlier ones are of revisions that are reached sooner.
		m.pendingConfirmations = m.pendingConfirmations[:maxPendingConfirmations-1]
	}
	m.pendingConfirmations = append(m.pendingConfirmations, confirmation{revision: revision, at: at})
	m.applyPendingConfirmations()
}

// ArrivalAge returns how long ago a part of what this copy lacks last arrived from other boxes, or how long ago a
// newer copy than this one was last confirmed, whichever is longer. It is negative if no newer copy is known or
// nothing ever arrived.
func (m *Mirror) ArrivalAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pendingConfirmations) == 0 || m.freshness.received.IsZero() {
		return neverConfirmed
	}
	confirmed := m.pendingConfirmations[len(m.pendingConfirmations)-1].at
	return max(time.Since(m.freshness.received), time.Since(confirmed))
}

// applyPendingConfirmations applies and drops the confirmations of revisions that this copy has reached. One of an
// earlier epoch says nothing of this copy. The caller holds the lock.
func (m *Mirror) applyPendingConfirmations() {
	m.pendingConfirmations = slices.DeleteFunc(m.pendingConfirmations, func(c confirmation) bool {
		reached := c.revision <= m.state.Revision
		if reached && kv.EpochOf(c.revision) == kv.EpochOf(m.state.Revision) && c.at.After(m.freshness.confirmed) {
			m.freshness.confirmed = c.at
		}
		return reached
	})
}

// confirmByStore notes that the store itself answered with its current state. The caller holds the lock.
func (m *Mirror) confirmByStore() {
	now := time.Now()
	m.freshness.storeConfirmed, m.freshness.confirmed = now, now
}

// Lost reports whether the latest call to the store failed.
func (m *Mirror) Lost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connection.lost
}

// noteConnectivity notes whether a call to the store failed. It calls OnConnectivity when that changes, not for
// further errors while the store is lost.
func (m *Mirror) noteConnectivity(err error) {
	m.mu.Lock()
	wasLost := m.connection.lost
	m.connection.lost = err != nil
	m.mu.Unlock()
	if m.OnConnectivity != nil && wasLost != (err != nil) {
		m.OnConnectivity(err)
	}
}

// applyChange makes the next state by adding or replacing the records in put and removing the keys in drop, and
// passes it to OnChange. The caller holds the lock.
func (m *Mirror) applyChange(revision int64, origin Origin, put []kv.Record, drop []string, previousCurrentAt time.Time) {
	records := m.state.Records.with(put, drop)
	m.changelog.add(put, records)
	changed := make([]string, 0, len(put)+len(drop))
	for _, record := range put {
		changed = append(changed, record.Key)
	}
	changed = append(changed, drop...)
	m.state = State{Revision: revision, Records: records, Changed: changed, PreviousCurrentAt: previousCurrentAt, Origin: origin}
	m.applyPendingConfirmations()
	if m.OnChange != nil {
		m.OnChange(m.state)
	}
}

// replaceAll makes the next state from all records of the store. Records with the same revision as before do not
// count as changed. The caller holds the lock.
func (m *Mirror) replaceAll(revision int64, origin Origin, all map[string]kv.Record, previousCurrentAt time.Time) {
	var put []kv.Record
	var drop []string
	for key, record := range all {
		if old, found := m.state.Records.Get(key); !found || old.Revision != record.Revision {
			put = append(put, record)
		}
	}
	for key := range m.state.Records.All() {
		if _, kept := all[key]; !kept {
			drop = append(drop, key)
		}
	}
	m.applyChange(revision, origin, put, drop, previousCurrentAt)
}
