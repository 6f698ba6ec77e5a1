// Package fleet is the directory of upstreams: which there are, what they hold and which leave.
//
// It joins three sources: the list that the platform's store holds (SetList), the residency updates
// that the order holder publishes of the engines it changes (Publish, Apply), and what upstreams
// answered to requests (MarkMissing, MarkUnreachable). It owns the joined view, and relies on its
// callers to bring the lists (pkg/mirror) and to carry updates between boxes (internal/gateway).
//
// `ospreymoor node` uses it. `ospreymoor serve` has internal/box/fleet.go instead: a snapshot of the
// plan, the box list and the halls' holdings, which are records with generations, not updates.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Directory is the joined view. It is safe for concurrent use.
type Directory struct {
	mu     sync.RWMutex
	states map[string]*State
	// byService holds the states of a service in the order of their ids.
	byService map[string][]*State
	// revision is that of the latest list.
	revision int64
	// residencies are the latest of each engine, by its id.
	residencies map[string]residency
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
	// warmth is what is known of cold engines, by id.
	warmth map[string]warmth

	// Rests is how the rests are kept that upstreams ask for. It is to be set before the first answer.
	Rests Rests
	// OnNotice is called with what is news of an answer, outside of the lock; nil is not. It is to be set before the first answer.
	OnNotice func(Noted)
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		states:      map[string]*State{},
		byService:   map[string][]*State{},
		residencies: map[string]residency{},
		marks:       map[mark]time.Time{},
		refusals:    map[string]int{},
		told:        map[string]told{},
		warmth:      map[string]warmth{},
		Rests:       DefaultRests,
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
	return d.byService[service]
}

// Revision returns the store's revision of the latest list; 0 before the first one.
func (d *Directory) Revision() int64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// index rebuilds the lists of the services. The caller holds the lock.
func (d *Directory) index() {
	d.byService = map[string][]*State{}
	for _, state := range d.states {
		d.byService[state.Service] = append(d.byService[state.Service], state)
	}
	for _, list := range d.byService {
		slices.SortFunc(list, func(a, b *State) int { return strings.Compare(a.ID, b.ID) })
	}
}
