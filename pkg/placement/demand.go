package placement

import (
	"math"
	"sort"
)

const (
	// calmLoad is the share of an engine's slots above which load begins to cost.
	calmLoad = 0.6
	// hotLoad is the share of an engine's slots above which copies are added.
	hotLoad = 0.75
	// splitRounds is how often the split of demand over copies is evened out.
	splitRounds = 6
	// hottestTried is how many hot engines are tried for one more copy.
	hottestTried = 8
)

// followDemand adds copies of the units that load the hottest engines, as long as the relief
// is worth more than the move. A copy that is resident already needs no load, so that the
// loads under way alone would not bound the additions.
func (b *builder) followDemand() {
	for range b.in.Settings.Pending {
		if !b.mayLoad() || !b.addBestCopy(b.split()) {
			return
		}
	}
}

// load is how demand falls on the engines.
type load struct {
	// share is the demand of one unit on one engine.
	share map[*unit]map[string]float64
	// total is the demand on one engine.
	total map[string]float64
}

// split divides each unit's demand over its complete or planned copies so that
// engines get even, as routing by estimated wait does.
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

// evenOut moves u's demand halfway towards its least loaded copies.
func (b *builder) evenOut(l load, u *unit) {
	ids := b.usableIDs(u)
	if len(ids) < 2 {
		return
	}
	room := 0.0
	for _, id := range ids {
		room += b.roomWithout(l, u, id)
	}
	if room == 0 {
		return
	}
	for _, id := range ids {
		aim := u.Demand * b.roomWithout(l, u, id) / room
		change := (aim - l.share[u][id]) / 2
		l.share[u][id] += change
		l.total[id] += change
	}
}

// roomWithout is the slots that an engine has left beside u, never quite none.
func (b *builder) roomWithout(l load, u *unit, id string) float64 {
	const leastRoom = 0.05
	slots := float64(max(1, b.engines[id].Slots))
	return max(leastRoom*slots, slots-(l.total[id]-l.share[u][id]))
}

// addBestCopy adds the copy that relieves a hot engine most, and tells whether one was worth it.
func (b *builder) addBestCopy(l load) bool {
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

// addition is one more copy and what it would gain.
type addition struct {
	unit      *unit
	target    *engine
	evictions []*unit
	// gain is relieved load less the cost of the move.
	gain float64
}

func (b *builder) bestTarget(l load, hot *engine, u *unit) addition {
	var best addition
	for _, e := range b.order {
		if !b.accepts(e, u) || b.used(l, e) >= b.used(l, hot) {
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

// gain is how much cost falls when u's demand on hot is shared with e in the best proportion.
func (b *builder) gain(l load, hot, e *engine, u *unit, evictions []*unit) float64 {
	hotSlots, slots := float64(max(1, hot.Slots)), float64(max(1, e.Slots))
	hotLoadNow, loadNow := l.total[hot.ID], l.total[e.ID]
	for _, evicted := range evictions {
		loadNow -= l.share[evicted][e.ID]
	}
	// Equal use of both is cheapest.
	moved := (hotLoadNow*slots - loadNow*hotSlots) / (hotSlots + slots)
	moved = max(0, min(moved, l.share[u][hot.ID]))
	before := cost(hotLoadNow, hotSlots) + cost(loadNow, slots)
	after := cost(hotLoadNow-moved, hotSlots) + cost(loadNow+moved, slots)
	for _, evicted := range evictions {
		after += b.crowding(l, evicted, e)
	}
	return before - after
}

// crowding is how much cost grows on u's other copies when the one on e goes.
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
			growth += cost(l.total[id]+extra, slots) - cost(l.total[id], slots)
		}
	}
	return growth
}

// cost of a load on an engine: none while calm, then growing with its square.
func cost(load, slots float64) float64 {
	over := max(0, load/slots-calmLoad)
	return over * over * slots
}

// hottest lists the engines above hotLoad, hottest first.
func (b *builder) hottest(l load) []*engine {
	var hot []*engine
	for _, e := range b.order {
		if b.used(l, e) > hotLoad {
			hot = append(hot, e)
		}
	}
	sort.SliceStable(hot, func(i, j int) bool { return b.used(l, hot[i]) > b.used(l, hot[j]) })
	return hot[:min(len(hot), hottestTried)]
}

func (b *builder) used(l load, e *engine) float64 {
	if e.Condition != Usable {
		return math.Inf(1)
	}
	return l.total[e.ID] / float64(max(1, e.Slots))
}

// carriesDemand tells whether requests go to these weights, now or once they are loaded.
func (b *builder) carriesDemand(u *unit) bool { return u.wanted && u.Demand > 0 }

func (b *builder) usableIDs(u *unit) []string {
	var ids []string
	for _, e := range b.order {
		if u.onEngine(e.ID) && e.Condition == Usable {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
