package residency

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// patientAbsenceCost and urgentAbsenceCost are the costs of evicting an idle model's last replica, in
	// squared engine time: the next requests wait for its load, or are refused until it is done.
	patientAbsenceCost = 0.05
	urgentAbsenceCost  = 1.0
	// drainCost is the added cost of evicting a model that has running requests, since the move waits for
	// them to end.
	drainCost = 0.1
	// requestedEvictionLimit is the maximum eviction cost for the first replica of a requested model, to
	// which the model's demand is added.
	requestedEvictionLimit = 0.7
	// idleEvictionLimit is the maximum eviction cost for the first replica of an idle model.
	idleEvictionLimit = 0.05
)

// maxEvictionCost returns the maximum eviction cost for a model's first replica.
func maxEvictionCost(model *PlanModel) float64 {
	if model.requested() {
		return requestedEvictionLimit + model.Demand
	}
	return idleEvictionLimit
}

// mayEvict reports whether a replica may be evicted. A fresh one may not. A model's last loaded replica may
// go only if the model is idle and the engine keeps a copy, from which it can be loaded again in a second or
// two.
func (p *planner) mayEvict(e *planEngine, model *PlanModel) bool {
	if e.Fresh[model.Name] {
		return false
	}
	return p.loadedReplicas[model.Name] > 1 || model.idle() && e.hasCopy(model.Name)
}

// makeRoom returns the models to evict so that the model fits on the engine, cheapest first. It returns
// false if the model does not fit even without all models that may be evicted. Models that the configuration
// does not contain may always be evicted, but the planner does not know their size and counts no memory as
// freed by them.
func (p *planner) makeRoom(e *planEngine, model *PlanModel) (evict []string, ok bool) {
	free := e.free
	if free >= model.Megabytes {
		return nil, true
	}
	candidates := slices.Clone(e.Models)
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.singleEvictionCost(e, a), p.singleEvictionCost(e, b)),
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

// evictionCost returns the growth of the other engines' squared work through an eviction, plus the cost of
// evicting last replicas.
func (p *planner) evictionCost(target *planEngine, evict []string) float64 {
	cost := p.lastReplicaCost(evict)
	for _, e := range p.affected(target, evict...) {
		after := e.work + p.workIncrease(e, evict)
		cost += after*after - e.work*e.work
	}
	return cost
}

// lastReplicaCost returns the cost of those evictions that leave a model without a replica.
func (p *planner) lastReplicaCost(evict []string) float64 {
	cost := 0.0
	for _, name := range evict {
		cost += p.absenceCost(name)
	}
	return cost
}

// singleEvictionCost returns the cost by which the models of one engine are compared for eviction.
func (p *planner) singleEvictionCost(e *planEngine, name string) float64 {
	cost := p.absenceCost(name) + p.workPerReplicaIncrease(name)
	if e.Running[name] > 0 {
		cost += drainCost
	}
	return cost
}

// absenceCost returns the cost of evicting a model's last replica, or 0 if the model has another one.
func (p *planner) absenceCost(name string) float64 {
	model := p.models[name]
	switch {
	case model == nil || p.loadedReplicas[name] != 1:
		return 0
	case model.Patient:
		return patientAbsenceCost
	}
	return urgentAbsenceCost
}

// workIncrease returns the work that the evicted models add to another engine that holds them.
func (p *planner) workIncrease(e *planEngine, evict []string) float64 {
	increase := 0.0
	for _, name := range evict {
		if slices.Contains(e.Models, name) {
			increase += p.workPerReplicaIncrease(name)
		}
	}
	return increase
}

// workPerReplicaIncrease returns the work that the loss of one replica adds to each other replica of a
// model. Loads under way do not count, because they serve no requests yet.
func (p *planner) workPerReplicaIncrease(model string) float64 {
	replicas := p.loadedReplicas[model]
	return p.workPerReplica(model, replicas-1) - p.workPerReplica(model, replicas)
}
