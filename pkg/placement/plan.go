package placement

import (
	"slices"
	"sort"
	"time"
)

// Place is an engine that shall hold a replica.
type Place struct {
	Engine string `json:"engine"`
	// Since is the number of the plan that added the replica. A controller that still follows an older plan
	// may be about to unload it.
	Since int64 `json:"since"`
}

// UnitPlaces is a unit with the places of its replicas.
type UnitPlaces struct {
	Unit
	// Places are sorted by engine id.
	Places []Place `json:"places"`
	// Retired is when the unit was first neither wanted nor serving; zero while it is either.
	Retired time.Time `json:"retired,omitzero"`
}

// Plan tells which engines shall hold which units. All boxes route by it, and all hall controllers carry it
// out.
type Plan struct {
	// Number increases by one with each plan.
	Number int64 `json:"number"`
	// Term is that of the planner that made the plan.
	Term int64 `json:"term"`
	// Planner is the peer address of the box that made the plan.
	Planner string       `json:"planner,omitempty"`
	Units   []UnitPlaces `json:"units"`
	// Serving holds the name of the item that serves each model.
	Serving map[string]string `json:"serving"`
}

// On returns the items that the plan has on an engine: each model followed by its adapters.
func (p Plan) On(engine string) []Item {
	var items []Item
	for _, placed := range p.Units {
		if placed.on(engine) {
			items = append(items, placed.Item)
			items = append(items, placed.Adapters...)
		}
	}
	return items
}

// Equal reports whether two plans have the same units, places and serving items. It ignores their number,
// term and planner.
func (p Plan) Equal(other Plan) bool {
	if len(p.Units) != len(other.Units) || len(p.Serving) != len(other.Serving) {
		return false
	}
	for i := range p.Units {
		if !p.Units[i].equal(other.Units[i]) {
			return false
		}
	}
	for model, item := range p.Serving {
		if other.Serving[model] != item {
			return false
		}
	}
	return true
}

func (c UnitPlaces) equal(other UnitPlaces) bool {
	return c.Model == other.Model && c.Retired.Equal(other.Retired) && c.Item == other.Item && c.Pool == other.Pool &&
		slices.Equal(c.Adapters, other.Adapters) && slices.Equal(c.Places, other.Places)
}

func (c UnitPlaces) on(engine string) bool {
	return slices.ContainsFunc(c.Places, func(p Place) bool { return p.Engine == engine })
}

// result returns the builder's state as a plan, in a fixed order.
func (b *builder) result() Plan {
	plan := Plan{Number: b.number, Term: b.in.Last.Term, Planner: b.in.Last.Planner, Serving: b.serving}
	for _, u := range b.units {
		places := make([]Place, 0, len(u.replicas))
		for engine, since := range u.replicas {
			places = append(places, Place{Engine: engine, Since: since})
		}
		sort.Slice(places, func(i, j int) bool { return places[i].Engine < places[j].Engine })
		plan.Units = append(plan.Units, UnitPlaces{Unit: u.Unit, Places: places, Retired: u.retired})
	}
	sort.Slice(plan.Units, func(i, j int) bool { return plan.Units[i].Item.Name < plan.Units[j].Item.Name })
	return plan
}
