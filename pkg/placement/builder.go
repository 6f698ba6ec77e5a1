package placement

import (
	"sort"
	"time"
)

// unit is a unit together with the planner's state of it.
type unit struct {
	Unit
	// wanted reports that a bundle in force contains the unit.
	wanted bool
	// retired is when the unit was first neither wanted nor serving; zero while it is either.
	retired time.Time
	// replicas holds the ids of the engines that shall have a replica, with the number of the plan that
	// added it.
	replicas map[string]int64
}

// engine is an engine together with the planner's state of it.
type engine struct {
	Engine
	// free is the engine's memory less all that is planned on it, in bytes. It is negative if the plan
	// exceeds the memory.
	free int64
	// units are those planned on the engine, by item name.
	units map[string]*unit
}

// builder makes one plan.
type builder struct {
	in      Input
	number  int64
	engines map[string]*engine
	// sortedEngines holds the engines in the order of their ids, so that ties are always decided in the same
	// way.
	sortedEngines []*engine
	// units holds the units by item name, and serving the item that serves each model.
	units   map[string]*unit
	serving map[string]string
	// pendingLoads counts planned replicas on usable engines that the engines have not confirmed.
	pendingLoads int
}

// newBuilder returns a builder with the engines and the wanted units of in, without any replicas.
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
		b.sortedEngines = append(b.sortedEngines, state)
	}
	sort.Slice(b.sortedEngines, func(i, j int) bool { return b.sortedEngines[i].ID < b.sortedEngines[j].ID })
	for _, u := range in.Wanted {
		b.units[u.Item.Name] = &unit{Unit: u, wanted: true, replicas: map[string]int64{}}
	}
	return b
}

// addReplica plans a new replica of u on e.
func (b *builder) addReplica(u *unit, e *engine) { b.addReplicaSince(u, e, b.number) }

// addReplicaSince plans a replica of u on e that was added by the plan with the number since.
func (b *builder) addReplicaSince(u *unit, e *engine, since int64) {
	u.replicas[e.ID] = since
	e.units[u.Item.Name] = u
	e.free -= u.Bytes()
	if !e.holds(u) && e.Condition == Usable {
		b.pendingLoads++
	}
}

// removeReplica removes the replica of u on e from the plan.
func (b *builder) removeReplica(u *unit, e *engine) {
	delete(u.replicas, e.ID)
	delete(e.units, u.Item.Name)
	e.free += u.Bytes()
	if !e.holds(u) && e.Condition == Usable {
		b.pendingLoads--
	}
}

// sortedUnits returns the units that keep accepts, by name.
func (b *builder) sortedUnits(keep func(*unit) bool) []*unit {
	var units []*unit
	for _, u := range b.units {
		if keep(u) {
			units = append(units, u)
		}
	}
	sort.Slice(units, func(i, j int) bool { return units[i].Item.Name < units[j].Item.Name })
	return units
}

// sortedUnits returns the units planned on e, by name.
func (e *engine) sortedUnits() []*unit {
	units := make([]*unit, 0, len(e.units))
	for _, u := range e.units {
		units = append(units, u)
	}
	sort.Slice(units, func(i, j int) bool { return units[i].Item.Name < units[j].Item.Name })
	return units
}

// plannedOn reports whether the plan has a replica of u on the engine.
func (u *unit) plannedOn(id string) bool {
	_, ok := u.replicas[id]
	return ok
}

// demandPerReplica returns the demand on one replica, in requests in flight.
func (u *unit) demandPerReplica() float64 {
	return u.Demand / float64(max(1, len(u.replicas)))
}
