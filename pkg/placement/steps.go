package placement

import (
	"sort"
	"time"
)

// carryOver takes over the last plan's replicas on engines that still exist.
func (b *builder) carryOver() {
	for _, copies := range b.in.Last.Units {
		u := b.units[copies.Item.Name]
		if u == nil {
			u = &unit{Unit: copies.Unit, retired: copies.Retired, on: map[string]int64{}}
			b.units[copies.Item.Name] = u
		}
		for _, place := range copies.Places {
			if e := b.engines[place.Engine]; e != nil {
				b.addSince(u, e, place.Since)
			}
		}
	}
}

// switchServing lets new weights serve once they have as many confirmed replicas as the old ones.
func (b *builder) switchServing() {
	for _, u := range b.sorted(func(u *unit) bool { return u.wanted }) {
		old := b.units[b.in.Last.Serving[u.Model]]
		if old == nil || old == u || b.confirmedReplicas(u) >= max(1, b.confirmedReplicas(old)) {
			b.serving[u.Model] = u.Item.Name
		} else {
			b.serving[u.Model] = old.Item.Name
		}
	}
}

// dropRetired forgets units that have been neither wanted nor serving for Settings.RetireAfter.
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
		for id := range u.on {
			b.remove(u, b.engines[id])
		}
		delete(b.units, name)
	}
}

// dropLeaving drops from leaving engines what is confirmed elsewhere.
func (b *builder) dropLeaving() {
	for _, e := range b.order {
		if e.Condition != Leaving {
			continue
		}
		for _, u := range e.sorted() {
			if b.droppable(u, e) {
				b.remove(u, e)
			}
		}
	}
}

// coverAll gives each unit without a replica on a usable engine one, largest unit first.
func (b *builder) coverAll() {
	missing := b.sorted(func(u *unit) bool { return b.usableReplicas(u) == 0 })
	sort.SliceStable(missing, func(i, j int) bool { return missing[i].Bytes() > missing[j].Bytes() })
	for _, u := range missing {
		if !b.placeFirst(u) {
			b.clearWay(u)
		}
	}
}

// replaceOld puts new weights in the place of old replicas, one by one, until there are as many
// of each: then switchServing lets the new ones serve. Waiting for equal numbers side by side got
// stuck when memory was tight.
func (b *builder) replaceOld() {
	for _, u := range b.sorted(func(u *unit) bool { return u.wanted && b.serving[u.Model] != u.Item.Name }) {
		old := b.units[b.serving[u.Model]]
		if old == nil || len(u.on) >= len(old.on) || b.confirmedReplicas(u) < len(u.on) || !b.mayLoad() {
			continue
		}
		for _, e := range b.order {
			if old.plannedOn(e.ID) && b.accepts(e, u) && b.droppable(old, e) && e.free+old.Bytes() >= u.Bytes() {
				b.remove(old, e)
				b.add(u, e)
				break
			}
		}
	}
}

// spread gives units a second replica, and so on up to Settings.Copies, where memory is free.
func (b *builder) spread() {
	for replicas := 1; replicas < b.in.Settings.Replicas; replicas++ {
		thin := b.sorted(func(u *unit) bool { return u.wanted && b.usableReplicas(u) == replicas })
		sort.SliceStable(thin, func(i, j int) bool { return thin[i].Demand > thin[j].Demand })
		for _, u := range thin {
			e := b.roomiest(u)
			if e != nil && b.mayLoad() {
				b.add(u, e)
			}
		}
	}
	b.spreadHalls()
}

// spreadHalls gives units whose replicas all stand in one hall another one elsewhere, where
// memory is free: the first ones may have been placed while other halls did not answer.
func (b *builder) spreadHalls() {
	if b.in.Settings.Replicas < 2 {
		return
	}
	for _, u := range b.sorted(func(u *unit) bool { return u.wanted && len(u.on) > 0 }) {
		halls := b.hallsOf(u)
		if e := b.roomiest(u); len(halls) == 1 && e != nil && !halls[e.Hall] && b.mayLoad() {
			b.add(u, e)
		}
	}
}

// relieveOverfull starts to move replicas off engines whose plan exceeds their memory.
func (b *builder) relieveOverfull() {
	for _, e := range b.order {
		for _, u := range e.sorted() {
			if e.free >= 0 {
				break
			}
			if b.droppable(u, e) {
				b.remove(u, e)
			} else if target := b.roomiest(u); target != nil && b.mayLoad() {
				b.add(u, target)
			}
		}
	}
}

// clearWay adds a replica of one unit that blocks u on another engine. Once that replica is
// confirmed, the blocking one is droppable and gives way to u in a later plan.
func (b *builder) clearWay(u *unit) {
	for _, e := range b.order {
		if !b.accepts(e, u) {
			continue
		}
		spare := e.free
		for _, other := range e.sorted() {
			if b.droppable(other, e) {
				spare += other.Bytes()
			}
		}
		for _, blocker := range e.sorted() {
			if b.droppable(blocker, e) || spare+blocker.Bytes() < u.Bytes() {
				continue
			}
			if target := b.roomiest(blocker); target != nil && target != e {
				b.add(blocker, target)
				return
			}
		}
	}
}
