package residency

// reservedStoreLoads is how many loads from the weight store are left to models that are asked for.
// Chosen. Measured only with the rest of commit 716f2f0: mean worth 0.647 to 0.672 on mk-ospreymoor,
// 0.692 to 0.703 on sv-airmaps; 0.674 to 0.668, within the noise, in twelve later runs of the first.
const reservedStoreLoads = 3

// idleReplica loads a model that nobody asks for and no engine holds: from an engine's disk, or
// from the weight store while at least reservedStoreLoads loads are left.
func (p *planner) idleReplica() (Move, bool) {
	storeLoads := p.storeLoads
	if storeLoads < reservedStoreLoads {
		storeLoads = 0
	}
	return p.firstReplica((*PlanModel).idle, storeLoads)
}
