// Package kv is the port to the platform's key-value service.
//
// A Store is a struct of functions, so that another service is one more file and a test can replace
// a single call. It relies only on what small services have: compare-and-swap on one key, leases
// and watches. Every change is a swap, and a lost answer is an outcome of its own: ErrUnknown.
//
// Both ways reach the service through a Store. `ospreymoor serve` binds it to etcd's JSON API
// (NewEtcd, WithBudget, Observed) and keeps Documents in it; `ospreymoor node` binds it to the users'
// platform (platform/store.go) and uses it by pkg/mirror and pkg/lease. Memory is the service within
// one process, for tests and stand-ins.
package kv

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the largest value that is sent to the service, in bytes.
const MaxValueBytes = 1 << 20

// Kinds of failure. Each message names what to do next. After ErrNotFound, ErrConflict, ErrUnavailable,
// ErrTooLarge and ErrBudget nothing has changed; only ErrUnknown leaves it open.
const (
	// ErrNotFound: the key has no value.
	ErrNotFound = errors.ConstError("key not found: create it with a swap from revision 0")
	// ErrConflict: the key is at another revision than the swap expected.
	ErrConflict = errors.ConstError("revision changed: read the key again and redo the change")
	// ErrUnknown: the change may or may not have taken effect.
	ErrUnknown = errors.ConstError("outcome unknown: read the key back before deciding")
	// ErrUnavailable: the service did not take the call, so nothing changed.
	ErrUnavailable = errors.ConstError("key-value service unavailable: try again later")
	// ErrTooLarge: the value exceeds MaxValueBytes.
	ErrTooLarge = errors.ConstError("value over a megabyte: split it over several keys")
	// ErrLeaseLost: the lease has ended on the service's side.
	ErrLeaseLost = errors.ConstError("lease ended: grant a new one")
	// ErrBudget: this process has used up its share of calls.
	ErrBudget = errors.ConstError("call budget used up: try again later")
)

// LeaseID names a lease of the service; 0 is no lease.
type LeaseID int64

// Record is one key at one moment.
type Record struct {
	Key   string
	Value []byte
	// Revision is the service-wide revision of the key's last change; 0 means absent.
	Revision int64
	// Version counts the key's changes since its creation.
	Version int64
}

// Swap asks to replace a key's value if the key is still at a revision.
type Swap struct {
	Key string
	// Revision that the key must be at; 0 means that it must be absent.
	Revision int64
	Value    []byte
	// Lease that the key dies with; 0 for none.
	Lease LeaseID
}

// Event is one change of a key.
type Event struct {
	Record Record
	// Deleted is true if the key is gone; Record then has its key and revision only.
	Deleted bool
}

// Snapshot is what is below a prefix, with the service's revision that it reflects: a watch
// from the next revision on misses nothing.
type Snapshot struct {
	Records  []Record
	Revision int64
}

// Watching defines what to watch.
type Watching struct {
	// Prefix of the keys; "" is all keys.
	Prefix string
	// From is the first revision of interest; 0 is what comes from now on.
	From int64
	// Next is called before each poll, where a watch is a series of polls. It returns once the watcher
	// wants the next answer, with how long the service may hold it back while nothing changes (0 takes
	// pollWait); false ends the watch. nil polls again at once; etcd's watch is a stream and
	// does not ask for it.
	Next func(ctx context.Context) (wait time.Duration, ok bool)
}

// pollWait is how long the service may hold back the answer to a poll where the watcher does not set it.
const pollWait = 5 * time.Second

// NextPoll waits until the next poll is wanted, and returns how long the service may hold back its answer; false ends
// the watch.
func (w Watching) NextPoll(ctx context.Context) (wait time.Duration, ok bool) {
	if w.Next == nil {
		return pollWait, true
	}
	wait, ok = w.Next(ctx)
	return cmp.Or(wait, pollWait), ok
}

// Store is the key-value service as the rest of the program sees it. All functions are safe for
// concurrent use and return errors of the kinds above. Read calls (Get, List, Snapshot, Watch) fail
// with ErrUnavailable; changes also with ErrUnknown, once they may have been sent.
type Store struct {
	// Get reads one key, or returns ErrNotFound.
	Get func(ctx context.Context, key string) (Record, error)
	// List reads all keys that begin with prefix, in key order.
	List func(ctx context.Context, prefix string) ([]Record, error)
	// Snapshot is List with the revision to watch from.
	Snapshot func(ctx context.Context, prefix string) (Snapshot, error)
	// SnapshotWithin is Snapshot that ends once it has more records than most: complete is false then, and the records are the first ones.
	// A service that answers in pages sends no further ones. nil, and whoever wants it takes the whole.
	SnapshotWithin func(ctx context.Context, prefix string, most int) (snapshot Snapshot, complete bool, err error)
	// Swap changes one key, and returns the record as it now is; ErrConflict if the key is at another
	// revision, ErrTooLarge if the value is over MaxValueBytes.
	Swap func(ctx context.Context, swap Swap) (Record, error)
	// Delete removes one key if it is at the revision; ErrConflict if it is at another one.
	Delete func(ctx context.Context, key string, revision int64) error
	// Grant makes a lease that lives for ttl after its last renewal.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or returns ErrLeaseLost.
	Renew func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and the keys that die with it.
	Revoke func(ctx context.Context, id LeaseID) error
	// Watch sends every change of a prefix from a revision on, in batches as the service answers,
	// until ctx ends or the service breaks off; then it closes the channel, and the caller reads a
	// snapshot and watches anew. The service is not asked for more before a batch is received. An
	// empty batch means that the service answered and nothing has changed.
	Watch func(ctx context.Context, watching Watching) (<-chan []Event, error)
}
