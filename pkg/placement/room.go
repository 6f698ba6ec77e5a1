package placement

import "sort"

// roomFor returns the units whose replicas on e must be evicted for u to fit, least demand first. It returns
// false if u cannot fit or may not be placed on e.
func (b *builder) roomFor(u *unit, e *engine) (evictions []*unit, ok bool) {
	if !b.accepts(e, u) {
		return nil, false
	}
	free := e.free
	if free >= u.Bytes() {
		return nil, true
	}
	candidates := e.sortedUnits()
	sort.SliceStable(candidates, func(i, j int) bool {
		return candidates[i].demandPerReplica() < candidates[j].demandPerReplica()
	})
	for _, other := range candidates {
		if !b.droppable(other, e) {
			continue
		}
		evictions = append(evictions, other)
		free += other.Bytes()
		if free >= u.Bytes() {
			return evictions, true
		}
	}
	return nil, false
}

// bestWithoutEviction returns the best engine that can take u without evictions, or nil. It prefers an
// engine that holds u already, then one in a hall without a replica of u, then the one with the most free
// memory.
func (b *builder) bestWithoutEviction(u *unit) *engine {
	halls := b.hallsOf(u)
	var best *engine
	for _, e := range b.sortedEngines {
		if !b.accepts(e, u) || e.free < u.Bytes() {
			continue
		}
		if best == nil || b.betterWithoutEviction(u, e, best, halls) {
			best = e
		}
	}
	return best
}

// betterWithoutEviction reports whether e is better for u than best, in the sense of bestWithoutEviction.
func (b *builder) betterWithoutEviction(u *unit, e, best *engine, halls map[string]bool) bool {
	if held, bestHeld := e.holds(u), best.holds(u); held != bestHeld {
		return held
	}
	if halls[e.Hall] != halls[best.Hall] {
		return !halls[e.Hall]
	}
	return e.free > best.free
}

// accepts reports whether a new replica of u may be placed on e, regardless of memory.
func (b *builder) accepts(e *engine, u *unit) bool {
	return e.Condition == Usable && e.Pool == u.Pool && !u.plannedOn(e.ID)
}

// mayLoad reports whether the fleet may have one more load under way.
func (b *builder) mayLoad() bool { return b.pendingLoads < b.in.Settings.MaxLoads }

// carriedDemand returns the sum of the demand on one replica of each unit.
func (b *builder) carriedDemand(units []*unit) float64 {
	demand := 0.0
	for _, u := range units {
		demand += u.demandPerReplica()
	}
	return demand
}

// placeFirstReplica adds the first replica of u on the engine that betterForFirstReplica prefers. It returns
// false if no engine can take u. It returns true without adding a replica if no more loads may be under way
// now.
func (b *builder) placeFirstReplica(u *unit) bool {
	if !b.mayLoad() {
		return true // A later plan adds it, when loads under way have ended.
	}
	var best *engine
	var bestEvictions []*unit
	for _, e := range b.sortedEngines {
		evictions, ok := b.roomFor(u, e)
		if ok && (best == nil || b.betterForFirstReplica(u, e, evictions, best, bestEvictions)) {
			best, bestEvictions = e, evictions
		}
	}
	if best == nil {
		return false
	}
	for _, evicted := range bestEvictions {
		b.removeReplica(evicted, best)
	}
	b.addReplica(u, best)
	return true
}

// betterForFirstReplica reports whether e is better for a first replica than best. The criteria are, in this
// order: it holds u already, its evictions lose less demand, it has fewer evictions, it has more free
// memory.
func (b *builder) betterForFirstReplica(u *unit, e *engine, evictions []*unit, best *engine, bestEvictions []*unit) bool {
	if held, bestHeld := e.holds(u), best.holds(u); held != bestHeld {
		return held
	}
	if lost, bestLost := b.carriedDemand(evictions), b.carriedDemand(bestEvictions); lost != bestLost {
		return lost < bestLost
	}
	if len(evictions) != len(bestEvictions) {
		return len(evictions) < len(bestEvictions)
	}
	return e.free > best.free
}

// bestFit returns the engine with the least free memory on which u fits, or nil. Large free areas are left
// for large units.
func (b *builder) bestFit(u *unit) *engine {
	var best *engine
	for _, e := range b.sortedEngines {
		if b.accepts(e, u) && e.free >= u.Bytes() && (best == nil || e.free < best.free) {
			best = e
		}
	}
	return best
}
