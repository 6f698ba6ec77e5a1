package kv

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Memory implements the key-value service in memory, for tests and stand-ins.
type Memory struct {
	mu sync.Mutex
	// epoch rises by one with each Restore.
	epoch int64
	// sequence is the sequence number of the last change. Records and events hold theirs as their revision; what leaves
	// this type has revisions of the present epoch.
	sequence int64
	keys     map[string]memoryKey
	// leases are by their number, of which lastLease is the latest.
	leases    map[int64]*memoryLease
	lastLease int64
	// history holds all changes, oldest first; it is never compacted.
	history []Event
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type memoryKey struct {
	record Record
	// lease is the number of the key's lease; 0 if it has none.
	lease int64
}

type memoryLease struct {
	ttl     time.Duration
	expires time.Time
}

// NewMemory returns an empty service at revision 1.
func NewMemory() *Memory {
	return &Memory{
		sequence: 1,
		keys:     map[string]memoryKey{},
		leases:   map[int64]*memoryLease{},
		changed:  make(chan struct{}),
	}
}

// Store returns a Store that accesses m.
func (m *Memory) Store() Store {
	return Store{
		Epoch:    m.Epoch,
		Get:      m.get,
		List:     m.list,
		Snapshot: m.snapshot,
		Swap:     m.swap,
		Delete:   m.remove,
		Grant:    m.grant,
		Renew:    m.renew,
		Revoke:   m.revoke,
		Watch:    m.watch,
	}
}

// RefreshLeases restarts the TTL of each lease, as the service does after an outage.
func (m *Memory) RefreshLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, lease := range m.leases {
		lease.expires = time.Now().Add(lease.ttl)
	}
}

// Revision returns the revision of the last change.
func (m *Memory) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return RevisionAt(m.epoch, m.sequence)
}

// present returns a record with its revision of the present epoch. The caller holds the lock.
func (m *Memory) present(record Record) Record {
	record.Revision = RevisionAt(m.epoch, record.Revision)
	return record
}

// holds reports whether a key has a revision; 0 if it must not exist. The caller holds the lock.
func (m *Memory) holds(key string, revision int64) bool {
	return m.present(m.keys[key].record).Revision == revision
}

func (m *Memory) get(_ context.Context, key string) (Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	k, ok := m.keys[key]
	if !ok {
		return Record{}, errors.Annotatef(ErrNotFound, "get %s", key)
	}
	return m.present(k.record), nil
}

func (m *Memory) list(_ context.Context, prefix string) ([]Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	var records []Record
	for key, k := range m.keys {
		if strings.HasPrefix(key, prefix) {
			records = append(records, m.present(k.record))
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records, nil
}

func (m *Memory) snapshot(ctx context.Context, prefix string) (Snapshot, error) {
	// The revision is read first: a change between the two reads is seen twice, never missed.
	revision := m.Revision()
	records, err := m.list(ctx, prefix)
	return Snapshot{Records: records, Revision: revision}, err
}

func (m *Memory) swap(_ context.Context, swap Swap) (Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if len(swap.Value) > MaxValueBytes {
		return Record{}, errors.Annotatef(ErrTooLarge, "swap %s: %d bytes", swap.Key, len(swap.Value))
	}
	if !m.holds(swap.Key, swap.Revision) {
		return Record{}, errors.Annotatef(ErrConflict, "swap %s from revision %d", swap.Key, swap.Revision)
	}
	if swap.Lease != (LeaseID{}) && !m.hasLease(swap.Lease) {
		return Record{}, errors.Annotatef(ErrLeaseLost, "swap %s", swap.Key)
	}
	m.sequence++
	record := Record{
		Key:      swap.Key,
		Value:    append([]byte(nil), swap.Value...),
		Revision: m.sequence,
		Version:  m.keys[swap.Key].record.Version + 1,
	}
	m.keys[swap.Key] = memoryKey{record: record, lease: swap.Lease.Number}
	m.publish(Event{Record: record})
	return m.present(record), nil
}

func (m *Memory) remove(_ context.Context, key string, revision int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if !m.holds(key, revision) {
		return errors.Annotatef(ErrConflict, "delete %s from revision %d", key, revision)
	}
	m.drop(key)
	return nil
}

func (m *Memory) grant(_ context.Context, ttl time.Duration) (LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastLease++
	m.leases[m.lastLease] = &memoryLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return LeaseID{Number: m.lastLease, Epoch: m.epoch}, nil
}

// hasLease reports whether a lease of the present epoch has not ended. The caller holds the lock.
func (m *Memory) hasLease(id LeaseID) bool {
	_, ok := m.leases[id.Number]
	return ok && id.Epoch == m.epoch
}

func (m *Memory) renew(_ context.Context, id LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if id.Epoch != m.epoch {
		return errors.Annotatef(ErrRestored, "renew lease %d", id.Number)
	}
	if !m.hasLease(id) {
		return errors.Annotatef(ErrLeaseLost, "renew lease %d", id.Number)
	}
	lease := m.leases[id.Number]
	lease.expires = time.Now().Add(lease.ttl)
	return nil
}

func (m *Memory) revoke(_ context.Context, id LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id.Epoch == m.epoch {
		m.endLease(id.Number)
	}
	return nil
}

func (m *Memory) watch(ctx context.Context, watching WatchOptions) (<-chan []Event, error) {
	events := make(chan []Event)
	m.mu.Lock()
	next, epoch := len(m.history), m.epoch
	if watching.From > 0 {
		epoch = EpochOf(watching.From)
		from := SequenceOf(watching.From)
		next = sort.Search(len(m.history), func(i int) bool { return m.history[i].Record.Revision >= from })
	}
	m.mu.Unlock()
	go m.follow(ctx, watching.Prefix, epoch, next, events)
	return events, nil
}

// follow sends the events below prefix from history index next on, and then those that are added, until
// ctx or the epoch ends.
func (m *Memory) follow(ctx context.Context, prefix string, epoch int64, next int, events chan<- []Event) {
	defer close(events)
	for {
		m.mu.Lock()
		if m.epoch != epoch {
			m.mu.Unlock()
			return
		}
		m.expire()
		batch, changed := m.history[next:], m.changed
		m.mu.Unlock()
		next += len(batch)
		batch = slices.DeleteFunc(slices.Clone(batch), func(event Event) bool {
			return !strings.HasPrefix(event.Record.Key, prefix)
		})
		for i := range batch {
			batch[i].Record.Revision = RevisionAt(epoch, batch[i].Record.Revision)
		}
		if len(batch) > 0 {
			select {
			case events <- batch:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(expiryCheckInterval):
		case <-ctx.Done():
			return
		}
	}
}

// expiryCheckInterval is the longest time until a watch notices that a lease has expired.
const expiryCheckInterval = 250 * time.Millisecond

// expire ends the leases whose TTL has passed. The caller holds the lock.
func (m *Memory) expire() {
	now := time.Now()
	for id, lease := range m.leases {
		if !now.Before(lease.expires) {
			m.endLease(id)
		}
	}
}

// endLease ends a lease by its number and deletes the keys that are attached to it. The caller holds the lock.
func (m *Memory) endLease(id int64) {
	delete(m.leases, id)
	if id == 0 {
		return
	}
	for key, k := range m.keys {
		if k.lease == id {
			m.drop(key)
		}
	}
}

// drop removes a key. The caller holds the lock.
func (m *Memory) drop(key string) {
	if _, ok := m.keys[key]; !ok {
		return
	}
	delete(m.keys, key)
	m.sequence++
	m.publish(Event{Record: Record{Key: key, Revision: m.sequence}, Deleted: true})
}

// publish adds a change to the history and notifies the watches. The caller holds the lock.
func (m *Memory) publish(event Event) {
	m.history = append(m.history, event)
	m.notifyWatches()
}

// notifyWatches makes all watches look for changes. The caller holds the lock.
func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}
