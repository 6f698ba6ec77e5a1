package fleet

import "time"

// State is an upstream with everything known of it. It does not change once made.
type State struct {
	Upstream
	// ListedAt is when the list last had a new entry of it.
	ListedAt time.Time
	// DropAt is when an upstream whose entry lapsed is dropped; zero while it is listed.
	DropAt time.Time

	// Evacuated means that its hall is evacuated: it gets nothing new until that ends.
	Evacuated bool

	// adapters that are loaded, by model: those listed, and those of the residency in their place.
	adapters map[string][]string
	// withdrawn, loaded, dropped and busy are those of the residency.
	withdrawn []string
	loaded    []string
	dropped   []string
	busy      bool
	// listedLeaving is Leaving by the entry alone.
	listedLeaving bool
}

// Busy reports whether the engine loads or unloads a model, so that it takes no other order.
func (s *State) Busy() bool { return s.busy }

// join makes the state of a listed upstream from its entry and its residency. The caller holds the
// lock.
func (d *Directory) join(upstream Upstream) *State {
	state := &State{Upstream: upstream, ListedAt: time.Now(), listedLeaving: upstream.Leaving}
	state.Evacuated = d.evacuated[upstream.Hall]
	if !d.told[upstream.ID].leavingAt.IsZero() {
		state.Leaving = true // An answer told it ahead of the list, which may be older.
	}
	for _, holding := range upstream.Models {
		state.setAdapters(holding.Model, holding.Adapters)
	}
	if latest, ok := d.residencies[upstream.ID]; ok {
		for model, adapters := range latest.Adapters {
			state.setAdapters(model, adapters)
		}
		state.withdrawn = latest.Withdrawn
		state.loaded = latest.Loaded
		state.dropped = latest.Dropped
		state.busy = latest.Busy
	}
	return state
}

// setAdapters sets the adapters of a model. Most engines of a large fleet have none, and no map for them.
func (s *State) setAdapters(model string, adapters []string) {
	if s.adapters == nil {
		if len(adapters) == 0 {
			return
		}
		s.adapters = map[string][]string{}
	}
	s.adapters[model] = adapters
}
