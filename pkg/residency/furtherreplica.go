package residency

import (
	"cmp"
	"slices"
	"strings"
)

// furtherReplica returns the move that adds the replica with the highest benefit for balancing work across
// engines, if the benefit exceeds its cost.
func (p *planner) furtherReplica() (Move, bool) {
	var best Move
	targets := p.targets()
	for _, model := range p.busiest() {
		for _, e := range targets {
			if !p.acceptsMove(e, model, p.storeLoads) {
				continue
			}
			evict, ok := p.makeRoom(e, model)
			if !ok {
				continue
			}
			benefit := delayDiscount(p.moveTime(e, model, evict))*p.benefit(model, e, evict) - p.moveCost(evict, e.hasCopy(model.Name))
			if benefit > best.Benefit {
				best = newMove(e, model, evict, "demand")
				best.Benefit = benefit
			}
		}
	}
	return best, best.Model != ""
}

// maxBusiest bounds the number of models for which a further replica is considered.
const maxBusiest = 12

// busiest returns the held models with the most work per replica, busiest first.
func (p *planner) busiest() []*PlanModel {
	var busy []*PlanModel
	for _, model := range p.models {
		if model.Demand > 0 && p.replicas[model.Name] > 0 {
			busy = append(busy, model)
		}
	}
	slices.SortFunc(busy, func(a, b *PlanModel) int {
		return cmp.Or(
			cmp.Compare(p.workPerReplica(b.Name, p.replicas[b.Name]), p.workPerReplica(a.Name, p.replicas[a.Name])),
			strings.Compare(a.Name, b.Name))
	})
	return busy[:min(len(busy), maxBusiest)]
}
