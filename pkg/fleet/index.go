package fleet

import (
	"slices"
	"strings"
	"sync/atomic"
)

// serviceStates holds the states of a service, sorted by id. The slice for readers is copied at the
// first read after a change, not at each change: a service may have 10,000 upstreams, of which a few
// change four times a second, and few readers need all of them.
type serviceStates struct {
	states []*State
	// snapshot is a copy of states since the latest change; nil if nobody has read it.
	snapshot atomic.Pointer[[]*State]
}

// list returns the current states. The caller holds the directory's lock, and must not change the
// slice.
func (s *serviceStates) list() []*State {
	if snapshot := s.snapshot.Load(); snapshot != nil {
		return *snapshot
	}
	list := slices.Clone(s.states)
	s.snapshot.Store(&list)
	return list
}

// put adds or replaces states. Its argument is sorted by id.
func (s *serviceStates) put(states []*State) {
	s.snapshot.Store(nil)
	var added []*State
	for _, state := range states {
		if at, found := find(s.states, state.ID); found {
			s.states[at] = state
		} else {
			added = append(added, state)
		}
	}
	s.states = insertAll(s.states, added)
}

// insertAll inserts states that a list does not contain yet. Both are sorted by id. Each element moves
// once, however many are inserted.
func insertAll(list, added []*State) []*State {
	end := len(list)
	list = append(list, added...)
	for n := len(added) - 1; n >= 0; n-- {
		at, _ := find(list[:end], added[n].ID)
		copy(list[at+n+1:], list[at:end])
		list[at+n] = added[n]
		end = at
	}
	return list
}

func (s *serviceStates) remove(id string) {
	s.snapshot.Store(nil)
	if at, found := find(s.states, id); found {
		s.states = slices.Delete(s.states, at, at+1)
	}
}

func find(list []*State, id string) (at int, found bool) {
	return slices.BinarySearchFunc(list, id, func(state *State, id string) int { return strings.Compare(state.ID, id) })
}

// holderIndex changes the lists of the engines that hold each model, sorted by id. It copies a list
// before the first change, since readers may still use the old one, and only once.
type holderIndex struct {
	lists  map[modelKey][]*State
	copied map[modelKey]bool
}

// mutableList returns the list of a model, as a copy that may be changed.
func (x *holderIndex) mutableList(model modelKey) []*State {
	if !x.copied[model] {
		x.copied[model] = true
		x.lists[model] = slices.Clone(x.lists[model])
	}
	return x.lists[model]
}

func (x *holderIndex) put(model modelKey, state *State) {
	list := x.mutableList(model)
	at, found := find(list, state.ID)
	if found {
		list[at] = state
		return
	}
	x.lists[model] = slices.Insert(list, at, state)
}

func (x *holderIndex) remove(model modelKey, id string) {
	list := x.mutableList(model)
	if at, found := find(list, id); found {
		x.lists[model] = slices.Delete(list, at, at+1)
	}
	if len(x.lists[model]) == 0 {
		delete(x.lists, model)
		delete(x.copied, model)
	}
}
