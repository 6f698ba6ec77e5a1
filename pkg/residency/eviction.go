package residency

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// patientAbsence and urgentAbsence are the costs of evicting an idle model's last replica, in squared
	// engine time: the next callers wait for its load, or are refused until it is done.
	patientAbsence = 0.05
	urgentAbsence  = 1.0
	// drainCost is that of evicting a model whose requests run, since the move waits for their ends.
	drainCost = 0.1
	// askedEvictionLimit is how much the other engines' squared work may grow for the first replica
	// of a model that is asked for, beside the model's demand.
	askedEvictionLimit = 0.7
	// idleEvictionLimit is the same for a model that nobody asks for.
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

// mayEvict reports whether a replica may go: no fresh one, and a model's last confirmed one only if
// nobody asks for the model and the engine keeps a copy, from which it is back in a second or two.
func (p *planner) mayEvict(e *planEngine, model *PlanModel) bool {
	if e.Fresh[model.Name] {
		return false
	}
	return p.confirmed[model.Name] > 1 || model.idle() && e.hasCopy(model.Name)
}

// makeRoom lists the models to evict so that the model fits on the engine, cheapest first; ok is false
// if the model does not fit without those that may not go. Models that the configuration does not name
// may always be evicted; they free no memory that the planner knows of.
func (p *planner) makeRoom(e *planEngine, model *PlanModel) (evict []string, ok bool) {
	free := e.free
	if free >= model.Megabytes {
		return nil, true
	}
	candidates := slices.Clone(e.Models)
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.departure(e, a), p.departure(e, b)),
			strings.Compare(a, b))
	})
	for _, name := range candidates {
		described := p.models[name]
		if described != nil && !p.mayEvict(e, described) {
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
	cost := p.lastReplicaCost(evict)
	for _, e := range p.affected(target, evict...) {
		after := e.work + p.workIncrease(e, evict)
		cost += after*after - e.work*e.work
	}
	return cost
}

// lastReplicaCost is the cost of the evictions that leave a model without a replica.
func (p *planner) lastReplicaCost(evict []string) float64 {
	cost := 0.0
	for _, name := range evict {
		cost += p.absence(name)
	}
	return cost
}

// departure compares the models of an engine by what it costs to evict them.
func (p *planner) departure(e *planEngine, name string) float64 {
	cost := p.absence(name) + p.shareIncrease(name)
	if e.Running[name] > 0 {
		cost += drainCost
	}
	return cost
}

// absence is what it costs to have no replica of a model any more, 0 if another one is left.
func (p *planner) absence(name string) float64 {
	model := p.models[name]
	switch {
	case model == nil || p.confirmed[name] != 1:
		return 0
	case model.Patient:
		return patientAbsence
	}
	return urgentAbsence
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
