package residency

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// askedEvictionLimit is how much the other engines' squared work may grow for the first replica
	// of a model that is asked for, beside the model's demand. Chosen, not measured (commit 21fe9e9).
	askedEvictionLimit = 0.7
	// idleEvictionLimit is the same for a model that nobody asks for. Chosen, not measured (commit
	// 21fe9e9).
	idleEvictionLimit = 0.05
)

// maxEvictionCost is how much the other engines' squared work may grow for a model's first
// replica.
func maxEvictionCost(model *PlanModel) float64 {
	if model.asked() {
		return askedEvictionLimit + model.Demand
	}
	return idleEvictionLimit
}

// makeRoom lists the models to evict so that the model fits on the engine, cheapest first. Neither
// a model's last confirmed replica nor a fresh one is evicted; ok is false if the model does not
// fit without. Models that the configuration does not name may always be evicted; they free no
// memory that the planner knows of.
func (p *planner) makeRoom(e *planEngine, model *PlanModel) (evict []string, ok bool) {
	free := e.free
	if free >= model.Megabytes {
		return nil, true
	}
	candidates := slices.Clone(e.Models)
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.shareIncrease(a), p.shareIncrease(b)), strings.Compare(a, b))
	})
	for _, name := range candidates {
		described := p.models[name]
		if described != nil && (p.confirmed[name] < 2 || e.Fresh[name]) {
			continue
		}
		evict = append(evict, name)
		if described != nil {
			free += described.Megabytes
		}
		if free >= model.Megabytes {
			return evict, true
		}
	}
	return nil, false
}

// evictionCost is how much the squared work of other engines grows with an eviction.
func (p *planner) evictionCost(target *planEngine, evict []string) float64 {
	cost := 0.0
	for _, e := range p.affected(target, evict...) {
		after := e.work + p.workIncrease(e, evict)
		cost += after*after - e.work*e.work
	}
	return cost
}

// workIncrease is how much work evicted models bring to another engine that holds them.
func (p *planner) workIncrease(e *planEngine, evict []string) float64 {
	increase := 0.0
	for _, name := range evict {
		if slices.Contains(e.Models, name) {
			increase += p.shareIncrease(name)
		}
	}
	return increase
}

// shareIncrease is how much work one replica less brings to each other replica of a model. Loads
// under way do not count, since they do not serve yet.
func (p *planner) shareIncrease(model string) float64 {
	replicas := p.confirmed[model]
	return p.share(model, replicas-1) - p.share(model, replicas)
}
