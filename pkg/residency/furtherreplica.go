package residency

import (
	"cmp"
	"slices"
	"strings"
)

// furtherReplica adds the replica that evens out the engines' work most, if it is worth its cost.
func (p *planner) furtherReplica() (Move, bool) {
	var best Move
	targets := p.targets()
	for _, model := range p.busiest() {
		for _, e := range targets {
			if !p.mayTake(e, model, p.storeLoads) {
				continue
			}
			evict, ok := p.makeRoom(e, model)
			if !ok {
				continue
			}
			benefit := timely(p.moveTime(e, model, evict))*p.benefit(model, e, evict) - p.moveCost(evict, e.hasCopy(model.Name))
			if benefit > best.Benefit {
				best = newMove(e, model, evict, "demand")
				best.Benefit = benefit
			}
		}
	}
	return best, best.Model != ""
}

// maxBusiest bounds how many models are tried for one more replica.
const maxBusiest = 12

// busiest lists the held models with the most work on each of their engines, busiest first.
func (p *planner) busiest() []*PlanModel {
	var busy []*PlanModel
	for _, model := range p.models {
		if model.Demand > 0 && p.replicas[model.Name] > 0 {
			busy = append(busy, model)
		}
	}
	slices.SortFunc(busy, func(a, b *PlanModel) int {
		return cmp.Or(
			cmp.Compare(p.share(b.Name, p.replicas[b.Name]), p.share(a.Name, p.replicas[a.Name])),
			strings.Compare(a.Name, b.Name))
	})
	return busy[:min(len(busy), maxBusiest)]
}
