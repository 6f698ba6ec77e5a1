// Package mirror keeps a copy of the keys below one prefix of the key-value service.
//
// The copy follows the service's watch. Where the service can't be reached, another process's
// newer copy is taken instead, so that news spreads while a few processes still hear it.
package mirror

import (
	"context"
	"maps"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

const (
	firstPause = 100 * time.Millisecond
	longPause  = time.Second
)

// State is the state of the prefix at one revision.
type State struct {
	// Revision of the service that the copy reflects; 0 before anything was read.
	Revision int64                `json:"revision"`
	Records  map[string]kv.Record `json:"records"`
	// PreviousCurrentAt is when the copy before this one was still known to be current; what changed came
	// later. It is zero for the first one.
	PreviousCurrentAt time.Time `json:"-"`
}

// Mirror follows one prefix. It is safe for concurrent use.
type Mirror struct {
	Store  kv.Store
	Prefix string
	// OnChange is called with each new state, one call at a time; it must not block. The
	// records of a copy are never changed.
	OnChange func(State)
	// BatchDelay tells how long changes are gathered before the service is asked for more: each
	// answer of a watch is a call that costs. nil takes no time.
	BatchDelay func() time.Duration
	// PollTimeout is how long the service may hold a question of the watch back; see kv.Watching.
	PollTimeout func() time.Duration
	// Paused tells whether the service need not be asked now, because other processes tell of its
	// changes; nil asks it always.
	Paused func() bool
	// OnConnectivity is called when the service is lost (with the error) and regained (with nil).
	OnConnectivity func(error)

	mu    sync.Mutex
	state State
	// heard is when the service itself last told that the state is current, and current when it
	// was so by any source.
	heard   time.Time
	current time.Time
	lost    bool
	// tried is when the service was last asked.
	tried    time.Time
	removals removals
}

// State returns the latest copy.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// never is the age of what was never known.
const never = -1

// Age is how long ago the service itself told that the copy is current; negative if it never did.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard.IsZero() {
		return never
	}
	return time.Since(m.heard)
}

// Staleness is how long ago the copy was current by any source's word; negative if it never was.
func (m *Mirror) Staleness() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.IsZero() {
		return never
	}
	return time.Since(m.current)
}

// ConfirmCurrent takes another process's word that a copy of a revision was current at some time.
func (m *Mirror) ConfirmCurrent(revision int64, current time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Revision >= revision && current.After(m.current) {
		m.current = current
	}
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	wait := firstPause
	whole := false
	for ctx.Err() == nil {
		if m.resting() {
			_ = pause.For(ctx, restPause)
			continue
		}
		begun := time.Now()
		whole = m.follow(ctx, whole)
		if whole {
			continue
		}
		if time.Since(begun) > longPause {
			wait = firstPause
		}
		if pause.For(ctx, wait) != nil {
			return
		}
		wait = min(2*wait, longPause)
	}
}

const (
	// restPause is how often a resting mirror looks whether it should ask again.
	restPause = 100 * time.Millisecond
	// lostRetry is how often a resting mirror asks a service that it lost.
	lostRetry = 2 * time.Second
)

// resting tells whether the service need not be asked now.
func (m *Mirror) resting() bool {
	m.mu.Lock()
	due := m.state.Revision == 0 || (m.lost && time.Since(m.tried) > lostRetry)
	m.mu.Unlock()
	return !due && m.Paused != nil && m.Paused()
}

// follow takes in changes until the service breaks off, or until it need not be asked any more.
// whole tells that nothing was missed since the copy that there is; if not, the prefix is read
// first. It returns whether that holds at the end.
func (m *Mirror) follow(ctx context.Context, whole bool) bool {
	m.mu.Lock()
	m.tried = time.Now()
	from := m.state.Revision
	m.mu.Unlock()
	if !whole {
		snapshot, err := m.Store.Snapshot(ctx, m.Prefix)
		m.report(err)
		if err != nil {
			return false
		}
		m.take(snapshot)
		from = snapshot.Revision
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := m.Store.Watch(ctx, kv.Watching{Prefix: m.Prefix, From: from + 1, Idle: m.PollTimeout})
	if err != nil {
		m.report(err)
		return false
	}
	for batch := range events {
		m.report(nil)
		m.apply(batch)
		if len(batch) > 0 && m.BatchDelay != nil && pause.For(ctx, m.BatchDelay()) != nil {
			return false
		}
		if m.resting() {
			return true
		}
	}
	return false
}

// Lost tells whether the service could not be reached at the last try.
func (m *Mirror) Lost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// take replaces the state by a snapshot, unless a newer copy was offered meanwhile.
func (m *Mirror) take(snapshot kv.Snapshot) {
	records := make(map[string]kv.Record, len(snapshot.Records))
	for _, record := range snapshot.Records {
		records[record.Key] = record
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	since := m.current
	m.hear()
	if snapshot.Revision < m.state.Revision {
		return
	}
	m.removals.replace(m.state, records, snapshot.Revision)
	m.set(State{Revision: snapshot.Revision, Records: records, PreviousCurrentAt: since})
}

// hear notes that the service itself told of its state. The caller holds the lock.
func (m *Mirror) hear() {
	m.heard = time.Now()
	m.current = m.heard
}

func (m *Mirror) apply(events []kv.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := State{Revision: m.state.Revision, Records: maps.Clone(m.state.Records), PreviousCurrentAt: m.current}
	m.hear()
	if next.Records == nil {
		next.Records = map[string]kv.Record{}
	}
	changed := false
	for _, event := range events {
		record := event.Record
		if record.Revision <= m.state.Revision {
			continue
		}
		changed = true
		if event.Deleted {
			delete(next.Records, record.Key)
			m.removals.add(record.Key, record.Revision)
		} else {
			next.Records[record.Key] = record
		}
		next.Revision = max(next.Revision, record.Revision)
	}
	if changed {
		m.set(next)
	}
}

// set stores a state and tells of it. The caller holds the lock.
func (m *Mirror) set(c State) {
	m.state = c
	if m.OnChange != nil {
		m.OnChange(c)
	}
}

func (m *Mirror) report(err error) {
	m.mu.Lock()
	was := m.lost
	m.lost = err != nil
	m.mu.Unlock()
	if m.OnConnectivity != nil && was != (err != nil) {
		m.OnConnectivity(err)
	}
}
