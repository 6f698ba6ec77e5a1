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

// Intent is an order to an engine that is not fenced, written down before it is sent.
type Intent struct {
	ID   string         `json:"id"`
	Term int64          `json:"term"`
	Load bool           `json:"load"`
	Item placement.Item `json:"item"`
}

// hallIntents is a hall's document: the unsettled intents of each engine.
type hallIntents struct {
	// Term is the highest that has read the document; a lower one may not write it.
	Term    int64               `json:"term"`
	Engines map[string][]Intent `json:"engines"`
}

// IntentsKey is the place of a hall's intents.
func IntentsKey(hall string) string { return "intents/" + hall }

// intents keeps a hall's document and remembers since when each intent can no longer be sent.
type intents struct {
	store kv.Store
	key   string
	life  time.Duration

	// busy is held while the document is read or written: other workers wait for it.
	busy *semaphore.Weighted
	// term that the document was read under.
	term int64
	body hallIntents
	// since is when an intent was last known to be possibly under way to the engine.
	since map[string]time.Time
	// done holds intents that the engine refused.
	done map[string]bool
}

func newIntents(store kv.Store, hall string, life time.Duration) intents {
	return intents{
		store: store,
		key:   IntentsKey(hall),
		life:  life,
		busy:  semaphore.NewWeighted(1),
		since: map[string]time.Time{},
		done:  map[string]bool{},
	}
}

// settle removes an engine's intents that are finished or impossible, and tells whether none is left.
func (n *intents) settle(ctx context.Context, engine string, term int64, state State) (bool, error) {
	if err := n.busy.Acquire(ctx, 1); err != nil {
		return false, err
	}
	defer n.busy.Release(1)
	if err := n.inherit(ctx, term); err != nil {
		return false, err
	}
	open := n.body.Engines[engine]
	left := slices.DeleteFunc(slices.Clone(open), func(i Intent) bool { return n.over(i, state) })
	if len(left) == len(open) {
		return len(open) == 0, nil
	}
	err := n.update(ctx, engine, func(stored []Intent) []Intent {
		return slices.DeleteFunc(stored, func(i Intent) bool { return n.over(i, state) })
	})
	return err == nil && len(left) == 0, err
}

// write adds an intent and returns its id.
func (n *intents) write(ctx context.Context, engine string, term int64, o order) (string, error) {
	if err := n.busy.Acquire(ctx, 1); err != nil {
		return "", err
	}
	defer n.busy.Release(1)
	intent := Intent{ID: uuid.NewString(), Term: term, Load: o.load, Item: o.item}
	n.since[intent.ID] = time.Now()
	return intent.ID, n.update(ctx, engine, func(stored []Intent) []Intent {
		return append(slices.Clone(stored), intent)
	})
}

// sent notes that an order's sending is over, and whether the engine refused it.
func (n *intents) sent(ctx context.Context, id string, refused bool) {
	if n.busy.Acquire(ctx, 1) != nil {
		return // The intent then counts from when it was written, or from when it is next seen.
	}
	defer n.busy.Release(1)
	n.since[id] = time.Now()
	if refused {
		n.done[id] = true
	}
}

// inherit takes the document over when a new term begins: what others left may still be
// under way, and from now on no lower term can write more.
func (n *intents) inherit(ctx context.Context, term int64) error {
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

// over tells whether an intent has taken effect or no longer can.
func (n *intents) over(i Intent, state State) bool {
	if n.done[i.ID] || hasItem(state.Resident, i.Item.Name) == i.Load {
		return true
	}
	if hasItem(state.Loading, i.Item.Name) {
		return false
	}
	since, known := n.since[i.ID]
	if !known {
		n.since[i.ID] = time.Now()
		return false
	}
	return time.Since(since) > n.life
}

// update changes one engine's intents in the document. The caller holds busy.
func (n *intents) update(ctx context.Context, engine string, change func([]Intent) []Intent) error {
	document, err := kv.UpdateDocument(ctx, n.store, n.key, func(body hallIntents) (hallIntents, error) {
		if body.Term != n.term {
			return body, errors.Annotatef(ErrFenced, "intents of term %d, own term %d", body.Term, n.term)
		}
		next := hallIntents{Term: body.Term, Engines: map[string][]Intent{}}
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
		// What stands there is not known: read it again before the next order.
		n.term = 0
		return err
	}
	n.body = document.Body
	return nil
}
