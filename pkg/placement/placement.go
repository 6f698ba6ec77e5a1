// Package placement decides which engines shall hold a replica of which model.
//
// Next is a pure function: it makes the next plan from the wanted units, what the engines hold, and the last
// plan. A replica is removed from the plan only after another one is confirmed (make before break), so that
// a model with a replica keeps one while it moves and while new weights replace old ones. Fits checks a roll
// before it is accepted, and Meter measures the demand on which plans are based. The package contains the
// rules of the plan and depends on no other package of the project: the caller stores the plan, and
// pkg/orders carries it out.
//
// The package is used by `ospreymoor serve`, where engines report bytes and slots, and the plan of the whole
// fleet is stored. In `ospreymoor node`, pkg/residency plans single moves that the order holder carries out
// at once; it measures engine time instead of requests in flight.
package placement

import "time"

// Item is a model or an adapter, as engines hold it.
type Item struct {
	// Name is unique in the fleet and changes with the weights.
	Name string `json:"name"`
	// Base is the Unit.Model to which an adapter belongs; empty for a model.
	Base string `json:"base,omitempty"`
	// Bytes is the accelerator memory that the item takes.
	Bytes int64 `json:"bytes"`
}

// Unit is a model with all of its adapters. They are always placed together.
type Unit struct {
	// Model is the model's name in the fleet, the same for all of its weights.
	Model    string `json:"model"`
	Item     Item   `json:"item"`
	Adapters []Item `json:"adapters,omitempty"`
	Pool     string `json:"pool"`
	// Demand is the mean number of requests in flight, including refused ones, as Meter measures it.
	Demand float64 `json:"-"`
}

// Bytes returns the memory that one replica takes, in bytes.
func (u Unit) Bytes() int64 {
	bytes := u.Item.Bytes
	for _, adapter := range u.Adapters {
		bytes += adapter.Bytes
	}
	return bytes
}

// Condition tells how the planner may use an engine.
type Condition int

// The conditions of an engine.
const (
	// Usable engines answer and may get new replicas.
	Usable Condition = iota
	// Unresponsive engines have not answered lately: their replicas stay planned but do not count as
	// available.
	Unresponsive
	// Leaving engines keep their replicas until others are confirmed elsewhere.
	Leaving
)

// Engine is an engine with what it is known to hold. An engine that the input does not contain is gone, and
// its replicas with it.
type Engine struct {
	ID        string
	Hall      string
	Pool      string
	Condition Condition
	// Memory is the memory for items, in bytes.
	Memory int64
	// Slots is the number of requests that the engine runs at once at full speed.
	Slots int
	// Resident holds the names of the items that the engine confirmed, each with the time since when that is
	// known.
	Resident map[string]time.Time
	// Plan is the number of the plan that the engine's controller followed when the items were confirmed.
	Plan int64
}

// Settings are the parameters of a plan.
type Settings struct {
	// MoveCost is the minimum gain per load or eviction, in the unit of loadCost. A higher cost leads to
	// fewer moves.
	MoveCost float64
	// Replicas is the number of replicas that a model gets where memory is free, so that one is left after
	// the loss of an engine. 0 means 2.
	Replicas int
	// MaxLoads bounds the loads under way at once in the whole fleet; 0 means 8. Only benchmarks and
	// embedders set it.
	MaxLoads int
	// SettleTime is the age from which a replica counts as a substitute for another one. It must be longer than
	// a record takes to reach all boxes.
	SettleTime time.Duration
	// RetireAfter is how long retired replicas stay, so that boxes that receive the plan late still reach
	// the replicas that they route to.
	RetireAfter time.Duration
	// SpareEngines is the number of engines, the largest of each pool, that Fits leaves out.
	SpareEngines int
}

// Input holds everything that a plan depends on.
type Input struct {
	Engines  []Engine
	Wanted   []Unit
	Last     Plan
	Settings Settings
	// Now is the time of the plan.
	Now time.Time
}

const (
	// defaultReplicas replaces Settings.Replicas if it is 0.
	defaultReplicas = 2
	// defaultMaxLoads replaces Settings.MaxLoads if it is 0.
	defaultMaxLoads = 8
)

// Next makes the plan that follows in.Last. The steps are in the order of their urgency, and each one builds
// on the steps before it.
func Next(in Input) Plan {
	b := newBuilder(in)
	b.carryOver()
	b.switchServing()
	b.dropRetired()
	b.dropLeaving()
	b.placeMissing()
	b.replaceOld()
	b.relieveOverfull()
	b.spread()
	b.addReplicasForDemand()
	return b.result()
}
