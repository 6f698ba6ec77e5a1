package residency

import "slices"

// reservedStoreLoads is the number of loads from the weight store that are reserved for requested models.
const reservedStoreLoads = 3

// idleReplica returns the move that loads an idle model that no engine holds or keeps a copy of, while at
// least reservedStoreLoads loads are left. An idle model with a copy is loaded only when it is requested.
func (p *planner) idleReplica() (Move, bool) {
	if p.storeLoads < reservedStoreLoads {
		return Move{}, false
	}
	return p.firstReplica(func(model *PlanModel) bool { return model.idle() && !p.anyCopy(model.Name) }, p.storeLoads)
}

// anyCopy reports whether any serving engine keeps a copy of a model.
func (p *planner) anyCopy(model string) bool {
	return slices.ContainsFunc(p.engines, func(e *planEngine) bool { return e.serves() && e.hasCopy(model) })
}
