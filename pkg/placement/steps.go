package placement

import (
	"sort"
	"time"
)

// carryOver takes over the last plan's replicas on engines that still exist.
func (b *builder) carryOver() {
	for _, placed := range b.in.Last.Units {
		u := b.units[placed.Item.Name]
		if u == nil {
			u = &unit{Unit: placed.Unit, retired: placed.Retired, replicas: map[string]int64{}}
			b.units[placed.Item.Name] = u
		}
		for _, place := range placed.Places {
			if e := b.engines[place.Engine]; e != nil {
				b.addReplicaSince(u, e, place.Since)
			}
		}
	}
}

// switchServing makes new weights serve once they have as many confirmed replicas as the old ones, and at
// least one. Weights of a model that has no old ones serve at once.
func (b *builder) switchServing() {
	for _, u := range b.sortedUnits(func(u *unit) bool { return u.wanted }) {
		old := b.units[b.in.Last.Serving[u.Model]]
		if old == nil || old == u || b.confirmedReplicas(u) >= max(1, b.confirmedReplicas(old)) {
			b.serving[u.Model] = u.Item.Name
		} else {
			b.serving[u.Model] = old.Item.Name
		}
	}
}

// dropRetired removes units that have been neither wanted nor serving for Settings.RetireAfter.
func (b *builder) dropRetired() {
	for name, u := range b.units {
		if !b.idle(u) {
			u.retired = time.Time{}
			continue
		}
		if u.retired.IsZero() {
			u.retired = b.in.Now
		}
		if b.in.Now.Sub(u.retired) < b.in.Settings.RetireAfter {
			continue
		}
		for id := range u.replicas {
			b.removeReplica(u, b.engines[id])
		}
		delete(b.units, name)
	}
}

// dropLeaving removes replicas from leaving engines if their units are confirmed elsewhere.
func (b *builder) dropLeaving() {
	for _, e := range b.sortedEngines {
		if e.Condition != Leaving {
			continue
		}
		for _, u := range e.sortedUnits() {
			if b.droppable(u, e) {
				b.removeReplica(u, e)
			}
		}
	}
}

// placeMissing adds a replica of each unit that has none on a usable engine, largest unit first.
func (b *builder) placeMissing() {
	missing := b.sortedUnits(func(u *unit) bool { return b.usableReplicas(u) == 0 })
	sort.SliceStable(missing, func(i, j int) bool { return missing[i].Bytes() > missing[j].Bytes() })
	for _, u := range missing {
		if !b.placeFirstReplica(u) {
			b.replicateBlocker(u)
		}
	}
}

// replaceOld replaces old replicas by new weights, one by one on the same engines, until both have the same
// number; then switchServing makes the new weights serve. Adding all new replicas beside the old ones first
// got stuck when memory was tight.
func (b *builder) replaceOld() {
	for _, u := range b.sortedUnits(func(u *unit) bool { return u.wanted && b.serving[u.Model] != u.Item.Name }) {
		old := b.units[b.serving[u.Model]]
		if old == nil || len(u.replicas) >= len(old.replicas) || b.confirmedReplicas(u) < len(u.replicas) || !b.mayLoad() {
			continue
		}
		for _, e := range b.sortedEngines {
			if old.plannedOn(e.ID) && b.accepts(e, u) && b.droppable(old, e) && e.free+old.Bytes() >= u.Bytes() {
				b.removeReplica(old, e)
				b.addReplica(u, e)
				break
			}
		}
	}
}

// spread adds replicas up to Settings.Replicas to each wanted unit, where memory is free.
func (b *builder) spread() {
	for replicas := 1; replicas < b.in.Settings.Replicas; replicas++ {
		candidates := b.sortedUnits(func(u *unit) bool { return u.wanted && b.usableReplicas(u) == replicas })
		sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].Demand > candidates[j].Demand })
		for _, u := range candidates {
			e := b.bestWithoutEviction(u)
			if e != nil && b.mayLoad() {
				b.addReplica(u, e)
			}
		}
	}
	b.spreadHalls()
}

// spreadHalls adds a replica in another hall to units whose replicas are all in one hall, where memory is
// free. The first replicas may have been placed while other halls did not answer.
func (b *builder) spreadHalls() {
	if b.in.Settings.Replicas < 2 {
		return
	}
	for _, u := range b.sortedUnits(func(u *unit) bool { return u.wanted && len(u.replicas) > 0 }) {
		halls := b.hallsOf(u)
		if e := b.bestWithoutEviction(u); len(halls) == 1 && e != nil && !halls[e.Hall] && b.mayLoad() {
			b.addReplica(u, e)
		}
	}
}

// relieveOverfull removes replicas from engines whose plan exceeds their memory. If a replica may not be
// removed yet, it adds one on another engine, so that a later plan can remove the first.
func (b *builder) relieveOverfull() {
	for _, e := range b.sortedEngines {
		for _, u := range e.sortedUnits() {
			if e.free >= 0 {
				break
			}
			if b.droppable(u, e) {
				b.removeReplica(u, e)
			} else if target := b.bestWithoutEviction(u); target != nil && b.mayLoad() {
				b.addReplica(u, target)
			}
		}
	}
}

// replicateBlocker adds, on another engine, a replica of one unit that blocks u. Once that replica is
// confirmed, the blocking one is droppable and makes room for u in a later plan.
func (b *builder) replicateBlocker(u *unit) {
	for _, e := range b.sortedEngines {
		if !b.accepts(e, u) {
			continue
		}
		freeable := e.free
		for _, other := range e.sortedUnits() {
			if b.droppable(other, e) {
				freeable += other.Bytes()
			}
		}
		for _, blocker := range e.sortedUnits() {
			if b.droppable(blocker, e) || freeable+blocker.Bytes() < u.Bytes() {
				continue
			}
			if target := b.bestWithoutEviction(blocker); target != nil && target != e {
				b.addReplica(blocker, target)
				return
			}
		}
	}
}
