// Package placement decides which engine holds which model.
//
// Next is a pure function: from what is wanted, what the engines hold and the last plan,
// it makes the next plan. A copy is planned away only after another was confirmed, so a model
// with a copy keeps one while it moves and while new weights replace old ones.
package placement

import (
	"slices"
	"sort"
	"time"
)

// Item is a model or an adapter as engines hold it.
type Item struct {
	// Name is unique in the fleet and changes with the weights.
	Name string `json:"name"`
	// Base is the item of the model that an adapter belongs to; empty for a model.
	Base  string `json:"base,omitempty"`
	Bytes int64  `json:"bytes"`
}

// Unit is what is placed as one: a model with all of its adapters.
type Unit struct {
	// Model is the model's name in the fleet, the same for all of its weights.
	Model    string `json:"model"`
	Item     Item   `json:"item"`
	Adapters []Item `json:"adapters,omitempty"`
	Pool     string `json:"pool"`
	// Demand is the mean number of requests that run or would run at once.
	Demand float64 `json:"-"`
}

// Bytes is the memory of one copy.
func (u Unit) Bytes() int64 {
	bytes := u.Item.Bytes
	for _, adapter := range u.Adapters {
		bytes += adapter.Bytes
	}
	return bytes
}

// Condition of an engine as the planner sees it.
type Condition int

// The conditions of an engine.
const (
	// Usable: it answers and may get new copies.
	Usable Condition = iota
	// Unheard: nothing was heard of it lately; its copies stay planned but don't count.
	Unheard
	// Leaving: its copies stay until others are confirmed elsewhere.
	Leaving
	// Gone: its copies are lost.
	Gone
)

// Engine is one engine with what it is known to hold.
type Engine struct {
	ID        string
	Hall      string
	Pool      string
	Condition Condition
	// Memory for items, in bytes.
	Memory int64
	// Slots is how many requests it runs at once at full speed.
	Slots int
	// Resident tells of the items that it confirmed since when that is known.
	Resident map[string]time.Time
	// Plan is the number of the plan that its controller went by when it confirmed them.
	Plan int64
}

// Place is an engine that shall hold a copy.
type Place struct {
	Engine string `json:"engine"`
	// Since is the number of the plan that added the copy: a controller that still goes by
	// an older plan may be about to unload it.
	Since int64 `json:"since"`
}

// Copies is one unit with the places that shall hold it.
type Copies struct {
	Unit
	// Places are in the order of the engines' ids.
	Places []Place `json:"places"`
	// Retired is when the unit was neither wanted nor serving for the first time.
	Retired time.Time `json:"retired,omitzero"`
}

// Plan is what all boxes route by and all hall controllers work towards.
type Plan struct {
	// Number grows by one with each plan.
	Number int64 `json:"number"`
	// Term of the planner that made it.
	Term int64 `json:"term"`
	// Planner is the peer address of the box that made it.
	Planner string   `json:"planner,omitempty"`
	Units   []Copies `json:"units"`
	// Serving is the item that answers for each model.
	Serving map[string]string `json:"serving"`
}

// Settings weigh the plan's aims.
type Settings struct {
	// MoveCost is what one load must at least gain, in units of relieved load: higher moves less.
	MoveCost float64
	// Copies is how many copies a model gets where memory is left, for safety; 0 takes 2.
	Copies int
	// Pending bounds the loads under way at once in the whole fleet; 0 takes 8.
	Pending int
	// Settle is how long a copy must be known before another may be dropped for it: longer
	// than the news takes to be everywhere.
	Settle time.Duration
	// RetireAfter is how long retired copies stay, so that boxes that learn of the plan late
	// still find what they route to.
	RetireAfter time.Duration
	// SpareEngines is how many of the largest engines a bundle must fit without.
	SpareEngines int
}

// Input is all that a plan depends on.
type Input struct {
	Engines  []Engine
	Wanted   []Unit
	Last     Plan
	Settings Settings
	// Now is the time of the plan.
	Now time.Time
}

const (
	defaultCopies  = 2
	defaultPending = 8
)

// Next makes the plan that follows in.Last.
func Next(in Input) Plan {
	b := newBuilder(in)
	b.carryOver()
	b.switchServing()
	b.dropRetired()
	b.dropLeaving()
	b.coverAll()
	b.replaceOld()
	b.relieveOverfull()
	b.spread()
	b.followDemand()
	return b.plan()
}

// On returns what the plan wants on one engine: models first, each with its adapters behind it.
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

// Equal tells whether two plans ask for the same, whoever made them.
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

func (c Copies) equal(other Copies) bool {
	return c.Model == other.Model && c.Retired.Equal(other.Retired) && c.Item == other.Item && c.Pool == other.Pool &&
		slices.Equal(c.Adapters, other.Adapters) && slices.Equal(c.Places, other.Places)
}

func (c Copies) on(engine string) bool {
	return slices.ContainsFunc(c.Places, func(p Place) bool { return p.Engine == engine })
}

// plan writes the builder's state down in a fixed order.
func (b *builder) plan() Plan {
	plan := Plan{Number: b.number, Term: b.in.Last.Term, Planner: b.in.Last.Planner, Serving: b.serving}
	for _, u := range b.units {
		places := make([]Place, 0, len(u.on))
		for engine, since := range u.on {
			places = append(places, Place{Engine: engine, Since: since})
		}
		sort.Slice(places, func(i, j int) bool { return places[i].Engine < places[j].Engine })
		plan.Units = append(plan.Units, Copies{Unit: u.Unit, Places: places, Retired: u.retired})
	}
	sort.Slice(plan.Units, func(i, j int) bool { return plan.Units[i].Item.Name < plan.Units[j].Item.Name })
	return plan
}
