package residency

import (
	"slices"
	"time"
)

// Worth and cost are in squared engine time: the sum over the engines of their work squared, where
// work 1 is all of one engine's time. The square makes the same work worth more on an engine that
// has much of it already.

const (
	// missedWorth is the worth of a first replica of any model that is asked for, in squared engine
	// time.
	missedWorth = 0.3
	// demandWorth is added to it for each unit of the model's demand.
	demandWorth = 3
	// hallBonus is the worth of a busy model's first replica in a hall, in squared engine time for
	// each unit of the model's demand: a hall that is cut off serves only what it holds.
	hallBonus = 0.25
	// freeMemoryCost is the part of a move's cost that counts if nothing is evicted.
	freeMemoryCost = 0.35
	// copyLoadCost is the part of a move's cost that counts for a load from the engine's own copy.
	copyLoadCost = 0.4
)

// firstReplicaWorth is the worth of the first replica of a model that is asked for.
func firstReplicaWorth(model *PlanModel) float64 { return missedWorth + demandWorth*model.Demand }

// firstReplicaCost compares engines for a model's first replica: the model's own work costs more
// on an engine that has much.
func (p *planner) firstReplicaCost(model *PlanModel, e *planEngine, evict []string, evictionCost float64) float64 {
	cost := evictionCost + 2*e.work*model.Demand
	return cost + firstReplicaWorth(model)*(1-timely(p.moveTime(e, model, evict)))
}

// moveCost is the least benefit that a further replica is loaded for.
func (p *planner) moveCost(evict []string, fromCopy bool) float64 {
	cost := p.in.MoveCost
	if len(evict) == 0 {
		cost *= freeMemoryCost
	}
	if fromCopy {
		cost *= copyLoadCost
	}
	return cost
}

// benefit is how much the sum of the engines' squared work falls if one more replica of the model
// is loaded on the target.
func (p *planner) benefit(model *PlanModel, target *planEngine, evict []string) float64 {
	replicas := p.replicas[model.Name]
	share := p.share(model.Name, replicas+1)
	relief := p.share(model.Name, replicas) - share
	after := target.work + share
	for _, name := range evict {
		after -= p.share(name, p.replicas[name])
	}
	benefit := target.work*target.work - after*after
	for _, e := range p.affected(target, append(slices.Clone(evict), model.Name)...) {
		after := e.work + p.workIncrease(e, evict)
		if slices.Contains(e.Models, model.Name) {
			after -= relief
		}
		benefit += e.work*e.work - after*after
	}
	return p.addHallBonus(benefit, model, target, evict) - p.lastReplicaCost(evict)
}

// loadHorizon is how far ahead a replica's worth is weighed: one that serves after that time is worth
// half of one that serves at once.
const loadHorizon = 5 * time.Second

// moveTime is how long it takes until the engine serves a model: the last requests of the models that
// make room for it end, and then it is loaded.
func (p *planner) moveTime(e *planEngine, model *PlanModel, evict []string) time.Duration {
	span := e.loadTime(model)
	if len(evict) > 0 {
		span += noticeTime + unloadTime
	}
	if slices.ContainsFunc(evict, func(name string) bool { return e.Running[name] > 0 }) {
		span += drainTime
	}
	return span
}

// timely is the part of a replica's worth that is left, since it serves only after its load.
func timely(load time.Duration) float64 {
	return loadHorizon.Seconds() / (loadHorizon + load).Seconds()
}

// addHallBonus adds the bonus of a first replica in the target's hall to a benefit, and takes that
// of each evicted last replica away.
func (p *planner) addHallBonus(benefit float64, model *PlanModel, target *planEngine, evict []string) float64 {
	if p.hallReplicas[model.Name][target.Hall] == 0 {
		benefit += hallBonus * model.Demand
	}
	for _, name := range evict {
		described := p.models[name]
		if described != nil && p.hallReplicas[name][target.Hall] == 1 {
			benefit -= hallBonus * described.Demand
		}
	}
	return benefit
}

// share is the work that a model brings to each of its engines.
func (p *planner) share(model string, replicas int) float64 {
	described := p.models[model]
	if described == nil || replicas == 0 {
		return 0
	}
	return described.Demand / float64(replicas)
}

// affected lists the engines whose work changes when the models are loaded on the target or
// evicted from it, without the target and without engines that do not count. The list holds until the next call.
func (p *planner) affected(target *planEngine, models ...string) []*planEngine {
	p.lookups++
	target.lookup = p.lookups
	list := p.scratch[:0]
	for _, model := range models {
		for _, e := range p.holders[model] {
			if e.lookup != p.lookups {
				e.lookup = p.lookups
				list = append(list, e)
			}
		}
	}
	p.scratch = list
	return list
}
