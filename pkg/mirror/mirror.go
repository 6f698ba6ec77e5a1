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

// Copy is the state of the prefix at one revision.
type Copy struct {
	// Revision of the service that the copy reflects; 0 before anything was read.
	Revision int64                `json:"revision"`
	Records  map[string]kv.Record `json:"records"`
}

// Mirror follows one prefix. It is safe for concurrent use.
type Mirror struct {
	Store  kv.Store
	Prefix string
	// Changed is called with each new state, one call at a time; it must not block. The
	// records of a copy are never changed.
	Changed func(Copy)
	// Quiet tells how long changes are gathered before the service is asked for more: each
	// answer of a watch is a call that costs. nil takes no time.
	Quiet func() time.Duration
	// Idle is how long the service may hold a question of the watch back; see kv.Watching.
	Idle func() time.Duration
	// Reached is called when the service is lost (with the error) and regained (with nil).
	Reached func(error)

	mu    sync.Mutex
	state Copy
	// heard is when the state was last known to be current.
	heard time.Time
	lost  bool
}

// State returns the latest copy.
func (m *Mirror) State() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Age is how long ago the copy was last known to be current; negative if it never was.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard.IsZero() {
		return -1
	}
	return time.Since(m.heard)
}

// Delta is what brings a copy of an older revision up to date.
type Delta struct {
	// From is the revision of the older copy, and Revision that of the newer one.
	From     int64 `json:"from"`
	Revision int64 `json:"revision"`
	// Changed records, and the Keys of all records that there are.
	Changed []kv.Record `json:"changed,omitempty"`
	Keys    []string    `json:"keys"`
}

// Since returns what a copy of an older revision lacks; nil if there is nothing newer.
func (m *Mirror) Since(revision int64) *Delta {
	state := m.State()
	if state.Revision <= revision {
		return nil
	}
	delta := &Delta{From: revision, Revision: state.Revision, Keys: make([]string, 0, len(state.Records))}
	for key, record := range state.Records {
		delta.Keys = append(delta.Keys, key)
		if record.Revision > revision {
			delta.Changed = append(delta.Changed, record)
		}
	}
	return delta
}

// Offer takes what another process's copy has newer, and tells whether it brought anything.
func (m *Mirror) Offer(delta Delta) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if delta.Revision <= m.state.Revision || delta.From > m.state.Revision {
		return false
	}
	changed := make(map[string]kv.Record, len(delta.Changed))
	for _, record := range delta.Changed {
		changed[record.Key] = record
	}
	next := Copy{Revision: delta.Revision, Records: make(map[string]kv.Record, len(delta.Keys))}
	for _, key := range delta.Keys {
		record, ok := changed[key]
		if old, held := m.state.Records[key]; !ok && held {
			record, ok = old, true
		}
		if !ok {
			return false // Ours lacks a record that the other one thinks we have.
		}
		next.Records[key] = record
	}
	m.set(next)
	return true
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	wait := firstPause
	for ctx.Err() == nil {
		begun := time.Now()
		m.follow(ctx)
		if time.Since(begun) > longPause {
			wait = firstPause
		}
		if pause.For(ctx, wait) != nil {
			return
		}
		wait = min(2*wait, longPause)
	}
}

// follow reads the prefix and takes in changes until the service breaks off.
func (m *Mirror) follow(ctx context.Context) {
	snapshot, err := m.Store.Snapshot(ctx, m.Prefix)
	if err != nil {
		m.report(err)
		return
	}
	m.report(nil)
	m.take(snapshot)
	events, err := m.Store.Watch(ctx, kv.Watching{Prefix: m.Prefix, From: snapshot.Revision + 1, Idle: m.Idle})
	if err != nil {
		m.report(err)
		return
	}
	for batch := range events {
		m.apply(batch)
		if len(batch) == 0 {
			continue
		}
		if m.Quiet != nil && pause.For(ctx, m.Quiet()) != nil {
			return
		}
	}
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
	m.heard = time.Now()
	if snapshot.Revision < m.state.Revision {
		return
	}
	m.set(Copy{Revision: snapshot.Revision, Records: records})
}

func (m *Mirror) apply(events []kv.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = time.Now()
	next := Copy{Revision: m.state.Revision, Records: maps.Clone(m.state.Records)}
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
func (m *Mirror) set(c Copy) {
	m.state = c
	if m.Changed != nil {
		m.Changed(c)
	}
}

func (m *Mirror) report(err error) {
	m.mu.Lock()
	was := m.lost
	m.lost = err != nil
	m.mu.Unlock()
	if m.Reached != nil && was != (err != nil) {
		m.Reached(err)
	}
}
