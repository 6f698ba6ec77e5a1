// Package fleet is the directory of upstreams: which there are, what they hold and which leave.
//
// It joins three sources: the list that the platform's store holds (SetList), the residency updates
// that the order holder publishes of the engines it changes (Publish, Apply), and what upstreams
// answered to requests (MarkMissing, MarkUnreachable). It owns the joined view, and relies on its
// callers to bring the lists (pkg/mirror) and to carry updates between boxes (internal/cluster).
//
// `ospreymoor node` uses it. `ospreymoor serve` has internal/box/fleet.go instead: a snapshot of the
// plan, the box list and the halls' holdings, which are records with generations, not updates.
package fleet

import (
	"slices"
	"sync"
	"time"
)

// Directory is the joined view. It is safe for concurrent use.
type Directory struct {
	mu     sync.RWMutex
	states map[string]*State
	// byService holds the states of each service, and holders those of the engines that may be sent requests for a model, in the order of
	// their ids. indexed are the states that are there.
	byService map[string]*serviceStates
	holders   map[modelOf][]*State
	indexed   map[string]*State
	// listing is the latest list, and lapsed are the ids of the states without an entry in it.
	listing listing
	lapsed  map[string]bool
	// revision is that of the latest list.
	revision int64
	// residencies are the latest of each engine, by its id.
	residencies map[string]residency
	// published finds the residencies of the latest term by their sequences, in order.
	published []published
	// version is up to where all residency updates are known.
	version Version
	// marks hold until when an upstream, or a model or adapter of it, counts as unavailable.
	marks map[mark]time.Time
	// refusals counts how often in a row an upstream took no connection, by its id.
	refusals map[string]int
	// told is what answers told, by the upstream's id.
	told map[string]told
	// evacuated are the halls whose upstreams get nothing new, as of the store's revision evacuatedAt.
	evacuated   map[string]bool
	evacuatedAt int64
	// cold is what is known of engines that are cold or may be, by id.
	cold map[string]coldRecord
	// heldBack is until when this box sends nothing to an upstream that few requests may go to.
	heldBack map[string]time.Time
	// changedLimits are the upstreams whose limits other boxes are to be told of.
	changedLimits map[string]bool

	// Rests is how the rests are kept that upstreams ask for. It is to be set before the first answer.
	Rests Rests
	// OnNotice is called with what is news of an answer, outside of the lock; nil is not. It is to be set before the first answer.
	OnNotice func(Noted)
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		states:      map[string]*State{},
		byService:   map[string]*serviceStates{},
		holders:     map[modelOf][]*State{},
		indexed:     map[string]*State{},
		listing:     newListing(),
		lapsed:      map[string]bool{},
		residencies: map[string]residency{},
		marks:       map[mark]time.Time{},
		refusals:    map[string]int{},
		told:        map[string]told{},
		cold:        map[string]coldRecord{},
		heldBack:    map[string]time.Time{},

		changedLimits: map[string]bool{},

		Rests: DefaultRests,
	}
}

// Get returns one upstream, or nil.
func (d *Directory) Get(id string) *State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.states[id]
}

// OfService returns the upstreams of a service, in the order of their ids; the caller must not change it.
func (d *Directory) OfService(service string) []*State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if states := d.byService[service]; states != nil {
		return states.list()
	}
	return nil
}

// Holders returns the engines of a service that may be sent requests for a model, in the order of their ids; the caller must not change
// it.
func (d *Directory) Holders(service, model string) []*State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.holders[modelOf{service, model}]
}

// Revision returns the store's revision of the latest list; 0 before the first one.
func (d *Directory) Revision() int64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// modelOf is a model of a service.
type modelOf struct{ service, model string }

// reindex brings the lists of the services and of the models in line with the states of some upstreams. Lists that were handed out stay as
// they are. The caller holds the lock.
func (d *Directory) reindex(ids ...string) {
	models := holderIndex{lists: d.holders, copied: map[modelOf]bool{}}
	put := map[string][]*State{}
	for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		before, state := d.indexed[id], d.states[id]
		if before != nil && (state == nil || state.Service != before.Service) {
			d.byService[before.Service].remove(id)
			delete(d.indexed, id)
		}
		var held []modelOf
		if state != nil {
			put[state.Service] = append(put[state.Service], state)
			d.indexed[id] = state
			held = state.held()
		}
		if before != nil {
			for _, model := range before.held() {
				if !slices.Contains(held, model) {
					models.remove(model, id)
				}
			}
		}
		for _, model := range held {
			models.put(model, state)
		}
	}
	for service, states := range put {
		d.ofService(service).put(states)
	}
}

// ofService returns the states of a service. The caller holds the lock.
func (d *Directory) ofService(service string) *serviceStates {
	states := d.byService[service]
	if states == nil {
		states = &serviceStates{}
		d.byService[service] = states
	}
	return states
}
