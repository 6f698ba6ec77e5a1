package residency

import (
	"slices"
	"time"
)

// Values and costs are in squared engine time: the sum over all engines of their work squared, where work 1 is
// all of one engine's time. Through the square, the same work costs more on an engine that already has much work.

const (
	// requestedModelValue is the value of the first replica of any requested model, in squared engine time.
	requestedModelValue = 0.3
	// demandValue is added to requestedModelValue for each unit of the model's demand.
	demandValue = 3
	// hallBonus is the value of a busy model's first replica in a hall, in squared engine time for each unit
	// of the model's demand: a hall that a network partition cuts off can serve only the models it holds.
	hallBonus = 0.25
	// freeMemoryCost is the fraction of a move's cost that applies if nothing is evicted.
	freeMemoryCost = 0.35
	// copyLoadCost is the fraction of a move's cost that applies to a load from the engine's own copy.
	copyLoadCost = 0.4
)

// firstReplicaValue returns the value of the first replica of a requested model.
func firstReplicaValue(model *PlanModel) float64 {
	return requestedModelValue + demandValue*model.Demand
}

// firstReplicaCost returns the cost by which engines are compared for a model's first replica: the cost of
// the evictions, the growth of the engine's squared work, which is larger on an engine with much work, and
// the value lost until the replica serves.
func (p *planner) firstReplicaCost(model *PlanModel, e *planEngine, evict []string, evictionCost float64) float64 {
	cost := evictionCost + 2*e.work*model.Demand
	return cost + firstReplicaValue(model)*(1-delayDiscount(p.moveTime(e, model, evict)))
}

// moveCost returns the minimum benefit that justifies loading a further replica.
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

// benefit returns how much the sum of the engines' squared work falls if one more replica of the model is
// loaded on the target. It includes the hall bonus and the cost of evicting last replicas.
func (p *planner) benefit(model *PlanModel, target *planEngine, evict []string) float64 {
	replicas := p.replicas[model.Name]
	share := p.workPerReplica(model.Name, replicas+1)
	relief := p.workPerReplica(model.Name, replicas) - share
	after := target.work + share
	for _, name := range evict {
		after -= p.workPerReplica(name, p.replicas[name])
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

// loadHorizon is the delay that halves a replica's value: one that serves only after that time has half the
// value of one that serves at once.
const loadHorizon = 5 * time.Second

// moveTime returns the time until the engine serves a model: the last requests of the evicted models end,
// then the model is loaded.
func (p *planner) moveTime(e *planEngine, model *PlanModel, evict []string) time.Duration {
	span := e.loadTime(model)
	if len(evict) > 0 {
		span += withdrawalDelay + unloadTime
	}
	if slices.ContainsFunc(evict, func(name string) bool { return e.Running[name] > 0 }) {
		span += drainTime
	}
	return span
}

// delayDiscount returns the fraction of a replica's value that is left if it serves only after this time.
func delayDiscount(load time.Duration) float64 {
	return loadHorizon.Seconds() / (loadHorizon + load).Seconds()
}

// addHallBonus adds the bonus for a first replica in the target's hall to a benefit, and subtracts that of
// each evicted last replica in the hall.
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

// workPerReplica returns the work that a model with this number of replicas brings to each engine that holds
// it.
func (p *planner) workPerReplica(model string, replicas int) float64 {
	described := p.models[model]
	if described == nil || replicas == 0 {
		return 0
	}
	return described.Demand / float64(replicas)
}

// affected returns the serving engines, other than the target, whose work changes when the models are loaded
// on the target or evicted from it. The slice is valid until the next call.
func (p *planner) affected(target *planEngine, models ...string) []*planEngine {
	p.affectedCalls++
	target.lastAffectedCall = p.affectedCalls
	list := p.affectedBuffer[:0]
	for _, model := range models {
		for _, e := range p.holders[model] {
			if e.lastAffectedCall != p.affectedCalls {
				e.lastAffectedCall = p.affectedCalls
				list = append(list, e)
			}
		}
	}
	p.affectedBuffer = list
	return list
}
