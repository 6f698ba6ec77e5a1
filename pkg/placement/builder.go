package placement

import (
	"sort"
	"time"
)

// unit is a unit while a plan is made.
type unit struct {
	Unit
	// wanted units are named by a bundle in force.
	wanted bool
	// retired is when the unit was first neither wanted nor serving.
	retired time.Time
	// on holds the engines that shall have a replica, with the number of the plan that added it.
	on map[string]int64
}

// engine is an engine while a plan is made.
type engine struct {
	Engine
	// free is memory less all that is planned here, in bytes; below 0 the engine is overfull.
	free int64
	// units planned here, by item name.
	units map[string]*unit
}

// builder makes one plan.
type builder struct {
	in      Input
	number  int64
	engines map[string]*engine
	// order holds the engines by id, so that ties are always decided alike.
	order []*engine
	// units by item name, and the item that serves each model.
	units   map[string]*unit
	serving map[string]string
	// pending counts planned replicas that are not confirmed.
	pending int
}

// newBuilder takes the engines and the wanted units of in, without any replica yet.
func newBuilder(in Input) *builder {
	if in.Settings.Replicas == 0 {
		in.Settings.Replicas = defaultReplicas
	}
	if in.Settings.MaxLoads == 0 {
		in.Settings.MaxLoads = defaultMaxLoads
	}
	b := &builder{
		in:      in,
		number:  in.Last.Number + 1,
		engines: map[string]*engine{},
		units:   map[string]*unit{},
		serving: map[string]string{},
	}
	for _, e := range in.Engines {
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

// add plans a new replica of u on e.
func (b *builder) add(u *unit, e *engine) { b.addSince(u, e, b.number) }

// addSince plans a replica that the plan of a number added.
func (b *builder) addSince(u *unit, e *engine, since int64) {
	u.on[e.ID] = since
	e.units[u.Item.Name] = u
	e.free -= u.Bytes()
	if !e.holds(u) && e.Condition == Usable {
		b.pending++
	}
}

// remove plans away the replica of u on e.
func (b *builder) remove(u *unit, e *engine) {
	delete(u.on, e.ID)
	delete(e.units, u.Item.Name)
	e.free += u.Bytes()
	if !e.holds(u) && e.Condition == Usable {
		b.pending--
	}
}

// sorted lists the units that keep accepts, by name.
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

// sorted lists the units planned on e, by name.
func (e *engine) sorted() []*unit {
	units := make([]*unit, 0, len(e.units))
	for _, u := range e.units {
		units = append(units, u)
	}
	sort.Slice(units, func(i, j int) bool { return units[i].Item.Name < units[j].Item.Name })
	return units
}

// plannedOn reports whether the engine shall hold a replica of u.
func (u *unit) plannedOn(id string) bool {
	_, ok := u.on[id]
	return ok
}

// demandPerReplica is the demand on one replica, in requests in flight.
func (u *unit) demandPerReplica() float64 {
	return u.Demand / float64(max(1, len(u.on)))
}
