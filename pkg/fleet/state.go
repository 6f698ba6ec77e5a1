package fleet

import (
	"slices"
	"time"
)

// State is an upstream with everything known of it. It does not change once made, and shares its entry with the list.
type State struct {
	*Upstream
	// ListedAt is when the list last had a new entry of it.
	ListedAt time.Time
	// DropAt is when an upstream whose entry lapsed is dropped; zero while it is listed.
	DropAt time.Time

	// Evacuated means that its hall is evacuated: it gets nothing new until that ends.
	Evacuated bool

	// residency is the latest that the order holder published; nil if there is none.
	residency *Residency
	// listedLeaving is Leaving by the entry alone.
	listedLeaving bool
}

// Busy reports whether the engine loads or unloads a model, so that it takes no other order.
func (s *State) Busy() bool { return s.residency != nil && s.residency.Busy }

// join makes the state of a listed upstream from its entry and its residency. The caller holds the
// lock.
func (d *Directory) join(upstream *Upstream) *State {
	state := &State{Upstream: upstream, ListedAt: time.Now(), listedLeaving: upstream.Leaving}
	state.Evacuated = d.evacuated[upstream.Hall]
	if !d.told[upstream.ID].leavingAt.IsZero() {
		state.leave() // An answer told it ahead of the list, which may be older.
	}
	if latest, ok := d.residencies[upstream.ID]; ok {
		state.residency = &latest.Residency
	}
	return state
}

// leave notes that the upstream leaves. The entry that it shares with the list stays as it is.
func (s *State) leave() {
	entry := *s.Upstream
	entry.Leaving = true
	s.Upstream = &entry
}

// adapters that are loaded of a model: those listed, or those of the residency in their place.
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
