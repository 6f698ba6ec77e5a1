// Package fleet is the directory of back ends: which there are, what they hold and which leave.
//
// It joins three sources: the platform's list, what the holder of the order lease says of the
// engines that it changes, and what back ends themselves answered.
package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Backend is one back end as the platform's list tells. It does not change once listed.
type Backend struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	// Version of its software.
	Version string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving back ends get nothing new.
	Leaving bool
	// Remaining is the notice that a leaving back end gave; 0 if it gave none.
	Remaining time.Duration
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
	Backend
	// Listed is when the platform's list last said something new of it.
	Listed time.Time
	// LeavesAt is when a back end that gave notice is gone; zero if it gave none.
	LeavesAt time.Time
	// Until is when a back end that the list has no more is dropped; zero if it is listed.
	Until time.Time

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
	return !s.Leaving && (s.Until.IsZero() || now.Before(s.Until))
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
	known    Stamp
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

type miss struct {
	backend, model, adapter string
}

const (
	// missTime is how long an engine's word that it lacks something is believed.
	missTime = 400 * time.Millisecond
	// unreachableTime is how long a back end that took no connection is left alone the first time;
	// it doubles with each further time up to longUnreachableTime.
	unreachableTime     = 500 * time.Millisecond
	longUnreachableTime = 2 * time.Second
	// goneTime is how long a back end that is not at its address any more is left alone.
	goneTime = 5 * time.Second
)

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

// Change is a back end that came, left or began to leave with a list.
type Change struct {
	Backend Backend
	// What is one of the Change constants.
	What ChangeKind
}

// ChangeKind says what a list changed.
type ChangeKind string

// The kinds of change.
const (
	Joined  ChangeKind = "joined"
	Leaving ChangeKind = "leaving"
	// Lapsed back ends' entries are gone; they are used for a little longer.
	Lapsed  ChangeKind = "lapsed"
	Removed ChangeKind = "removed"
)

// lapseTime is how long a back end may still be used after its entry went: the platform drops
// entries whose heartbeats did not reach it, as when it was away or a zone cut off, and those of
// back ends that live are back soon. It counts from when the entry was last known to be there.
const lapseTime = 1400 * time.Millisecond

// SetList takes a newer list of all back ends, and returns who came, went or began to leave. since
// is when the list before was still current.
func (d *Directory) SetList(revision int64, list []Backend, since time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return nil
	}
	d.revision = revision
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, backend := range current(list) {
		listed[backend.ID] = true
		old := d.states[backend.ID]
		if old != nil && old.Revision == backend.Revision && old.Until.IsZero() {
			continue
		}
		if what := changeOf(old, backend); what != "" {
			changes = append(changes, Change{Backend: backend, What: what})
		}
		d.states[backend.ID] = d.join(backend, old)
		d.noteDisk(backend)
	}
	replaced := addresses(list)
	now := time.Now()
	for id, state := range d.states {
		if listed[id] {
			continue
		}
		until := state.Until
		if until.IsZero() {
			until = since.Add(lapseTime)
		}
		if state.Leaving || replaced[state.Address] || !now.Before(until) {
			changes = append(changes, d.drop(state))
			continue
		}
		if state.Until.IsZero() {
			lapsed := *state
			lapsed.Until = until
			d.states[id] = &lapsed
			changes = append(changes, Change{Backend: state.Backend, What: Lapsed})
		}
	}
	d.index()
	return changes
}

// DropLapsed drops the back ends whose entries have been gone for too long. Call it now and then.
func (d *Directory) DropLapsed() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	now := time.Now()
	for _, state := range d.states {
		if !state.Until.IsZero() && !now.Before(state.Until) {
			changes = append(changes, d.drop(state))
		}
	}
	if len(changes) > 0 {
		d.index()
	}
	return changes
}

// drop forgets a back end. The caller holds the lock.
func (d *Directory) drop(state *State) Change {
	delete(d.states, state.ID)
	delete(d.words, state.ID)
	delete(d.unreachable, state.ID)
	return Change{Backend: state.Backend, What: Removed}
}

// addresses are those at which back ends are listed.
func addresses(list []Backend) map[string]bool {
	taken := make(map[string]bool, len(list))
	for _, backend := range list {
		taken[backend.Address] = true
	}
	return taken
}

// current drops the back ends at whose address a newer one is listed: their processes are gone,
// though the list still has them until their heartbeats are missed.
func current(list []Backend) []Backend {
	newest := make(map[string]int64, len(list))
	for _, backend := range list {
		newest[backend.Address] = max(newest[backend.Address], backend.Revision)
	}
	return slices.DeleteFunc(slices.Clone(list), func(backend Backend) bool {
		return backend.Address != "" && backend.Revision < newest[backend.Address]
	})
}

// noteDisk notes what an engine holds. The caller holds the lock.
func (d *Directory) noteDisk(backend Backend) {
	key := disk{backend.Service, backend.Address}
	for _, holding := range backend.Models {
		if d.disks[key] == nil {
			d.disks[key] = map[string]time.Time{}
		}
		d.disks[key][holding.Model] = time.Now()
	}
}

// Disk returns when models were last seen on the engine at a back end's address, also before
// its latest restart.
func (d *Directory) Disk(backend Backend) map[string]time.Time {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return maps.Clone(d.disks[disk{backend.Service, backend.Address}])
}

func changeOf(old *State, now Backend) ChangeKind {
	switch {
	case old == nil:
		return Joined
	case now.Leaving && !old.Leaving:
		return Leaving
	}
	return ""
}

// join makes the state of a back end from all sources. The caller holds the lock.
func (d *Directory) join(backend Backend, old *State) *State {
	state := &State{Backend: backend, Listed: time.Now(), adapters: map[string][]string{}}
	if backend.Leaving && backend.Remaining > 0 {
		state.LeavesAt = state.Listed.Add(backend.Remaining)
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

// Miss notes that an engine said it lacks a model or adapter (or, with no model, that another
// back end has its address).
func (d *Directory) Miss(backend, model, adapter string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := time.Now().Add(missTime)
	if model == "" {
		until = time.Now().Add(goneTime)
	}
	d.misses[miss{backend, model, adapter}] = until
}

// Unreachable notes that a back end took no connection.
func (d *Directory) Unreachable(backend string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := miss{backend: backend}
	if time.Now().Before(d.misses[key]) {
		return // One of several sendings that were under way at once.
	}
	span := min(longUnreachableTime, unreachableTime<<min(d.unreachable[backend], maxDoublings))
	d.unreachable[backend]++
	d.misses[key] = time.Now().Add(span)
}

// maxDoublings is more than enough to reach longUnreachableTime.
const maxDoublings = 8

// Reached notes that a back end answered.
func (d *Directory) Reached(backend string) {
	d.mu.RLock()
	known := d.unreachable[backend] > 0
	d.mu.RUnlock()
	if !known {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unreachable, backend)
}

// Missing tells whether an engine said lately that it lacks what a request needs.
func (d *Directory) Missing(backend, model, adapter string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if len(d.misses) == 0 {
		return false
	}
	now := time.Now()
	return now.Before(d.misses[miss{backend: backend}]) || now.Before(d.misses[miss{backend, model, adapter}])
}

// Forget drops words of misses that are no longer believed. Call it now and then.
func (d *Directory) Forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for key, until := range d.misses {
		if now.After(until) {
			delete(d.misses, key)
		}
	}
}
