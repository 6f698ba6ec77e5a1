// Package placement decides which engines shall hold a replica of which model.
//
// Next is a pure function: from what is wanted, what the engines hold and the last plan, it makes
// the next plan. A replica is planned away only after another one is confirmed (make before
// break), so a model with a replica keeps one while it moves and while new weights replace old
// ones. Fits checks a roll before it is accepted, and Meter measures the demand that plans follow.
// The package owns the plan's rules and relies on nothing: the caller stores the plan, and
// pkg/orders carries it out.
//
// It belongs to the native way, `ospreymoor serve`: engines report bytes and slots, and the plan
// of the whole fleet is written down. On `ospreymoor node`, pkg/residency plans single moves that
// the order holder carries out at once, and weighs engine time instead of requests in flight.
package placement

import "time"

// Item is a model or an adapter as engines hold it.
type Item struct {
	// Name is unique in the fleet and changes with the weights.
	Name string `json:"name"`
	// Base is Unit.Model of the model that an adapter belongs to; empty for a model.
	Base string `json:"base,omitempty"`
	// Bytes of accelerator memory.
	Bytes int64 `json:"bytes"`
}

// Unit is what is placed as one: a model with all of its adapters.
type Unit struct {
	// Model is the model's name in the fleet, the same for all of its weights.
	Model    string `json:"model"`
	Item     Item   `json:"item"`
	Adapters []Item `json:"adapters,omitempty"`
	Pool     string `json:"pool"`
	// Demand is the mean number of requests in flight, refused ones included (Meter).
	Demand float64 `json:"-"`
}

// Bytes is the memory of one replica, in bytes.
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
	// Usable engines answer and may get new replicas.
	Usable Condition = iota
	// Unresponsive engines have not answered lately: their replicas stay planned but do not count.
	Unresponsive
	// Leaving engines keep their replicas until others are confirmed elsewhere.
	Leaving
)

// Engine is one engine with what it is known to hold. An engine that is not given is gone, and
// its replicas with it.
type Engine struct {
	ID        string
	Hall      string
	Pool      string
	Condition Condition
	// Memory for items, in bytes.
	Memory int64
	// Slots is the number of requests that it runs at once at full speed.
	Slots int
	// Resident holds the items that it confirmed, each with the time since when that is known.
	Resident map[string]time.Time
	// Plan is the number of the plan that its controller followed when they were confirmed.
	Plan int64
}

// Settings weigh the plan's aims.
type Settings struct {
	// MoveCost is the least gain of one load or eviction, in the units of loadCost: a higher
	// cost moves less.
	MoveCost float64
	// Replicas is the number of replicas that a model gets where memory is left, so that the loss
	// of an engine leaves one; 0 takes 2.
	Replicas int
	// MaxLoads bounds the loads under way at once in the whole fleet; 0 takes 8. Only benchmarks
	// and embedders set it.
	MaxLoads int
	// Settle is the age at which a replica may stand in for another one: longer than a record
	// takes to reach all boxes.
	Settle time.Duration
	// RetireAfter is the time that retired replicas stay, so that boxes that get the plan late
	// still find what they route to.
	RetireAfter time.Duration
	// SpareEngines is the number of engines, the largest of each pool, that Fits leaves out.
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
	// defaultReplicas is Settings.Copies if it is 0: 2 replicas.
	defaultReplicas = 2
	// defaultMaxLoads is Settings.Pending if it is 0: 8 loads.
	defaultMaxLoads = 8
)

// Next makes the plan that follows in.Last. The steps come in the order of their urgency, and
// each one sees what the steps before it planned.
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
	return b.result()
}
