// Package kv speaks to the platform's key-value service.
//
// A Store is a struct of functions, so that another service is one more file
// and a test can replace a single call. Only what small services have is relied upon:
// compare-and-swap on one key, leases and watches. Every change is a swap,
// and an answer that got lost is an outcome of its own: ErrUnknown.
package kv

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Kinds of failure. Each message names what to do next.
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

// Event is one change that a watch saw.
type Event struct {
	Record Record
	// Deleted tells that the key is gone; Record then has its key and revision only.
	Deleted bool
}

// Snapshot is what is below a prefix, with the service's revision that it reflects: a watch
// from the next revision on misses nothing.
type Snapshot struct {
	Records  []Record
	Revision int64
}

// Watching says what a watch is told of.
type Watching struct {
	Prefix string
	// From is the first revision of interest; 0 is what comes from now on.
	From int64
	// Idle is how long a service that answers each question of a watch by itself may hold one
	// back when there is nothing to tell; nil leaves it to the binding.
	Idle func() time.Duration
}

// Store is the key-value service as the rest of the program sees it.
// All functions are safe for concurrent use and return errors of the kinds above.
type Store struct {
	// Get reads one key, or returns ErrNotFound.
	Get func(ctx context.Context, key string) (Record, error)
	// List reads all keys that begin with prefix, in key order.
	List func(ctx context.Context, prefix string) ([]Record, error)
	// Snapshot is List with the revision to watch from.
	Snapshot func(ctx context.Context, prefix string) (Snapshot, error)
	// Swap changes one key, and returns the record as it now is.
	Swap func(ctx context.Context, swap Swap) (Record, error)
	// Delete removes one key if it is at the revision.
	Delete func(ctx context.Context, key string, revision int64) error
	// Grant makes a lease that lives for ttl after its last renewal.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or returns ErrLeaseLost.
	Renew func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and the keys that die with it.
	Revoke func(ctx context.Context, id LeaseID) error
	// Watch sends every change of a prefix from a revision on, in batches as the service tells
	// them, until ctx ends or the service breaks off; then it closes the channel, and the
	// caller reads and watches anew. The service is not asked for more before a batch is taken.
	// An empty batch tells that the service answered and nothing has changed.
	Watch func(ctx context.Context, watching Watching) (<-chan []Event, error)
}
