package fleet

import (
	"slices"
	"time"
)

// State is an upstream with everything known about it. It is immutable, and shares its entry with the
// list.
type State struct {
	*Upstream
	// ListedAt is when the list last had a new entry of the upstream.
	ListedAt time.Time
	// DropAt is when an upstream whose entry has lapsed is removed from the directory; zero while it is
	// listed.
	DropAt time.Time

	// Evacuated means that the upstream's hall is evacuated: nothing new is sent to it until the
	// evacuation ends.
	Evacuated bool

	// residency is the latest residency that the order holder published; nil if there is none.
	residency *Residency
	// listedLeaving is Leaving as the entry states it, regardless of what answers stated.
	listedLeaving bool
	// lost means that the store lost the entry when it came back from a copy; DropAt is set then.
	lost bool
}

// Busy reports whether the engine is loading or unloading a model. It takes no other order meanwhile.
func (s *State) Busy() bool { return s.residency != nil && s.residency.Busy }

// newState builds the state of a listed upstream from its entry, its latest residency, its notices and
// the evacuated halls. The caller holds the lock.
func (d *Directory) newState(upstream *Upstream) *State {
	state := &State{Upstream: upstream, ListedAt: time.Now(), listedLeaving: upstream.Leaving}
	state.Evacuated = d.evacuated[upstream.Hall]
	if !d.notices[upstream.ID].leavingAt.IsZero() {
		state.setLeaving() // An answer stated it, and the list may be older.
	}
	if latest, ok := d.residencies[upstream.ID]; ok {
		state.residency = &latest.Residency
	}
	return state
}

// setLeaving marks the upstream as leaving, on a copy of the entry that it shares with the list.
func (s *State) setLeaving() {
	entry := *s.Upstream
	entry.Leaving = true
	s.Upstream = &entry
}

// adapters returns the loaded adapters of a model: those of the residency if it names the model, else
// those of the entry.
func (s *State) adapters(model string) []string {
	if s.residency != nil {
		if adapters, published := s.residency.Adapters[model]; published {
			return adapters
		}
	}
	at := slices.IndexFunc(s.Models, func(h Holding) bool { return h.Model == model })
	if at < 0 {
		return nil
	}
	return s.Models[at].Adapters
}
