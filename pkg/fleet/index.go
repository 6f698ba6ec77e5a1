package fleet

import (
	"slices"
	"strings"
	"sync/atomic"
)

// serviceStates are the states of a service in the order of their ids. What is handed out is copied when it is asked for after a change, not
// with each change: a service may have 10,000 upstreams of which a few change four times a second, and few readers of all.
type serviceStates struct {
	states []*State
	// handedOut is a copy of states since the latest change; nil if nobody asked.
	handedOut atomic.Pointer[[]*State]
}

// list returns the states as they are now. The caller holds the directory's lock, and does not change the list.
func (s *serviceStates) list() []*State {
	if handedOut := s.handedOut.Load(); handedOut != nil {
		return *handedOut
	}
	list := slices.Clone(s.states)
	s.handedOut.Store(&list)
	return list
}

// put puts states in, which are in the order of their ids.
func (s *serviceStates) put(states []*State) {
	s.handedOut.Store(nil)
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

// insertAll inserts states that are not in a list yet; both are in the order of their ids. Each element moves once, however many are
// inserted.
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
	s.handedOut.Store(nil)
	if at, found := find(s.states, id); found {
		s.states = slices.Delete(s.states, at, at+1)
	}
}

func find(list []*State, id string) (at int, found bool) {
	return slices.BinarySearchFunc(list, id, func(state *State, id string) int { return strings.Compare(state.ID, id) })
}

// holderIndex are the lists of the holders of models, in the order of their ids, of which those that change are copied once.
type holderIndex struct {
	lists  map[modelOf][]*State
	copied map[modelOf]bool
}

// list returns a list that may be changed.
func (x *holderIndex) list(model modelOf) []*State {
	if !x.copied[model] {
		x.copied[model] = true
		x.lists[model] = slices.Clone(x.lists[model])
	}
	return x.lists[model]
}

func (x *holderIndex) put(model modelOf, state *State) {
	list := x.list(model)
	at, found := find(list, state.ID)
	if found {
		list[at] = state
		return
	}
	x.lists[model] = slices.Insert(list, at, state)
}

func (x *holderIndex) remove(model modelOf, id string) {
	list := x.list(model)
	if at, found := find(list, id); found {
		x.lists[model] = slices.Delete(list, at, at+1)
	}
	if len(x.lists[model]) == 0 {
		delete(x.lists, model)
		delete(x.copied, model)
	}
}
