package kv

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/pause"
)

const (
	// maxStoredOps is how many operation ids a document stores. It exceeds the number of writes by others
	// that can occur between a lost answer and the read-back within the time an update may take.
	maxStoredOps = 64
	// minRetryDelay is the delay after the first failed attempt. It doubles with each further one, up
	// to maxRetryDelay, so that concurrent writers of one document spread out over time.
	minRetryDelay = 20 * time.Millisecond
	// maxRetryDelay is the maximum delay between attempts.
	maxRetryDelay = 500 * time.Millisecond
)

// Document is a JSON value stored with the ids of the latest operations that changed it. A writer whose
// answer was lost can thereby find out whether its change took effect, also after others have written
// again. A changed revision alone proves nothing: it may come from a later writer, whose value includes
// this change.
//
// `ospreymoor serve` stores bundles, claims, intents and the plan in Documents. `ospreymoor node` uses no
// Documents: it writes only its registration, the order lease and the last order holder's name.
type Document[T any] struct {
	// Ops are the ids of the latest operations, newest last.
	Ops  []string `json:"ops"`
	Body T        `json:"body"`
}

// Versioned is a document's body with the revision at which it was read or written.
type Versioned[T any] struct {
	Body     T
	Revision int64
}

// ReadDocument reads a document; if the key is absent, it returns the zero body at revision 0.
func ReadDocument[T any](ctx context.Context, store Store, key string) (Versioned[T], error) {
	document, revision, err := readDocument[T](ctx, store, key)
	return Versioned[T]{Body: document.Body, Revision: revision}, err
}

// DecodeDocument decodes the value of a record that UpdateDocument wrote.
func DecodeDocument[T any](record Record) (Versioned[T], error) {
	var document Document[T]
	if err := json.Unmarshal(record.Value, &document); err != nil {
		return Versioned[T]{}, errors.Annotatef(err, "decoding %s: restore it from its last good revision", record.Key)
	}
	return Versioned[T]{Body: document.Body, Revision: record.Revision}, nil
}

// UpdateDocument changes a document by compare-and-swap. It retries until the change has taken effect,
// change returns an error, or ctx ends. change gets the current body (zero if absent) and returns the
// next one; it may run several times.
//
// If ctx ends while it is not known whether a swap took effect, the error is ErrUnknown; if it ends
// before, the error is ErrUnavailable. After an error of change, or any other error, nothing was changed.
func UpdateDocument[T any](ctx context.Context, store Store, key string, change func(T) (T, error)) (Versioned[T], error) {
	update := update[T]{store: store, key: key, change: change, op: uuid.NewString()}
	return update.run(ctx)
}

// update is the state of one UpdateDocument call.
type update[T any] struct {
	store  Store
	key    string
	change func(T) (T, error)
	op     string
	// unknown is true once a swap had an unknown outcome. unknownRevision is the revision that the
	// latest such swap expected.
	unknown         bool
	unknownRevision int64
}

func (u *update[T]) run(ctx context.Context) (Versioned[T], error) {
	delay := minRetryDelay
	for {
		result, done, err := u.attempt(ctx)
		if done {
			return result, err
		}
		if pause.For(ctx, delay) != nil {
			return Versioned[T]{}, u.contextError(err)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// attempt reads the document. If it finds its own operation there, the update is done; else it swaps. The
// result is final if done.
func (u *update[T]) attempt(ctx context.Context) (result Versioned[T], done bool, err error) {
	document, revision, err := readDocument[T](ctx, u.store, u.key)
	if err != nil {
		return result, false, err
	}
	if slices.Contains(document.Ops, u.op) {
		return Versioned[T]{Body: document.Body, Revision: revision}, true, nil
	}
	body, err := u.change(document.Body)
	if err != nil && u.unknown && revision == u.unknownRevision {
		// An earlier swap may still be in flight: make sure that it can't take effect any more.
		return u.settleRefusal(ctx, document, revision, err)
	}
	if err != nil {
		return result, true, err
	}
	return u.swap(ctx, document, revision, body)
}

// swap writes the next body. The update is retried only after an unknown outcome, a conflict, or a call
// that the service or the budget did not accept.
func (u *update[T]) swap(ctx context.Context, old Document[T], revision int64, body T) (result Versioned[T], done bool, err error) {
	record, err := u.write(ctx, old, revision, body, u.op)
	switch {
	case err == nil:
		return Versioned[T]{Body: body, Revision: record.Revision}, true, nil
	case errors.Is(err, ErrUnknown):
		u.unknown, u.unknownRevision = true, revision
		return result, false, err
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnavailable), errors.Is(err, ErrBudget):
		return result, false, err
	default:
		return result, true, err
	}
}

// settleRefusal returns the error of change once no earlier swap of this update can take effect any
// more. To ensure that, it writes the same body again: the new revision makes all earlier swaps
// conflict, since they expected this revision or an older one. If the key is absent there is nothing to
// overwrite, and the update is retried.
func (u *update[T]) settleRefusal(ctx context.Context, old Document[T], revision int64, refusal error) (result Versioned[T], done bool, err error) {
	if revision == 0 {
		return result, false, refusal
	}
	if _, err = u.write(ctx, old, revision, old.Body, "settle-"+u.op); err != nil {
		return result, false, err
	}
	return result, true, refusal
}

// write swaps the body and adds op to the operation ids that the document stores.
func (u *update[T]) write(ctx context.Context, old Document[T], revision int64, body T, op string) (Record, error) {
	next := Document[T]{Ops: append(slices.Clone(old.Ops), op), Body: body}
	if excess := len(next.Ops) - maxStoredOps; excess > 0 {
		next.Ops = next.Ops[excess:]
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Record{}, errors.Annotatef(err, "encoding %s", u.key)
	}
	return u.store.Swap(ctx, Swap{Key: u.key, Revision: revision, Value: value})
}

// contextError returns the error of an update whose context has ended; last is the error of its last attempt.
func (u *update[T]) contextError(last error) error {
	if u.unknown {
		return fmt.Errorf("%v: %w", errors.Annotatef(last, "updating %s", u.key), ErrUnknown)
	}
	return fmt.Errorf("%v: %w", errors.Annotatef(last, "updating %s", u.key), ErrUnavailable)
}

func readDocument[T any](ctx context.Context, store Store, key string) (Document[T], int64, error) {
	var document Document[T]
	record, err := store.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return document, 0, nil
	}
	if err != nil {
		return document, 0, err
	}
	if err := json.Unmarshal(record.Value, &document); err != nil {
		return document, 0, errors.Annotatef(err, "decoding %s: restore it from its last good revision", key)
	}
	return document, record.Revision, nil
}
