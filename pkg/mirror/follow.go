package mirror

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

const (
	// firstRetryPause is the pause after the service broke off or refused. It doubles with each
	// further time up to longRetryPause, so that a service that is away is not flooded while its
	// return is noticed soon. It begins anew once a watch lasted longer than longRetryPause.
	firstRetryPause = 100 * time.Millisecond
	// longRetryPause bounds it.
	longRetryPause = time.Second
	// pausedCheck is how often a paused mirror looks whether it should ask again.
	pausedCheck = 100 * time.Millisecond
	// lostRetry is how often a paused mirror asks a service that it lost, so that this box knows
	// whether it reaches the service.
	lostRetry = 2 * time.Second
)

// Run follows the service until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	wait := firstRetryPause
	complete := false
	for ctx.Err() == nil {
		if m.shouldPause() || m.awaitsCopy() {
			_ = pause.For(ctx, pausedCheck) // Fails only when ctx ends, which ends the loop.
			continue
		}
		begun := time.Now()
		complete = m.follow(ctx, complete)
		if complete {
			continue
		}
		if time.Since(begun) > longRetryPause {
			wait = firstRetryPause
		}
		if pause.For(ctx, wait) != nil {
			return
		}
		wait = min(2*wait, longRetryPause)
	}
}

// shouldPause reports whether the service need not be asked now: this mirror has a copy, other boxes
// keep it up to date, and a lost service was tried lately.
func (m *Mirror) shouldPause() bool {
	m.mu.Lock()
	due := m.state.Revision == 0 || (m.connection.lost && time.Since(m.connection.triedAt) > lostRetry)
	m.mu.Unlock()
	return !due && m.Paused != nil && m.Paused()
}

// follow takes in changes until the service breaks off, or until the mirror should pause. If the
// state is complete, nothing was missed since, and the watch goes on from its revision, after the
// records that the copy lacks were read; if not, a snapshot is read first. It returns whether the
// state is complete at the end.
func (m *Mirror) follow(ctx context.Context, complete bool) bool {
	m.mu.Lock()
	m.connection.triedAt = time.Now()
	// A first copy of another box is complete: to read the service whole after it would cost each box that starts a snapshot.
	complete = complete || m.copied
	m.copied = false
	m.mu.Unlock()
	if !complete {
		snapshot, whole, err := m.readFirst(ctx)
		m.noteConnectivity(err)
		if err != nil || !whole {
			return false
		}
		m.applySnapshot(snapshot)
		if !m.gather(ctx) {
			return false
		}
		if m.shouldPause() {
			return true
		}
	}
	// Other boxes may have brought what changed meanwhile, or named records that the watch does not bring from here on.
	from := m.State().Revision
	if !m.readMissing(ctx) {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	taken := make(chan struct{}, 1)
	batches, err := m.Store.Watch(ctx, kv.Watching{From: from + 1, Next: m.pollAfter(taken)})
	if err != nil {
		m.noteConnectivity(err)
		return false
	}
	return m.applyBatches(ctx, batches, taken)
}

// readMissing reads the records that this copy lacks, each by its key, and reports whether the service answered. One that was
// changed or removed meanwhile is left to the watch.
func (m *Mirror) readMissing(ctx context.Context) bool {
	for _, large := range m.Missing() {
		record, err := m.Store.Get(ctx, large.Key)
		if errors.Is(err, kv.ErrNotFound) {
			continue
		}
		m.noteConnectivity(err)
		if err != nil {
			return false
		}
		if record.Revision == large.Revision {
			m.ApplyLarge(record)
		}
	}
	return true
}

// firstRecords is how many records a box reads of the service before it waits for the copy of another box: two pages. The service's
// one link would carry a whole snapshot for each box of a fleet that starts.
const firstRecords = 900

// readFirst reads a snapshot, or no more than its first records where a copy of all is awaited from other boxes.
func (m *Mirror) readFirst(ctx context.Context) (snapshot kv.Snapshot, whole bool, err error) {
	m.mu.Lock()
	first := m.state.Revision == 0
	m.mu.Unlock()
	if !first || m.Store.SnapshotWithin == nil || m.AwaitsCopy == nil || !m.AwaitsCopy() {
		snapshot, err = m.Store.Snapshot(ctx, "")
		return snapshot, true, err
	}
	snapshot, whole, err = m.Store.SnapshotWithin(ctx, "", firstRecords)
	if err == nil && !whole {
		m.mu.Lock()
		m.partRead = true
		m.mu.Unlock()
		if m.OnPart != nil {
			m.OnPart(snapshot.Records)
		}
	}
	return snapshot, whole, err
}

// awaitsCopy reports whether this mirror has read the first records of a large service and awaits a copy of all.
func (m *Mirror) awaitsCopy() bool {
	m.mu.Lock()
	awaiting := m.partRead && m.state.Revision == 0
	m.mu.Unlock()
	return awaiting && m.AwaitsCopy != nil && m.AwaitsCopy()
}

// pollAfter has a watch poll again only once that is wanted. A poll that is under way while changes gather is answered
// by the first change alone, and is wasted where the mirror pauses.
func (m *Mirror) pollAfter(taken <-chan struct{}) func(context.Context) (time.Duration, bool) {
	first := true
	return func(ctx context.Context) (time.Duration, bool) {
		if !first {
			select {
			case <-taken:
			case <-ctx.Done():
				return 0, false
			}
		}
		first = false
		if m.PollTimeout == nil {
			return 0, true
		}
		return m.PollTimeout(), true
	}
}

// applyBatches takes in a watch's batches until it ends, or until the mirror should pause; it
// reports whether it is the latter. A watch that ends has no error: the next snapshot shows whether
// the service is lost. taken gets a value once the next batch is wanted.
func (m *Mirror) applyBatches(ctx context.Context, batches <-chan []kv.Event, taken chan<- struct{}) bool {
	for batch := range batches {
		m.noteConnectivity(nil)
		m.applyEvents(batch)
		ahead := m.PollAhead != nil && m.PollAhead()
		if ahead {
			want(taken)
		}
		if len(batch) > 0 && !m.gather(ctx) {
			return false
		}
		if m.shouldPause() {
			return true
		}
		if !ahead {
			want(taken)
		}
	}
	return false
}

// want has a watch poll again. One that is a stream does not wait for it.
func want(taken chan<- struct{}) {
	select {
	case taken <- struct{}{}:
	default:
	}
}

// gather lets changes gather before the service is asked for more; false if ctx ended meanwhile.
func (m *Mirror) gather(ctx context.Context) bool {
	return m.BatchDelay == nil || pause.For(ctx, m.BatchDelay()) == nil
}

// applySnapshot replaces the state by a snapshot, unless a newer delta was applied meanwhile.
func (m *Mirror) applySnapshot(snapshot kv.Snapshot) {
	records := make(map[string]kv.Record, len(snapshot.Records))
	for _, record := range snapshot.Records {
		records[record.Key] = record
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	previousCurrentAt := m.freshness.byAny
	m.confirmByStore()
	if snapshot.Revision < m.state.Revision {
		m.completeFrom(records)
		return
	}
	m.missing = missing{}
	if snapshot.Revision > m.state.Revision {
		m.removals.restart(snapshot.Revision)
	}
	m.replace(snapshot.Revision, FromSnapshot, records, previousCurrentAt)
}

// completeFrom takes the records that this copy lacks from an older snapshot, as far as it has them. The
// caller holds the lock.
func (m *Mirror) completeFrom(records map[string]kv.Record) {
	if len(m.missing.revisions) == 0 {
		return
	}
	var put []kv.Record
	for key, revision := range m.missing.revisions {
		if record, held := records[key]; held && record.Revision >= revision {
			put = append(put, record)
			delete(m.missing.revisions, key)
		}
	}
	m.change(m.state.Revision, FromSnapshot, put, nil, m.freshness.byAny)
}

// applyEvents takes in a batch of a watch, which may be empty. Events that the state has already are
// left out.
func (m *Mirror) applyEvents(events []kv.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.ContainsFunc(events, func(event kv.Event) bool { return m.wants(event.Record) }) {
		m.confirmByStore()
		return
	}
	previousCurrentAt := m.freshness.byAny
	m.confirmByStore()
	revision := m.state.Revision
	latest := map[string]kv.Event{}
	for _, event := range events {
		record := event.Record
		if !m.wants(record) {
			continue
		}
		m.missing.brought(record)
		if event.Deleted {
			m.removals.add(record.Key, record.Revision, m.state.Records.Len())
		}
		latest[record.Key] = event
		revision = max(revision, record.Revision)
	}
	var put []kv.Record
	var drop []string
	for key, event := range latest {
		if event.Deleted {
			drop = append(drop, key)
		} else {
			put = append(put, event.Record)
		}
	}
	m.change(revision, FromWatch, put, drop, previousCurrentAt)
}

// wants reports whether a record is newer than this copy, or one that it lacks. The caller holds the
// lock.
func (m *Mirror) wants(record kv.Record) bool {
	lacking, lacks := m.missing.revisions[record.Key]
	return record.Revision > m.state.Revision || (lacks && record.Revision >= lacking)
}
