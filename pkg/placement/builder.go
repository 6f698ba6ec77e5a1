package placement

import (
	"sort"
	"time"
)

// unit is a unit while a plan is made.
type unit struct {
	Unit
	// wanted tells that a bundle in force names these weights.
	wanted bool
	// retired is when the unit was first neither wanted nor serving.
	retired time.Time
	// on holds the engines that shall have a copy, with the number of the plan that added it.
	on map[string]int64
}

// engine is an engine while a plan is made.
type engine struct {
	Engine
	// free is memory less all that is planned here; below 0 the engine is overfull.
	free int64
	// units planned here, by item name.
	units map[string]*unit
}

// builder makes one plan.
type builder struct {
	in      Input
	number  int64
	engines map[string]*engine
	// order holds the engines by id, so that equal choices fall out alike.
	order   []*engine
	units   map[string]*unit
	serving map[string]string
	// pending counts planned copies that are not confirmed.
	pending int
}

func newBuilder(in Input) *builder {
	if in.Settings.Copies == 0 {
		in.Settings.Copies = defaultCopies
	}
	if in.Settings.Pending == 0 {
		in.Settings.Pending = defaultPending
	}
	b := &builder{
		in:      in,
		number:  in.Last.Number + 1,
		engines: map[string]*engine{},
		units:   map[string]*unit{},
		serving: map[string]string{},
	}
	for _, e := range in.Engines {
		if e.Condition == Gone {
			continue
		}
		state := &engine{Engine: e, free: e.Memory, units: map[string]*unit{}}
		b.engines[e.ID] = state
		b.order = append(b.order, state)
	}
	sort.Slice(b.order, func(i, j int) bool { return b.order[i].ID < b.order[j].ID })
	for _, u := range in.Wanted {
		b.units[u.Item.Name] = &unit{Unit: u, wanted: true, on: map[string]int64{}}
	}
	return b
}

// carryOver takes over the last plan's copies on engines that still exist.
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

// switchServing lets new weights answer once they have as many copies as the old ones.
func (b *builder) switchServing() {
	for _, u := range b.sorted(func(u *unit) bool { return u.wanted }) {
		old := b.units[b.in.Last.Serving[u.Model]]
		if old == nil || old == u || b.confirmed(u) >= max(1, b.confirmed(old)) {
			b.serving[u.Model] = u.Item.Name
		} else {
			b.serving[u.Model] = old.Item.Name
		}
	}
}

// dropRetired forgets units that have been neither wanted nor serving for a while.
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

// idle tells that nobody needs a unit any more.
func (b *builder) idle(u *unit) bool {
	return !u.wanted && b.serving[u.Model] != u.Item.Name
}

// dropLeaving empties leaving engines of what is confirmed elsewhere.
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

// coverAll gives each wanted unit one copy on a usable engine, largest unit first.
func (b *builder) coverAll() {
	missing := b.sorted(func(u *unit) bool { return b.usableCopies(u) == 0 })
	sort.SliceStable(missing, func(i, j int) bool { return missing[i].Bytes() > missing[j].Bytes() })
	for _, u := range missing {
		if !b.place(u) {
			b.clearWay(u)
		}
	}
}

// replaceOld puts new weights in the place of old copies, one by one, until there are as many
// of each: then the new ones take over.
func (b *builder) replaceOld() {
	for _, u := range b.sorted(func(u *unit) bool { return u.wanted && b.serving[u.Model] != u.Item.Name }) {
		old := b.units[b.serving[u.Model]]
		if old == nil || len(u.on) >= len(old.on) || b.confirmed(u) < len(u.on) || !b.mayLoad() {
			continue
		}
		for _, e := range b.order {
			if old.onEngine(e.ID) && b.accepts(e, u) && b.droppable(old, e) && e.free+old.Bytes() >= u.Bytes() {
				b.remove(old, e)
				b.add(u, e)
				break
			}
		}
	}
}

// spread gives units a second copy, and so on up to Settings.Copies, where memory is free.
func (b *builder) spread() {
	for copies := 1; copies < b.in.Settings.Copies; copies++ {
		thin := b.sorted(func(u *unit) bool { return u.wanted && b.usableCopies(u) == copies })
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

// spreadHalls gives units whose copies all stand in one hall another one elsewhere, where memory
// is free: the first copies may have been placed while other halls were not heard.
func (b *builder) spreadHalls() {
	if b.in.Settings.Copies < 2 {
		return
	}
	for _, u := range b.sorted(func(u *unit) bool { return u.wanted && len(u.on) > 0 }) {
		halls := b.hallsOf(u)
		if e := b.roomiest(u); len(halls) == 1 && e != nil && !halls[e.Hall] && b.mayLoad() {
			b.add(u, e)
		}
	}
}

// hallsOf lists the halls in which u has usable copies.
func (b *builder) hallsOf(u *unit) map[string]bool {
	halls := map[string]bool{}
	for _, id := range b.usableIDs(u) {
		halls[b.engines[id].Hall] = true
	}
	return halls
}

// relieveOverfull starts to move copies off engines whose plan grew past their memory.
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

// place adds a copy on the engine where least has to give way, and tells whether there was one.
func (b *builder) place(u *unit) bool {
	if !b.mayLoad() {
		return true // Its turn comes when the loads under way are done.
	}
	var best *engine
	var bestEvictions []*unit
	for _, e := range b.order {
		evictions, ok := b.roomFor(u, e)
		if ok && (best == nil || b.better(u, e, evictions, best, bestEvictions)) {
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

// better compares two engines as the place of a first copy.
func (b *builder) better(u *unit, e *engine, evictions []*unit, best *engine, bestEvictions []*unit) bool {
	if held, bestHeld := e.holds(u), best.holds(u); held != bestHeld {
		return held
	}
	if lost, bestLost := b.worth(evictions), b.worth(bestEvictions); lost != bestLost {
		return lost < bestLost
	}
	if len(evictions) != len(bestEvictions) {
		return len(evictions) < len(bestEvictions)
	}
	return e.free > best.free
}

// clearWay copies one unit that blocks u to another engine; once that copy is confirmed,
// the old one counts as spare and gives way to u in a later plan.
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

// roomFor lists the spare copies that must leave e for u to fit.
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
		return candidates[i].demandPerCopy() < candidates[j].demandPerCopy()
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

// roomiest is the engine with most free memory that can take u without evictions;
// an engine that holds u already goes first, then one in a hall without a copy.
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

func (b *builder) roomier(u *unit, e, best *engine, halls map[string]bool) bool {
	if held, bestHeld := e.holds(u), best.holds(u); held != bestHeld {
		return held
	}
	if halls[e.Hall] != halls[best.Hall] {
		return !halls[e.Hall]
	}
	return e.free > best.free
}

// accepts tells whether a new copy of u may go to e at all.
func (b *builder) accepts(e *engine, u *unit) bool {
	return e.Condition == Usable && e.Pool == u.Pool && !u.onEngine(e.ID)
}

// droppable tells whether u stays reachable, with its adapters, when e's copy goes.
func (b *builder) droppable(u *unit, e *engine) bool {
	if b.idle(u) {
		return b.in.Now.Sub(u.retired) >= b.in.Settings.RetireAfter
	}
	if u.on[e.ID] == b.number {
		return false // This plan has just added it.
	}
	for id := range u.on {
		if id != e.ID && b.complete(u, b.engines[id]) {
			return true
		}
	}
	return false
}

// complete tells whether a usable engine has confirmed a whole copy, its controller knows
// that the copy shall stay, and all boxes have had the time to hear of it.
func (b *builder) complete(u *unit, e *engine) bool {
	return e.Condition == Usable && e.Plan >= u.on[e.ID] && e.holds(u) && b.settled(u, e)
}

func (b *builder) settled(u *unit, e *engine) bool {
	latest := e.Resident[u.Item.Name]
	for _, adapter := range u.Adapters {
		if since := e.Resident[adapter.Name]; since.After(latest) {
			latest = since
		}
	}
	return b.in.Now.Sub(latest) >= b.in.Settings.Settle
}

// confirmed counts u's complete copies.
func (b *builder) confirmed(u *unit) int {
	n := 0
	for id := range u.on {
		if b.complete(u, b.engines[id]) {
			n++
		}
	}
	return n
}

// usableCopies counts u's planned copies on usable engines, confirmed or not.
func (b *builder) usableCopies(u *unit) int {
	n := 0
	for id := range u.on {
		if b.engines[id].Condition == Usable {
			n++
		}
	}
	return n
}

// mayLoad tells whether one more load may be under way.
func (b *builder) mayLoad() bool { return b.pending < b.in.Settings.Pending }

func (b *builder) add(u *unit, e *engine) { b.addSince(u, e, b.number) }

func (b *builder) addSince(u *unit, e *engine, since int64) {
	u.on[e.ID] = since
	e.units[u.Item.Name] = u
	e.free -= u.Bytes()
	if !e.holds(u) && e.Condition == Usable {
		b.pending++
	}
}

func (b *builder) remove(u *unit, e *engine) {
	delete(u.on, e.ID)
	delete(e.units, u.Item.Name)
	e.free += u.Bytes()
	if !e.holds(u) && e.Condition == Usable {
		b.pending--
	}
}

// worth is the demand that a set of copies carries.
func (b *builder) worth(units []*unit) float64 {
	worth := 0.0
	for _, u := range units {
		worth += u.demandPerCopy()
	}
	return worth
}

// sorted lists the units that keep accepts by name.
func (b *builder) sorted(keep func(*unit) bool) []*unit {
	var units []*unit
	for _, u := range b.units {
		if keep(u) {
			units = append(units, u)
		}
	}
	sort.Slice(units, func(i, j int) bool { return units[i].Item.Name < units[j].Item.Name })
	return units
}

// sorted lists the units planned on e by name.
func (e *engine) sorted() []*unit {
	units := make([]*unit, 0, len(e.units))
	for _, u := range e.units {
		units = append(units, u)
	}
	sort.Slice(units, func(i, j int) bool { return units[i].Item.Name < units[j].Item.Name })
	return units
}

// holds tells whether e has confirmed the whole of u.
func (e *engine) holds(u *unit) bool {
	if _, ok := e.Resident[u.Item.Name]; !ok {
		return false
	}
	for _, adapter := range u.Adapters {
		if _, ok := e.Resident[adapter.Name]; !ok {
			return false
		}
	}
	return true
}

func (u *unit) onEngine(id string) bool {
	_, ok := u.on[id]
	return ok
}

func (u *unit) demandPerCopy() float64 {
	return u.Demand / float64(max(1, len(u.on)))
}
