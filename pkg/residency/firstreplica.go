package residency

import (
	"cmp"
	"slices"
	"strings"
)

// firstReplica loads a model of some kind that no engine holds: missed models first, then by
// demand. storeLoads is how many loads from the weight store may be used.
func (p *planner) firstReplica(kind func(*PlanModel) bool, storeLoads int) (Move, bool) {
	for _, model := range p.missing(kind) {
		if move, ok := p.placeFirst(model, storeLoads); ok {
			return move, true
		}
	}
	return Move{}, false
}

// missing lists the models of some kind that no engine holds, most needed first.
func (p *planner) missing(kind func(*PlanModel) bool) []*PlanModel {
	var missing []*PlanModel
	for _, model := range p.models {
		if p.replicasFor(model) == 0 && kind(model) {
			missing = append(missing, model)
		}
	}
	slices.SortFunc(missing, func(a, b *PlanModel) int {
		if a.Missed != b.Missed {
			if a.Missed {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), strings.Compare(a.Name, b.Name))
	})
	return missing
}

// replicasFor counts the replicas that may serve the requests for which the model was missed.
func (p *planner) replicasFor(model *PlanModel) int {
	if len(model.Halls) == 0 {
		return p.replicas[model.Name]
	}
	count := 0
	for _, hall := range model.Halls {
		count += p.hallReplicas[model.Name][hall]
	}
	return count
}

// storeDemand is the demand from which a model's first replica may come from the weight store though an
// engine keeps a copy.
const storeDemand = 0.3

// placeFirst chooses the engine where a model's first replica costs least.
func (p *planner) placeFirst(model *PlanModel, storeLoads int) (Move, bool) {
	var best Move
	bestCost, found := 0.0, false
	if model.Demand < storeDemand && p.anyCopy(model.Name) {
		storeLoads = 0 // An engine that has a copy is free sooner than a load from the store is done.
	}
	targets := p.targets()
	if len(model.Halls) > 0 {
		targets = p.engines // Those that it is bound to may be few.
	}
	for _, e := range targets {
		if !p.mayTake(e, model, storeLoads) || len(model.Halls) > 0 && !slices.Contains(model.Halls, e.Hall) {
			continue
		}
		evict, ok := p.makeRoom(e, model)
		if !ok {
			continue
		}
		evictionCost := p.evictionCost(e, evict)
		if evictionCost > maxEvictionCost(model) {
			continue
		}
		cost := p.firstReplicaCost(model, e, evict, evictionCost)
		if !found || cost < bestCost {
			best, bestCost, found = newMove(e, model, evict, "no engine holds it"), cost, true
		}
	}
	return best, found
}

func newMove(e *planEngine, model *PlanModel, evict []string, reason string) Move {
	return Move{
		Engine:    e.ID,
		Model:     model.Name,
		Evictions: evict,
		FromCopy:  e.hasCopy(model.Name),
		LoadTime:  e.loadTime(model),
		Reason:    reason,
	}
}
