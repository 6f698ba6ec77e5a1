// Package fleet is the directory of back ends: which there are, what they hold and which leave.
//
// It joins three sources: the platform's list, what the holder of the order lease says of the
// engines that it changes, and what back ends themselves answered.
package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Upstream is one back end as the platform's list tells. It does not change once listed.
type Upstream struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Hall    string
	// Version of its software.
	Version string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving back ends get nothing new.
	Leaving bool
	// Notice is the notice that a leaving back end gave; 0 if it gave none.
	Notice time.Duration
	// Models that it holds, with their adapters.
	Models []Holding
	// Revision is the list's revision at which this was said.
	Revision int64
}

// Holding is a model that an engine holds.
type Holding struct {
	Model    string
	Version  int
	Adapters []string
}

// Residency is what the holder of the order lease says of one engine.
type Residency struct {
	// Adapters that are loaded, by model.
	Adapters map[string][]string `json:"adapters,omitempty"`
	// Withdrawn models are about to be unloaded and get nothing new.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Loaded models that the platform's list may not tell of yet.
	Loaded []string `json:"loaded,omitempty"`
	// Dropped models that the platform's list may still tell of.
	Dropped []string `json:"dropped,omitempty"`
	// Sequence numbers what the order holder says, of all engines, under one term.
	Sequence int64 `json:"sequence"`
	// Busy tells that the engine loads a model.
	Busy bool `json:"busy,omitempty"`
}

// State is a back end with everything known of it. It does not change once made.
type State struct {
	Upstream
	// ListedAt is when the platform's list last said something new of it.
	ListedAt time.Time
	// LeavesAt is when a back end that gave notice is gone; zero if it gave none.
	LeavesAt time.Time
	// DropAt is when a back end that the list has no more is dropped; zero if it is listed.
	DropAt time.Time

	adapters  map[string][]string
	withdrawn []string
	loaded    []string
	dropped   []string
	busy      bool
}

// Holds tells whether the engine may be sent requests for a model.
func (s *State) Holds(model string) bool {
	if slices.Contains(s.withdrawn, model) {
		return false
	}
	if slices.Contains(s.loaded, model) {
		return true
	}
	listed := slices.ContainsFunc(s.Models, func(h Holding) bool { return h.Model == model })
	return listed && !slices.Contains(s.dropped, model)
}

// HoldsAdapter tells whether the engine has an adapter of a model that it holds.
func (s *State) HoldsAdapter(model, adapter string) bool {
	return adapter == "" || slices.Contains(s.adapters[model], adapter)
}

// Usable tells whether the back end may get something new: it neither leaves nor has lapsed for too
// long.
func (s *State) Usable(now time.Time) bool {
	return !s.Leaving && (s.DropAt.IsZero() || now.Before(s.DropAt))
}

// Adapters lists the adapters of a model that the engine is known to have.
func (s *State) Adapters(model string) []string { return s.adapters[model] }

// Busy tells whether the engine loads or unloads a model, so that it takes no other order.
func (s *State) Busy() bool { return s.busy }

// Directory is the joined view. It is safe for concurrent use.
type Directory struct {
	mu     sync.RWMutex
	states map[string]*State
	// byService holds the states of a service in the order of their ids.
	byService map[string][]*State
	// words are what the order holder said last, by engine.
	words map[string]word
	// known is up to where all of the order holder's words are known.
	known    Version
	revision int64
	// disks tell when a model was last seen on the engine at an address: a restart keeps the
	// disk, though the engine gets a new id.
	disks map[disk]map[string]time.Time
	// misses are models or adapters that an engine said it lacks, until when that is believed.
	misses map[miss]time.Time
	// unreachable counts how often in a row back ends took no connection.
	unreachable map[string]int
}

// disk names what outlives an engine's restart.
type disk struct {
	service, address string
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		states:    map[string]*State{},
		byService: map[string][]*State{},
		words:     map[string]word{},
		disks:     map[disk]map[string]time.Time{},
		misses:    map[miss]time.Time{},

		unreachable: map[string]int{},
	}
}

// join makes the state of a back end from all sources. The caller holds the lock.
func (d *Directory) join(backend Upstream, old *State) *State {
	state := &State{Upstream: backend, ListedAt: time.Now(), adapters: map[string][]string{}}
	if backend.Leaving && backend.Notice > 0 {
		state.LeavesAt = state.ListedAt.Add(backend.Notice)
		if old != nil && !old.LeavesAt.IsZero() {
			state.LeavesAt = old.LeavesAt
		}
	}
	for _, holding := range backend.Models {
		state.adapters[holding.Model] = holding.Adapters
	}
	if residency, ok := d.words[backend.ID]; ok {
		for model, adapters := range residency.Adapters {
			state.adapters[model] = adapters
		}
		state.withdrawn = residency.Withdrawn
		state.loaded = residency.Loaded
		state.dropped = residency.Dropped
		state.busy = residency.Busy
	}
	return state
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

// Get returns one back end, or nil.
func (d *Directory) Get(id string) *State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.states[id]
}

// Of returns the back ends of a service, in the order of their ids; the caller must not change it.
func (d *Directory) Of(service string) []*State {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byService[service]
}

// Revision is that of the latest list.
func (d *Directory) Revision() int64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}
