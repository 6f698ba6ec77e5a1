package fleet

import (
	"slices"
	"time"
)

// This file has the rules that decide whether an upstream may get a request. internal/gateway checks
// them in the order below, and dispatch chooses among the upstreams that pass all of them. Their inputs
// are the upstream's entry in the list, the engine's latest residency and the marks that answers set. A
// rule passes where its input is missing, except for a model or adapter that neither the list nor a
// residency names.

// Usable reports whether anything new may be sent to the upstream, apart from an evacuation of its
// hall: it is not leaving, and its entry is listed or lapsed only recently (see lapseGrace).
func (s *State) Usable(now time.Time) bool {
	return !s.Leaving && (s.DropAt.IsZero() || now.Before(s.DropAt))
}

// TakesWork reports whether the upstream's replicas count as capacity for future requests: it is not
// leaving, and its hall is not evacuated.
func (s *State) TakesWork() bool { return !s.Leaving && !s.Evacuated }

// Holds reports whether requests for a model may be sent to the engine. A published residency overrides
// the list, which lags behind while an order is carried out.
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

// servableModels returns the models for which requests may be sent to the engine.
func (s *State) servableModels() []modelKey {
	var list []modelKey
	add := func(model string) {
		if key := (modelKey{s.Service, model}); s.Holds(model) && !slices.Contains(list, key) {
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

// HoldsAdapter reports whether the engine has an adapter of a model that it holds. It is true for no
// adapter ("").
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
