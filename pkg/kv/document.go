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
	// opsKept is how many operation ids a document remembers: more than the writers that can come
	// between a lost answer and the read-back within the time an update may take.
	opsKept = 64
	// firstRetryPause is the pause after a try that failed; it doubles with each further try, so that
	// many writers of one document come apart, up to longRetryPause.
	firstRetryPause = 20 * time.Millisecond
	// longRetryPause bounds it.
	longRetryPause = 500 * time.Millisecond
)

// Document is a JSON value that remembers the operations which made it, so that a writer whose
// answer got lost can find out whether its change took effect, also after others have written on top
// of it. Another revision alone is no proof: it may be a later writer's, on top of this change.
//
// `ospreymoor serve` keeps bundles, claims, intents and the plan in Documents. `ospreymoor node` has
// no Documents: it writes only its registration, the order lease and the last order holder's name.
type Document[T any] struct {
	// Ops are the ids of the latest operations, newest last.
	Ops  []string `json:"ops"`
	Body T        `json:"body"`
}

// Versioned is a document's body with the revision it was read or written at.
type Versioned[T any] struct {
	Body     T
	Revision int64
}

// ReadDocument reads a document; an absent key gives the zero body at revision 0.
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

// UpdateDocument changes a document by compare-and-swap until the change has taken effect, change
// returns an error, or ctx ends. change gets the current body (zero if absent) and returns the next
// one; it may run several times.
//
// When ctx ends while it is not known whether a swap took effect, the error is ErrUnknown; when it
// ends before, ErrUnavailable. Errors of change and the other errors mean that nothing was changed.
func UpdateDocument[T any](ctx context.Context, store Store, key string, change func(T) (T, error)) (Versioned[T], error) {
	update := update[T]{store: store, key: key, change: change, op: uuid.NewString()}
	return update.run(ctx)
}

// update is one UpdateDocument under way.
type update[T any] struct {
	store  Store
	key    string
	change func(T) (T, error)
	op     string
	// sent is true once the outcome of a swap is unknown; sentFrom is the latest such swap's revision.
	sent     bool
	sentFrom int64
}

func (u *update[T]) run(ctx context.Context) (Versioned[T], error) {
	wait := firstRetryPause
	for {
		result, done, err := u.try(ctx)
		if done {
			return result, err
		}
		if pause.For(ctx, wait) != nil {
			return Versioned[T]{}, u.giveUp(err)
		}
		wait = min(2*wait, longRetryPause)
	}
}

// try reads, and then either finds its own operation or swaps. The result is final if done.
func (u *update[T]) try(ctx context.Context) (result Versioned[T], done bool, err error) {
	document, revision, err := readDocument[T](ctx, u.store, u.key)
	if err != nil {
		return result, false, err
	}
	if slices.Contains(document.Ops, u.op) {
		return Versioned[T]{Body: document.Body, Revision: revision}, true, nil
	}
	body, err := u.change(document.Body)
	if err != nil && u.sent && revision == u.sentFrom {
		// An earlier swap may still be under way: make sure that it can't take effect any more.
		return u.settleRefusal(ctx, document, revision, err)
	}
	if err != nil {
		return result, true, err
	}
	return u.swap(ctx, document, revision, body)
}

// swap writes the next body. Only a lost answer, a conflict or a service that did not take the call
// is tried again.
func (u *update[T]) swap(ctx context.Context, old Document[T], revision int64, body T) (result Versioned[T], done bool, err error) {
	record, err := u.write(ctx, old, revision, body, u.op)
	switch {
	case err == nil:
		return Versioned[T]{Body: body, Revision: record.Revision}, true, nil
	case errors.Is(err, ErrUnknown):
		u.sent, u.sentFrom = true, revision
		return result, false, err
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnavailable), errors.Is(err, ErrBudget):
		return result, false, err
	default:
		return result, true, err
	}
}

// settleRefusal returns change's refusal once no earlier swap of this update can take effect any more:
// it overwrites the document with itself, and all earlier swaps were from this revision or an older
// one. Where the key is absent there is nothing to overwrite, and the update goes on trying.
func (u *update[T]) settleRefusal(ctx context.Context, old Document[T], revision int64, refusal error) (result Versioned[T], done bool, err error) {
	if revision == 0 {
		return result, false, refusal
	}
	if _, err = u.write(ctx, old, revision, old.Body, "settle-"+u.op); err != nil {
		return result, false, err
	}
	return result, true, refusal
}

// write swaps the body and adds an operation to those that the document remembers.
func (u *update[T]) write(ctx context.Context, old Document[T], revision int64, body T, op string) (Record, error) {
	next := Document[T]{Ops: append(slices.Clone(old.Ops), op), Body: body}
	if extra := len(next.Ops) - opsKept; extra > 0 {
		next.Ops = next.Ops[extra:]
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Record{}, errors.Annotatef(err, "encoding %s", u.key)
	}
	return u.store.Swap(ctx, Swap{Key: u.key, Revision: revision, Value: value})
}

// giveUp makes the error of an update whose time is over; last is that of its last try.
func (u *update[T]) giveUp(last error) error {
	if u.sent {
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
