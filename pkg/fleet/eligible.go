package fleet

import (
	"slices"
	"time"
)

// This file has the rules on whether an upstream may get a request. internal/gateway asks them in
// the order below, and dispatch chooses among the upstreams that pass all of them. Their inputs are
// the upstream's entry in the list, the engine's latest residency and the marks that answers left.
// Each rule lets the request through where its input is missing, but for a model or adapter that
// neither the list nor a residency names.

// Usable reports whether the upstream may get anything new, but for an evacuation of its hall: it does not leave, and its entry is
// listed or lapsed only lately (see lapseTime).
func (s *State) Usable(now time.Time) bool {
	return !s.Leaving && (s.DropAt.IsZero() || now.Before(s.DropAt))
}

// TakesWork reports whether the upstream's replicas count for requests to come: it neither leaves nor is its hall evacuated.
func (s *State) TakesWork() bool { return !s.Leaving && !s.Evacuated }

// Holds reports whether the engine may be sent requests for a model. What the order holder published
// goes before the list, which is older while an order is carried out.
func (s *State) Holds(model string) bool {
	listed := slices.ContainsFunc(s.Models, func(h Holding) bool { return h.Model == model })
	switch published := s.residency; {
	case published == nil:
		return listed
	case slices.Contains(published.Withdrawn, model):
		return false
	case slices.Contains(published.Loaded, model):
		return true
	default:
		return listed && !slices.Contains(published.Dropped, model)
	}
}

// held lists the models that the engine may be sent requests for.
func (s *State) held() []modelOf {
	var list []modelOf
	add := func(model string) {
		if key := (modelOf{s.Service, model}); s.Holds(model) && !slices.Contains(list, key) {
			list = append(list, key)
		}
	}
	for _, holding := range s.Models {
		add(holding.Model)
	}
	if s.residency != nil {
		for _, model := range s.residency.Loaded {
			add(model)
		}
	}
	return list
}

// HoldsAdapter reports whether the engine has an adapter of a model that it holds; no adapter ("") is
// always there.
func (s *State) HoldsAdapter(model, adapter string) bool {
	return adapter == "" || slices.Contains(s.adapters(model), adapter)
}

// Unavailable reports whether a mark is set on the upstream, or on the model and adapter that a request
// needs. Both are "" for a request to a plain service.
func (d *Directory) Unavailable(upstream, model, adapter string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if len(d.marks) == 0 {
		return false
	}
	now := time.Now()
	return now.Before(d.marks[mark{upstream: upstream}]) || now.Before(d.marks[mark{upstream, model, adapter}])
}
