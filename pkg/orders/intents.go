package orders

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// intent is an order to an unfenced engine, stored before it is sent.
type intent struct {
	ID   string         `json:"id"`
	Term int64          `json:"term"`
	Load bool           `json:"load"`
	Item placement.Item `json:"item"`
}

// hallIntents is the body of a hall's stored document: the unsettled intents of each engine.
type hallIntents struct {
	// Term is the highest term that has taken over the document; a lower one may not write to it.
	Term    int64               `json:"term"`
	Engines map[string][]intent `json:"engines"`
}

// intentsKey returns the key of a hall's intents in the key-value service.
func intentsKey(hall string) string { return "intents/" + hall }

// intents holds a copy of a hall's document, and for each intent when its order was last possibly in
// flight.
//
// The rule for unfenced engines: while an engine has an unsettled intent, no other order is sent to
// it. An intent is settled when the engine's state shows its effect, when the engine refused it, or
// when orderLife has passed since the order was last possibly in flight.
type intents struct {
	store     kv.Store
	key       string
	orderLife time.Duration

	// lock is held while the document is read or written, and other workers wait for it. It is a
	// semaphore rather than a mutex, because it is held across calls of the store.
	lock *semaphore.Weighted
	// term is the term under which the document was read; 0 if it must be read again.
	term int64
	body hallIntents
	// lastInFlight is when each intent's order was last possibly in flight to the engine, by id.
	lastInFlight map[string]time.Time
	// refused holds the ids of intents that the engine refused.
	refused map[string]bool
}

func newIntents(store kv.Store, hall string, orderLife time.Duration) intents {
	return intents{
		store:        store,
		key:          intentsKey(hall),
		orderLife:    orderLife,
		lock:         semaphore.NewWeighted(1),
		lastInFlight: map[string]time.Time{},
		refused:      map[string]bool{},
	}
}

// settle removes the engine's intents that are finished, and reports whether none is left.
// The error is ErrFenced if a higher term has taken over the document, or one of the store.
func (n *intents) settle(ctx context.Context, engine string, term int64, state State) (bool, error) {
	if err := n.lock.Acquire(ctx, 1); err != nil {
		return false, err
	}
	defer n.lock.Release(1)
	if err := n.takeOver(ctx, term); err != nil {
		return false, err
	}
	unsettled := n.body.Engines[engine]
	remaining := slices.DeleteFunc(slices.Clone(unsettled), func(i intent) bool { return n.finished(i, state) })
	if len(remaining) == len(unsettled) {
		return len(unsettled) == 0, nil
	}
	err := n.update(ctx, engine, func(stored []intent) []intent {
		return slices.DeleteFunc(stored, func(i intent) bool { return n.finished(i, state) })
	})
	return err == nil && len(remaining) == 0, err
}

// write stores an intent and returns its id. After an error it may be stored nevertheless.
func (n *intents) write(ctx context.Context, engine string, term int64, o order) (string, error) {
	if err := n.lock.Acquire(ctx, 1); err != nil {
		return "", err
	}
	defer n.lock.Release(1)
	next := intent{ID: uuid.NewString(), Term: term, Load: o.load, Item: o.item}
	n.lastInFlight[next.ID] = time.Now()
	return next.ID, n.update(ctx, engine, func(stored []intent) []intent {
		return append(slices.Clone(stored), next)
	})
}

// recordAttemptEnd records that the call that sent an order has ended, and whether the engine refused it.
func (n *intents) recordAttemptEnd(ctx context.Context, id string, refused bool) {
	if n.lock.Acquire(ctx, 1) != nil {
		return // orderLife then counts from when the intent was written.
	}
	defer n.lock.Release(1)
	n.lastInFlight[id] = time.Now()
	if refused {
		n.refused[id] = true
	}
}

// takeOver reads the document when a new term begins, and stores the term in it. Orders of former
// controllers in it may still be in flight; from now on no lower term can write to it.
func (n *intents) takeOver(ctx context.Context, term int64) error {
	if n.term == term {
		return nil
	}
	document, err := kv.UpdateDocument(ctx, n.store, n.key, func(body hallIntents) (hallIntents, error) {
		if body.Term > term {
			return body, errors.Annotatef(ErrFenced, "intents of term %d, own term %d", body.Term, term)
		}
		body.Term = term
		return body, nil
	})
	if err != nil {
		return err
	}
	n.body, n.term = document.Body, term
	return nil
}

// finished reports whether an intent has taken effect or can no longer do so. For an intent that this
// box did not write, orderLife counts from when this box first saw it.
func (n *intents) finished(i intent, state State) bool {
	if n.refused[i.ID] || hasItem(state.Resident, i.Item.Name) == i.Load {
		return true
	}
	if hasItem(state.Loading, i.Item.Name) {
		return false
	}
	since, known := n.lastInFlight[i.ID]
	if !known {
		n.lastInFlight[i.ID] = time.Now()
		return false
	}
	return time.Since(since) > n.orderLife
}

// update changes one engine's intents in the document. The caller holds lock.
func (n *intents) update(ctx context.Context, engine string, change func([]intent) []intent) error {
	document, err := kv.UpdateDocument(ctx, n.store, n.key, func(body hallIntents) (hallIntents, error) {
		if body.Term != n.term {
			return body, errors.Annotatef(ErrFenced, "intents of term %d, own term %d", body.Term, n.term)
		}
		next := hallIntents{Term: body.Term, Engines: map[string][]intent{}}
		for id, stored := range body.Engines {
			next.Engines[id] = stored
		}
		next.Engines[engine] = change(next.Engines[engine])
		if len(next.Engines[engine]) == 0 {
			delete(next.Engines, engine)
		}
		return next, nil
	})
	if err != nil {
		// The stored state is unknown now: it is read again before the next order.
		n.term = 0
		return err
	}
	n.body = document.Body
	return nil
}
