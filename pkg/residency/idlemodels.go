package residency

import "slices"

// reservedStoreLoads is how many loads from the weight store are left to models that are asked for.
const reservedStoreLoads = 3

// idleReplica loads a model that nobody asks for, and that no engine holds or keeps a copy of, while at
// least reservedStoreLoads loads are left. One with a copy is loaded when it is asked for.
func (p *planner) idleReplica() (Move, bool) {
	if p.storeLoads < reservedStoreLoads {
		return Move{}, false
	}
	return p.firstReplica(func(model *PlanModel) bool { return model.idle() && !p.anyCopy(model.Name) }, p.storeLoads)
}

// anyCopy reports whether an engine that counts keeps a copy of a model.
func (p *planner) anyCopy(model string) bool {
	return slices.ContainsFunc(p.engines, func(e *planEngine) bool { return e.counts() && e.hasCopy(model) })
}
