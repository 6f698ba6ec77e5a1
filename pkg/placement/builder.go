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

// idle tells that nobody needs a unit any more.
func (b *builder) idle(u *unit) bool {
	return !u.wanted && b.serving[u.Model] != u.Item.Name
}

// hallsOf lists the halls in which u has usable copies.
func (b *builder) hallsOf(u *unit) map[string]bool {
	halls := map[string]bool{}
	for _, id := range b.usableIDs(u) {
		halls[b.engines[id].Hall] = true
	}
	return halls
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
