// Package fleet is the directory of upstreams: which ones exist, what they hold and which are leaving.
//
// It merges three sources: the list that the platform's store holds (SetList), the residency updates
// that the order holder publishes for the engines it changes (Publish, Apply), and what upstreams
// answered to requests (MarkMissing, MarkUnreachable). It owns the merged view, and relies on its
// callers to supply the lists (pkg/mirror) and to carry updates between boxes (internal/cluster).
//
// `ospreymoor node` uses it. `ospreymoor serve` has internal/box/fleet.go instead: a snapshot of the
// plan, the box list and the halls' holdings, which are records with generations, not updates.
package fleet

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Directory is the merged view of all upstreams. It is safe for concurrent use.
type Directory struct {
	mu     sync.RWMutex
	states map[string]*State
	// byService holds the states of each service, and holders those of the engines that may be sent
	// requests for a model, both sorted by id. indexed holds the states that these two contain, by id.
	byService map[string]*serviceStates
	holders   map[modelKey][]*State
	indexed   map[string]*State
	// listing holds the entries of the latest list, and lapsed the ids of the states without a current
	// entry in it.
	listing listing
	lapsed  map[string]bool
	// removals holds the upstreams removed of late, and returned the entries that came back with a copy of the store
	// although they had gone, by id. See prepareRestored.
	removals map[string]removal
	returned map[string]returnedEntry
	// revision is the store revision of the latest list.
	revision int64
	// residencies holds the latest residency of each engine, by its id.
	residencies map[string]termResidency
	// published lists what was published under the latest term, sorted by sequence number.
	published []publishedEntry
	// version is the version up to which all residency updates are known.
	version Version
	// marks holds until when an upstream, or a model or adapter of it, counts as unavailable.
	marks map[mark]time.Time
	// connectFailures counts the consecutive failures to connect to an upstream, by its id. See
	// MarkUnreachable.
	connectFailures map[string]int
	// notices holds what answers stated about an upstream, by its id.
	notices map[string]noticeState
	// evacuated holds the halls to whose upstreams nothing new is sent, as of the store revision
	// evacuatedAt.
	evacuated   map[string]bool
	evacuatedAt int64
	// cold holds what is known about engines that are cold or may be, by id.
	cold map[string]coldRecord
	// deferredUntil is until when this box sends nothing to an upstream whose request rate is bounded,
	// by its id.
	deferredUntil map[string]time.Time
	// versions holds the software versions in use; see replaceState.
	versions versionUses
	// changedLimits holds the upstreams whose rate limits are to be reported to other boxes.
	changedLimits map[string]bool

	// BackoffPolicy sets how the backoffs that upstreams ask for are applied. Set it before the first answer.
	BackoffPolicy BackoffPolicy
	// OnNotice, if not nil, is called with what is new in a notice, without the lock held. Set it
	// before the first answer.
	OnNotice func(NoticeEvent)
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		states:          map[string]*State{},
		byService:       map[string]*serviceStates{},
		holders:         map[modelKey][]*State{},
		indexed:         map[string]*State{},
		listing:         newListing(),
		lapsed:          map[string]bool{},
		removals:        map[string]removal{},
		returned:        map[string]returnedEntry{},
		residencies:     map[string]termResidency{},
		marks:           map[mark]time.Time{},
		connectFailures: map[string]int{},
		notices:         map[string]noticeState{},
		cold:            map[string]coldRecord{},
		deferredUntil:   map[string]time.Time{},

		versions:      versionUses{},
		changedLimits: map[string]bool{},

		BackoffPolicy: DefaultBackoffPolicy,
	}
}

// Get returns the state of an upstream, or nil if the directory has none with this id.
func (d *Directory) Get(id string) *State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.states[id]
}

// ReachesOther reports whether this box connects to a random upstream other than one, which shows that its own links
// hold. The result known is false if there is no such upstream.
func (d *Directory) ReachesOther(ctx context.Context, than string, accepts func(context.Context, Upstream) bool) (reaches, known bool) {
	other := d.randomOther(than)
	if other == nil {
		return false, false
	}
	return accepts(ctx, *other), true
}

// randomOther returns a random upstream that is listed and not leaving, other than one; nil if there is none.
func (d *Directory) randomOther(than string) *Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()
	now := time.Now()
	for _, state := range d.states { // In random order.
		if state.ID != than && state.Usable(now) {
			return state.Upstream
		}
	}
	return nil
}

// OfService returns the upstreams of a service, sorted by id. The caller must not change the slice.
func (d *Directory) OfService(service string) []*State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if states := d.byService[service]; states != nil {
		return states.list()
	}
	return nil
}

// Holders returns the engines of a service that may be sent requests for a model, sorted by id. The
// caller must not change the slice.
func (d *Directory) Holders(service, model string) []*State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.holders[modelKey{service, model}]
}

// Revision returns the store revision of the latest list; 0 before the first one.
func (d *Directory) Revision() int64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// reindex updates byService and holders after the states of some upstreams changed. Slices that were
// handed out before stay as they are. The caller holds the lock.
func (d *Directory) reindex(ids ...string) {
	holders := holderIndex{lists: d.holders, copied: map[modelKey]bool{}}
	updated := map[string][]*State{}
	for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		old, state := d.indexed[id], d.states[id]
		if old != nil && (state == nil || state.Service != old.Service) {
			d.byService[old.Service].remove(id)
			delete(d.indexed, id)
		}
		var held []modelKey
		if state != nil {
			updated[state.Service] = append(updated[state.Service], state)
			d.indexed[id] = state
			held = state.servableModels()
		}
		if old != nil {
			for _, model := range old.servableModels() {
				if !slices.Contains(held, model) {
					holders.remove(model, id)
				}
			}
		}
		for _, model := range held {
			holders.put(model, state)
		}
	}
	for service, states := range updated {
		d.statesOf(service).put(states)
	}
}

// statesOf returns the states of a service, and adds an empty set if there is none yet. The caller
// holds the lock.
func (d *Directory) statesOf(service string) *serviceStates {
	states := d.byService[service]
	if states == nil {
		states = &serviceStates{}
		d.byService[service] = states
	}
	return states
}
