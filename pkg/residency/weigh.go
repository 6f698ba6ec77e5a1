package residency

import (
	"slices"
)

// share is the work that a model brings to each engine that holds it.
func (p *planner) share(model string, copies int) float64 {
	described := p.models[model]
	if described == nil || copies == 0 {
		return 0
	}
	return described.Demand / float64(copies)
}

const (
	// missedHarm is how much the others' squared work may grow for a model that was asked for,
	// and idleHarm for one that was not.
	missedHarm = 0.7
	idleHarm   = 0.05
)

// mostHarm is how much the others' squared work may grow for a model's first copy.
func mostHarm(model *PlanModel) float64 {
	if model.Missed || model.Demand > 0 {
		return missedHarm + model.Demand
	}
	return idleHarm
}

// affected are the engines whose work changes when models come to or leave a target, but for
// the target itself and for those that leave.
func (p *planner) affected(target *planEngine, models ...string) []*planEngine {
	var list []*planEngine
	for _, model := range models {
		for _, e := range p.holders[model] {
			if e != target && !slices.Contains(list, e) {
				list = append(list, e)
			}
		}
	}
	return list
}

// grown is how much work models that leave a target bring to another engine.
func (p *planner) grown(e *planEngine, evict []string) float64 {
	growth := 0.0
	for _, name := range evict {
		if slices.Contains(e.Models, name) {
			growth += p.growth(name)
		}
	}
	return growth
}

// harm is how much the squared work of other engines grows when copies leave one.
func (p *planner) harm(target *planEngine, evict []string) float64 {
	harm := 0.0
	for _, e := range p.affected(target, evict...) {
		after := e.work + p.grown(e, evict)
		harm += after*after - e.work*e.work
	}
	return harm
}

// growth is how much work one copy less brings to each other copy: loads under way do not help
// yet.
func (p *planner) growth(model string) float64 {
	copies := p.confirmed[model]
	return p.share(model, copies-1) - p.share(model, copies)
}

const (
	// fillShare is the part of a move's cost that a load into free memory has, and diskCost that
	// of a load from the engine's disk.
	fillShare = 0.35
	diskCost  = 0.4
)

// cost is what a move must gain at least.
func (p *planner) cost(evict []string, fromDisk bool) float64 {
	cost := p.in.MoveCost
	if len(evict) == 0 {
		cost *= fillShare
	}
	if fromDisk {
		cost *= diskCost
	}
	return cost
}

// gain is how much the sum of the engines' squared work falls with a move.
func (p *planner) gain(model *PlanModel, target *planEngine, evict []string) float64 {
	copies := p.copies[model.Name]
	share := p.share(model.Name, copies+1)
	relief := p.share(model.Name, copies) - share
	after := target.work + share
	for _, name := range evict {
		after -= p.share(name, p.copies[name])
	}
	gain := target.work*target.work - after*after
	for _, e := range p.affected(target, append(slices.Clone(evict), model.Name)...) {
		after := e.work + p.grown(e, evict)
		if slices.Contains(e.Models, model.Name) {
			after -= relief
		}
		gain += e.work*e.work - after*after
	}
	if p.zones[model.Name][target.Hall] == 0 {
		gain += zoneGain * model.Demand
	}
	for _, name := range evict {
		described := p.models[name]
		if described != nil && p.zones[name][target.Hall] == 1 {
			gain -= zoneGain * described.Demand
		}
	}
	return gain
}
