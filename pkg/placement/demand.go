package placement

import (
	"math"
	"sort"
)

// When a replica is worth a move: an engine above hotLoad gets one of its units a further replica
// elsewhere if loadCost falls by more than Settings.MoveCost for the load and for each eviction.
// Loads are in requests in flight, weighed against the slots of each engine. Evictions count with
// the load that they push onto the replicas left, so that replicas do not go to and fro.

const (
	// calmLoad is the share of an engine's slots up to which load costs nothing.
	calmLoad = 0.6
	// hotLoad is the share of an engine's slots above which replicas are added.
	hotLoad = 0.75
	// splitRounds is the number of rounds that even out the split of demand.
	splitRounds = 6
	// hottestTried is the number of hot engines tried for one more replica.
	hottestTried = 8
	// leastRoom is the share of an engine's slots that is always counted as free, so that no
	// replica's part falls to nothing.
	leastRoom = 0.05
)

// followDemand adds replicas of the units that load the hottest engines, as long as the relief
// is worth more than the move. A replica that is resident already needs no load, so that the
// loads under way alone would not bound the additions.
func (b *builder) followDemand() {
	for range b.in.Settings.MaxLoads {
		if !b.mayLoad() || !b.addBestReplica(b.split()) {
			return
		}
	}
}

// load is the demand on the engines, in requests in flight.
type load struct {
	// share is the demand of one unit on one engine, by engine id.
	share map[*unit]map[string]float64
	// total is the demand on one engine, by engine id.
	total map[string]float64
}

// split divides each unit's demand over its replicas, confirmed or not, so that engines get
// even, as routing by estimated wait does.
func (b *builder) split() load {
	l := load{share: map[*unit]map[string]float64{}, total: map[string]float64{}}
	units := b.sorted(func(u *unit) bool { return b.carriesDemand(u) })
	for _, u := range units {
		l.share[u] = map[string]float64{}
		ids := b.usableIDs(u)
		for _, id := range ids {
			l.share[u][id] = u.Demand / float64(len(ids))
			l.total[id] += l.share[u][id]
		}
	}
	for range splitRounds {
		for _, u := range units {
			b.evenOut(l, u)
		}
	}
	return l
}

// evenOut moves u's demand halfway towards its least loaded replicas.
func (b *builder) evenOut(l load, u *unit) {
	ids := b.usableIDs(u)
	if len(ids) < 2 {
		return
	}
	room := 0.0
	for _, id := range ids {
		room += b.slotsLeftBeside(l, u, id)
	}
	if room == 0 {
		return
	}
	for _, id := range ids {
		aim := u.Demand * b.slotsLeftBeside(l, u, id) / room
		change := (aim - l.share[u][id]) / 2
		l.share[u][id] += change
		l.total[id] += change
	}
}

// slotsLeftBeside is the number of slots that an engine has left beside u, never none.
func (b *builder) slotsLeftBeside(l load, u *unit, id string) float64 {
	slots := float64(max(1, b.engines[id].Slots))
	return max(leastRoom*slots, slots-(l.total[id]-l.share[u][id]))
}

// addBestReplica adds the replica that relieves the hottest engine most, and reports whether one
// was worth a move.
func (b *builder) addBestReplica(l load) bool {
	for _, hot := range b.hottest(l) {
		var best addition
		for _, u := range hot.sorted() {
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
			b.remove(evicted, best.target)
		}
		b.add(best.unit, best.target)
		return true
	}
	return false
}

// addition is one more replica and its gain.
type addition struct {
	unit      *unit
	target    *engine
	evictions []*unit
	// gain is the fall of loadCost less the cost of the moves.
	gain float64
}

// bestTarget is the engine that gains most from one more replica of u; its unit is nil if no
// gain exceeds the cost of the moves.
func (b *builder) bestTarget(l load, hot *engine, u *unit) addition {
	var best addition
	for _, e := range b.order {
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

// gain is the fall of loadCost when u's demand on hot is shared with e in the best proportion.
func (b *builder) gain(l load, hot, e *engine, u *unit, evictions []*unit) float64 {
	hotSlots, slots := float64(max(1, hot.Slots)), float64(max(1, e.Slots))
	hotLoadNow, loadNow := l.total[hot.ID], l.total[e.ID]
	for _, evicted := range evictions {
		loadNow -= l.share[evicted][e.ID]
	}
	// Equal utilization of both costs least.
	moved := (hotLoadNow*slots - loadNow*hotSlots) / (hotSlots + slots)
	moved = max(0, min(moved, l.share[u][hot.ID]))
	before := loadCost(hotLoadNow, hotSlots) + loadCost(loadNow, slots)
	after := loadCost(hotLoadNow-moved, hotSlots) + loadCost(loadNow+moved, slots)
	for _, evicted := range evictions {
		after += b.crowding(l, evicted, e)
	}
	return before - after
}

// crowding is the growth of loadCost at u's other replicas when the one on e goes.
func (b *builder) crowding(l load, u *unit, e *engine) float64 {
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

// loadCost is the cost of a load on an engine of so many slots: none up to calmLoad, then the
// square of the excess share, times the slots.
func loadCost(load, slots float64) float64 {
	over := max(0, load/slots-calmLoad)
	return over * over * slots
}

// hottest lists the engines above hotLoad, hottest first.
func (b *builder) hottest(l load) []*engine {
	var hot []*engine
	for _, e := range b.order {
		if b.utilization(l, e) > hotLoad {
			hot = append(hot, e)
		}
	}
	sort.SliceStable(hot, func(i, j int) bool { return b.utilization(l, hot[i]) > b.utilization(l, hot[j]) })
	return hot[:min(len(hot), hottestTried)]
}

// utilization is an engine's load as a share of its slots, without bound if it is not usable.
func (b *builder) utilization(l load, e *engine) float64 {
	if e.Condition != Usable {
		return math.Inf(1)
	}
	return l.total[e.ID] / float64(max(1, e.Slots))
}

// carriesDemand reports whether requests go to these weights, now or once they are loaded.
func (b *builder) carriesDemand(u *unit) bool { return u.wanted && u.Demand > 0 }
