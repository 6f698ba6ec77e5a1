// Package kv defines the interface to the platform's key-value service and implements it for etcd and
// in memory.
//
// A Store is a struct of functions, so that support for another service takes one more file and a test
// can replace a single call. It needs only what small services offer: compare-and-swap on one key,
// leases and watches. Every change of a value is a compare-and-swap. A call whose answer is lost has an
// error of its own, ErrUnknown.
//
// Both modes reach the service through a Store. `ospreymoor serve` connects it to etcd's JSON API
// (NewEtcd, WithBudget, Observed) and stores Documents in it. `ospreymoor node` connects it to the
// users' platform (platform/store.go) and accesses it through pkg/mirror and pkg/lease. Memory
// implements the service within one process, for tests and stand-ins.
package kv

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the largest value that is sent to the service, in bytes.
const MaxValueBytes = 1 << 20

// Kinds of failure. Each message says what to do next. After ErrNotFound, ErrConflict, ErrUnavailable,
// ErrTooLarge and ErrBudget nothing has changed. Only after ErrUnknown the change may have been made.
const (
	// ErrNotFound: the key has no value.
	ErrNotFound = errors.ConstError("key not found: create it with a swap from revision 0")
	// ErrConflict: the key is at another revision than the swap expected.
	ErrConflict = errors.ConstError("revision changed: read the key again and redo the change")
	// ErrUnknown: the change may or may not have taken effect.
	ErrUnknown = errors.ConstError("outcome unknown: read the key back before deciding")
	// ErrUnavailable: the service did not accept the call, so nothing changed.
	ErrUnavailable = errors.ConstError("key-value service unavailable: try again later")
	// ErrTooLarge: the value exceeds MaxValueBytes.
	ErrTooLarge = errors.ConstError("value over a megabyte: split it over several keys")
	// ErrLeaseLost: the service has ended the lease.
	ErrLeaseLost = errors.ConstError("lease ended: grant a new one")
	// ErrRestored: the service came back from a copy of its state after the lease was granted.
	ErrRestored = errors.ConstError("service came back from a copy: write again what depends on the lease")
	// ErrBudget: this process has used up its call budget.
	ErrBudget = errors.ConstError("call budget used up: try again later")
)

// LeaseID identifies a lease of the service; the zero value means no lease.
type LeaseID struct {
	Number int64
	// Epoch is the service's epoch in which the lease was granted. In a later one the number may be another lease's.
	Epoch int64
}

// Record is the state of one key at one revision.
type Record struct {
	Key   string
	Value []byte
	// Revision is the service-wide revision of the key's last change; 0 means that the key is absent. See RevisionAt.
	Revision int64
	// Version counts the key's changes since its creation.
	Version int64
}

// Swap is a compare-and-swap: it replaces a key's value if the key is still at Revision.
type Swap struct {
	Key string
	// Revision is the one that the key must have; 0 means that the key must be absent.
	Revision int64
	Value    []byte
	// Lease is the lease whose end deletes the key; the zero value for none.
	Lease LeaseID
}

// Event is one change of a key.
type Event struct {
	Record Record
	// Deleted is true if the key was deleted; Record then has its key and revision only.
	Deleted bool
}

// Snapshot holds all records below a prefix, and the service's revision that they reflect. A watch from
// the next revision on misses no change.
type Snapshot struct {
	Records  []Record
	Revision int64
}

// WatchOptions defines what to watch.
type WatchOptions struct {
	// Prefix is that of the keys to watch; "" means all keys.
	Prefix string
	// From is the first revision to send; 0 sends the changes from now on.
	From int64
	// Next is called before each poll by a Store whose watch is a series of long polls. It blocks until
	// the watcher wants the next poll, and returns how long the service may delay its answer while
	// nothing changes (0 means defaultPollWait); false ends the watch. If Next is nil, the next poll
	// starts at once. etcd's watch is a stream and does not call it.
	Next func(ctx context.Context) (wait time.Duration, ok bool)
	// HistoryGone is called if the service states that it no longer has the changes since the watch's last revision. The
	// watch ends then. It may be nil.
	HistoryGone func()
}

// defaultPollWait is how long the service may delay the answer to a poll if the watcher sets no limit.
const defaultPollWait = 5 * time.Second

// NextPoll blocks until the watcher wants the next poll, and returns how long the service may delay its answer; false
// ends the watch.
func (w WatchOptions) NextPoll(ctx context.Context) (wait time.Duration, ok bool) {
	if w.Next == nil {
		return defaultPollWait, true
	}
	wait, ok = w.Next(ctx)
	return cmp.Or(wait, defaultPollWait), ok
}

// Store gives access to the key-value service. All functions are safe for concurrent use and return
// errors of the kinds above. Read calls (Get, List, Snapshot, Watch) fail with ErrUnavailable. Changes
// also fail with ErrUnknown if they may have been sent, or if their answer is of another epoch than their
// condition or lease. A condition on a revision of an earlier epoch does not hold.
type Store struct {
	// Epoch returns the highest epoch of the service that an answer named; 0 if none did. The epoch rises by one each
	// time the service comes back from a copy of its state. nil is a service that names no epoch.
	Epoch func() int64
	// NoteEpoch records an epoch that another client of the service learned: until this one's next call, it would take ids
	// of leases and revisions of the epoch before for valid. nil is a service that names no epoch.
	NoteEpoch func(epoch int64)
	// Get reads one key, or returns ErrNotFound.
	Get func(ctx context.Context, key string) (Record, error)
	// List reads all keys that begin with prefix, in key order.
	List func(ctx context.Context, prefix string) ([]Record, error)
	// Snapshot reads all keys that begin with prefix, in key order, and the revision that they reflect.
	Snapshot func(ctx context.Context, prefix string) (Snapshot, error)
	// SnapshotWithin is a Snapshot that stops once it has more records than limit: complete is false then, and the
	// records are the first ones. A service that answers in pages is not asked for the rest. It is nil where the
	// service does not support it; callers then use Snapshot.
	SnapshotWithin func(ctx context.Context, prefix string, limit int) (snapshot Snapshot, complete bool, err error)
	// Swap changes one key and returns its new record. It returns ErrConflict if the key is at another
	// revision and ErrTooLarge if the value exceeds MaxValueBytes.
	Swap func(ctx context.Context, swap Swap) (Record, error)
	// Delete removes one key if it is at the revision, and returns ErrConflict if it is at another one.
	Delete func(ctx context.Context, key string, revision int64) error
	// Grant creates a lease that expires ttl after its last renewal.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease. It returns ErrLeaseLost if the lease ended, and ErrRestored if it is not known whether the
	// service still has it.
	Renew func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys that are attached to it. It does nothing to a lease of an earlier epoch,
	// which expires by itself if the service still has it.
	Revoke func(ctx context.Context, id LeaseID) error
	// Watch sends every change of a prefix from a revision on, in batches as the service answers. It
	// closes the channel when ctx ends or the service ends the watch. The caller may start a new one after
	// the last change received; if that ends without a batch, or WatchOptions.HistoryGone was called, it reads a snapshot
	// first. The service is asked for more only after the caller has received a batch.
	// An empty batch means that the service answered and nothing has changed.
	Watch func(ctx context.Context, watching WatchOptions) (<-chan []Event, error)
}

// answerTimeoutKey is the context key of the time until the answer to a read must begin.
type answerTimeoutKey struct{}

// WithAnswerTimeout returns a context under which a read waits that long for its answer to begin, instead of for as long
// as the Store does by itself.
func WithAnswerTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, answerTimeoutKey{}, timeout)
}

// AnswerTimeout returns how long a read waits for its answer to begin: usual, unless WithAnswerTimeout set another time.
func AnswerTimeout(ctx context.Context, usual time.Duration) time.Duration {
	if timeout, ok := ctx.Value(answerTimeoutKey{}).(time.Duration); ok {
		return timeout
	}
	return usual
}
