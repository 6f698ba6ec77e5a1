package placement

import "sort"

// roomFor lists the replicas that e must drop for u to fit, least demand first; false if it can't.
func (b *builder) roomFor(u *unit, e *engine) (evictions []*unit, ok bool) {
	if !b.accepts(e, u) {
		return nil, false
	}
	free := e.free
	if free >= u.Bytes() {
		return nil, true
	}
	candidates := e.sorted()
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

// roomiest is the engine with most free memory that can take u without evictions, nil if none.
// An engine that holds u already comes first, then one in a hall without a replica.
func (b *builder) roomiest(u *unit) *engine {
	halls := b.hallsOf(u)
	var best *engine
	for _, e := range b.order {
		if !b.accepts(e, u) || e.free < u.Bytes() {
			continue
		}
		if best == nil || b.roomier(u, e, best, halls) {
			best = e
		}
	}
	return best
}

// roomier reports whether e is a better place for u than best, by the order of roomiest.
func (b *builder) roomier(u *unit, e, best *engine, halls map[string]bool) bool {
	if held, bestHeld := e.holds(u), best.holds(u); held != bestHeld {
		return held
	}
	if halls[e.Hall] != halls[best.Hall] {
		return !halls[e.Hall]
	}
	return e.free > best.free
}

// accepts reports whether a new replica of u may go to e, memory aside.
func (b *builder) accepts(e *engine, u *unit) bool {
	return e.Condition == Usable && e.Pool == u.Pool && !u.plannedOn(e.ID)
}

// mayLoad reports whether one more load may be under way in the fleet.
func (b *builder) mayLoad() bool { return b.pending < b.in.Settings.MaxLoads }

// carriedDemand is the demand that one replica of each unit carries.
func (b *builder) carriedDemand(units []*unit) float64 {
	demand := 0.0
	for _, u := range units {
		demand += u.demandPerReplica()
	}
	return demand
}

// placeFirst adds the first replica of u on the engine where least has to give way. It reports
// false if no engine can take it, and true if its turn has not come yet.
func (b *builder) placeFirst(u *unit) bool {
	if !b.mayLoad() {
		return true // The turn comes when the loads under way are done.
	}
	var best *engine
	var bestEvictions []*unit
	for _, e := range b.order {
		evictions, ok := b.roomFor(u, e)
		if ok && (best == nil || b.betterFirst(u, e, evictions, best, bestEvictions)) {
			best, bestEvictions = e, evictions
		}
	}
	if best == nil {
		return false
	}
	for _, evicted := range bestEvictions {
		b.remove(evicted, best)
	}
	b.add(u, best)
	return true
}

// betterFirst reports whether e is a better place for a first replica than best: it holds u
// already, loses less demand, drops fewer replicas, or has more free memory, in this order.
func (b *builder) betterFirst(u *unit, e *engine, evictions []*unit, best *engine, bestEvictions []*unit) bool {
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

// tightest is the engine with least free memory that takes u, so that large gaps stay.
func (b *builder) tightest(u *unit) *engine {
	var best *engine
	for _, e := range b.order {
		if b.accepts(e, u) && e.free >= u.Bytes() && (best == nil || e.free < best.free) {
			best = e
		}
	}
	return best
}
