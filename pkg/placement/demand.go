package placement

import (
	"math"
	"sort"
)

// A unit on an engine above highUtilization gets a further replica on another engine if loadCost falls by more than
// Settings.MoveCost for the load and for each eviction. Demand is in requests in flight, relative to the slots of
// each engine. The cost of an eviction includes the demand that it moves to the remaining replicas, so that replicas
// do not move back and forth.

const (
	// costFreeUtilization is the fraction of an engine's slots up to which demand costs nothing.
	costFreeUtilization = 0.6
	// highUtilization is the fraction of an engine's slots above which replicas are added elsewhere.
	highUtilization = 0.75
	// balancingRounds is the number of rounds in which split balances the demand.
	balancingRounds = 6
	// maxHotEngines bounds the number of engines above highUtilization for which one more replica is
	// considered.
	maxHotEngines = 8
	// minFreeShare is the fraction of an engine's slots that always counts as free, so that every replica
	// gets some demand.
	minFreeShare = 0.05
)

// addReplicasForDemand adds replicas of units on the most utilized engines, as long as the gain exceeds the
// cost of the move. Settings.MaxLoads also bounds the number of additions: a replica that is already
// resident needs no load, so that the bound on loads under way alone would not end the loop.
func (b *builder) addReplicasForDemand() {
	for range b.in.Settings.MaxLoads {
		if !b.mayLoad() || !b.addBestReplica(b.split()) {
			return
		}
	}
}

// load is the demand on the engines, in requests in flight.
type load struct {
	// share is the demand of each unit on each engine, by engine id.
	share map[*unit]map[string]float64
	// total is the demand on each engine, by engine id.
	total map[string]float64
}

// split divides the demand of each unit over its replicas on usable engines, confirmed or not, so that the
// engines are about equally utilized, as they are under routing by estimated wait.
func (b *builder) split() load {
	l := load{share: map[*unit]map[string]float64{}, total: map[string]float64{}}
	units := b.sortedUnits(func(u *unit) bool { return b.carriesDemand(u) })
	for _, u := range units {
		l.share[u] = map[string]float64{}
		ids := b.usableIDs(u)
		for _, id := range ids {
			l.share[u][id] = u.Demand / float64(len(ids))
			l.total[id] += l.share[u][id]
		}
	}
	for range balancingRounds {
		for _, u := range units {
			b.balance(l, u)
		}
	}
	return l
}

// balance moves u's demand halfway towards a split in proportion to the free slots of its engines.
func (b *builder) balance(l load, u *unit) {
	ids := b.usableIDs(u)
	if len(ids) < 2 {
		return
	}
	room := 0.0
	for _, id := range ids {
		room += b.freeSlotsWithout(l, u, id)
	}
	if room == 0 {
		return
	}
	for _, id := range ids {
		aim := u.Demand * b.freeSlotsWithout(l, u, id) / room
		change := (aim - l.share[u][id]) / 2
		l.share[u][id] += change
		l.total[id] += change
	}
}

// freeSlotsWithout returns the number of free slots on an engine if u's demand is left out. It is never 0.
func (b *builder) freeSlotsWithout(l load, u *unit, id string) float64 {
	slots := float64(max(1, b.engines[id].Slots))
	return max(minFreeShare*slots, slots-(l.total[id]-l.share[u][id]))
}

// addBestReplica adds the replica with the highest gain for the most utilized engine that has one, and
// reports whether there was one.
func (b *builder) addBestReplica(l load) bool {
	for _, hot := range b.hotEngines(l) {
		var best addition
		for _, u := range hot.sortedUnits() {
			if !b.carriesDemand(u) || l.share[u][hot.ID] == 0 {
				continue
			}
			if a := b.bestTarget(l, hot, u); a.gain > best.gain {
				best = a
			}
		}
		if best.unit == nil {
			continue
		}
		for _, evicted := range best.evictions {
			b.removeReplica(evicted, best.target)
		}
		b.addReplica(best.unit, best.target)
		return true
	}
	return false
}

// addition is a further replica with its evictions and its gain.
type addition struct {
	unit      *unit
	target    *engine
	evictions []*unit
	// gain is the fall of loadCost less the cost of the moves.
	gain float64
}

// bestTarget returns the addition of u on the engine with the highest gain. Its unit is nil if no gain
// exceeds the cost of the moves.
func (b *builder) bestTarget(l load, hot *engine, u *unit) addition {
	var best addition
	for _, e := range b.sortedEngines {
		if !b.accepts(e, u) || b.utilization(l, e) >= b.utilization(l, hot) {
			continue
		}
		evictions, ok := b.roomFor(u, e)
		if !ok {
			continue
		}
		gain := b.gain(l, hot, e, u, evictions) - b.in.Settings.MoveCost*float64(1+len(evictions))
		if gain > best.gain {
			best = addition{unit: u, target: e, evictions: evictions, gain: gain}
		}
	}
	return best
}

// gain returns the fall of loadCost if hot shares u's demand with e in the best proportion.
func (b *builder) gain(l load, hot, e *engine, u *unit, evictions []*unit) float64 {
	hotSlots, slots := float64(max(1, hot.Slots)), float64(max(1, e.Slots))
	hotLoadNow, loadNow := l.total[hot.ID], l.total[e.ID]
	for _, evicted := range evictions {
		loadNow -= l.share[evicted][e.ID]
	}
	// The cost is lowest if both engines are equally utilized.
	moved := (hotLoadNow*slots - loadNow*hotSlots) / (hotSlots + slots)
	moved = max(0, min(moved, l.share[u][hot.ID]))
	before := loadCost(hotLoadNow, hotSlots) + loadCost(loadNow, slots)
	after := loadCost(hotLoadNow-moved, hotSlots) + loadCost(loadNow+moved, slots)
	for _, evicted := range evictions {
		after += b.evictionCost(l, evicted, e)
	}
	return before - after
}

// evictionCost returns the growth of loadCost on the engines of u's other replicas if the replica on e is
// evicted.
func (b *builder) evictionCost(l load, u *unit, e *engine) float64 {
	ids := b.usableIDs(u)
	if len(ids) < 2 {
		return 0
	}
	growth := 0.0
	extra := l.share[u][e.ID] / float64(len(ids)-1)
	for _, id := range ids {
		if id != e.ID {
			slots := float64(max(1, b.engines[id].Slots))
			growth += loadCost(l.total[id]+extra, slots) - loadCost(l.total[id], slots)
		}
	}
	return growth
}

// loadCost returns the cost of the demand on an engine with this number of slots. It is 0 up to
// costFreeUtilization; above, it is the square of the excess fraction, times the slots.
func loadCost(load, slots float64) float64 {
	over := max(0, load/slots-costFreeUtilization)
	return over * over * slots
}

// hotEngines returns the engines above highUtilization, most utilized first, at most maxHotEngines of them.
func (b *builder) hotEngines(l load) []*engine {
	var hot []*engine
	for _, e := range b.sortedEngines {
		if b.utilization(l, e) > highUtilization {
			hot = append(hot, e)
		}
	}
	sort.SliceStable(hot, func(i, j int) bool { return b.utilization(l, hot[i]) > b.utilization(l, hot[j]) })
	return hot[:min(len(hot), maxHotEngines)]
}

// utilization returns the demand on an engine as a fraction of its slots. It is infinite for an engine that
// is not usable.
func (b *builder) utilization(l load, e *engine) float64 {
	if e.Condition != Usable {
		return math.Inf(1)
	}
	return l.total[e.ID] / float64(max(1, e.Slots))
}

// carriesDemand reports whether requests are sent to u, now or once it is loaded.
func (b *builder) carriesDemand(u *unit) bool { return u.wanted && u.Demand > 0 }
