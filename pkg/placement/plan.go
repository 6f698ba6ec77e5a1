package placement

import (
	"slices"
	"sort"
	"time"
)

// Place is an engine that shall hold a replica.
type Place struct {
	Engine string `json:"engine"`
	// Since is the number of the plan that added the replica: a controller that still follows
	// an older plan may be about to unload it.
	Since int64 `json:"since"`
}

// UnitPlaces is one unit with the places of its replicas.
type UnitPlaces struct {
	Unit
	// Places are in the order of the engines' ids.
	Places []Place `json:"places"`
	// Retired is when the unit was first neither wanted nor serving; zero while it is either.
	Retired time.Time `json:"retired,omitzero"`
}

// Plan is what all boxes route by and all hall controllers carry out.
type Plan struct {
	// Number grows by one with each plan.
	Number int64 `json:"number"`
	// Term of the planner that made it.
	Term int64 `json:"term"`
	// Planner is the peer address of the box that made it.
	Planner string       `json:"planner,omitempty"`
	Units   []UnitPlaces `json:"units"`
	// Serving is the item that answers for each model.
	Serving map[string]string `json:"serving"`
}

// On returns what the plan wants on one engine: each model followed by its adapters.
func (p Plan) On(engine string) []Item {
	var items []Item
	for _, copies := range p.Units {
		if copies.on(engine) {
			items = append(items, copies.Item)
			items = append(items, copies.Adapters...)
		}
	}
	return items
}

// Equal reports whether two plans ask for the same, whoever made them.
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

// result is the builder's state as a plan, in a fixed order.
func (b *builder) result() Plan {
	plan := Plan{Number: b.number, Term: b.in.Last.Term, Planner: b.in.Last.Planner, Serving: b.serving}
	for _, u := range b.units {
		places := make([]Place, 0, len(u.on))
		for engine, since := range u.on {
			places = append(places, Place{Engine: engine, Since: since})
		}
		sort.Slice(places, func(i, j int) bool { return places[i].Engine < places[j].Engine })
		plan.Units = append(plan.Units, UnitPlaces{Unit: u.Unit, Places: places, Retired: u.retired})
	}
	sort.Slice(plan.Units, func(i, j int) bool { return plan.Units[i].Item.Name < plan.Units[j].Item.Name })
	return plan
}
