package residency

import (
	"cmp"
	"slices"
	"strings"
)

// firstReplica returns the move that loads a model without a replica, among the models that the filter
// accepts: missed models first, then by demand. storeLoads is the number of loads that may come from the
// weight store.
func (p *planner) firstReplica(filter func(*PlanModel) bool, storeLoads int) (Move, bool) {
	for _, model := range p.missing(filter) {
		if move, ok := p.placeFirstReplica(model, storeLoads); ok {
			return move, true
		}
	}
	return Move{}, false
}

// missing returns the models without a replica that the filter accepts, most needed first.
func (p *planner) missing(filter func(*PlanModel) bool) []*PlanModel {
	var missing []*PlanModel
	for _, model := range p.models {
		if p.replicasFor(model) == 0 && filter(model) {
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
	if !model.restricts() {
		return p.replicas[model.Name]
	}
	count := 0
	for _, e := range p.holders[model.Name] {
		if model.allows(e.Hall, e.SoftwareVersion) {
			count++
		}
	}
	return count
}

// minStoreDemand is the demand from which a model's first replica may be loaded from the weight store
// although an engine keeps a copy.
const minStoreDemand = 0.3

// placeFirstReplica returns the move that loads a model's first replica on the engine where it costs least.
func (p *planner) placeFirstReplica(model *PlanModel, storeLoads int) (Move, bool) {
	var best Move
	bestCost, found := 0.0, false
	if model.Demand < minStoreDemand && p.anyCopy(model.Name) {
		storeLoads = 0 // An engine that keeps a copy is free sooner than a load from the weight store is done.
	}
	targets := p.targets()
	if model.restricts() {
		// The requests may be restricted to few engines, and targets may leave these out.
		targets = p.engines
	}
	for _, e := range targets {
		if !p.acceptsMove(e, model, storeLoads) || !model.allows(e.Hall, e.SoftwareVersion) {
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
