// Package orders brings the engines of a hall to what the plan wants.
//
// One box of the hall, the controller, does this at a time, under a lease with a term. The
// package owns the choice of the next order, the fences and the intents of the hall; it relies
// on pkg/lease for the term, on pkg/placement for the plan and on pkg/kv for the intents.
//
// Memory is never overcommitted: an order is sent only if what the engine holds, plus every
// load that may still take effect, leaves room for it. How a load is known to be impossible
// depends on the engine. A fenced engine refuses lower terms and earlier sequences. For an
// engine that is not fenced, each order is first written to the key-value service as an intent.
//
// It belongs to the native way, `ospreymoor serve`, where one plan for the fleet is stored and
// each hall's controller follows it. On `ospreymoor node`, pkg/residency plans and orders in one
// process, under one order lease for all halls, on engines that do not check terms.
package orders

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/placement"
)

// Kinds of failure of an order.
const (
	// ErrRefused means that the engine did not carry out the order and will not.
	ErrRefused = errors.ConstError("order refused: read the engine's state and plan again")
	// ErrFenced means that a higher term was seen: another controller orders now.
	ErrFenced = errors.ConstError("order refused, a higher term rules: stop ordering")
)

// Authority is the term and the sequence within it that an order is given under.
type Authority struct {
	Term     int64
	Sequence int64
}

// State is what an engine reports of itself.
type State struct {
	// Incarnation changes with each start of the engine.
	Incarnation string
	// Capacity for items, in bytes.
	Capacity int64
	// Resident and Loading are the items in memory and those under way into it.
	Resident []placement.Item
	Loading  []placement.Item
	// Running and Queued count requests.
	Running int
	Queued  int
	// Slots is how many requests run at once at full speed.
	Slots int
	// Leaving engines take nothing new.
	Leaving bool
	// Term is the highest term the engine has seen.
	Term int64
}

// Engine is one engine as its controller reaches it.
// After ErrRefused or ErrFenced an order has no effect; after any other error it may have one.
type Engine struct {
	ID string
	// Fenced engines refuse orders of a lower term or an earlier sequence.
	Fenced bool
	// Fence raises the engine's authority and returns its state from then on.
	Fence func(context.Context, Authority) (State, error)
	// State returns the engine's state now.
	State func(context.Context) (State, error)
	// Load begins to bring an item into memory.
	Load func(context.Context, Authority, placement.Item) error
	// Unload frees an item's memory.
	Unload func(ctx context.Context, authority Authority, name string) error
}

// Holding is what one engine held when its controller last asked.
type Holding struct {
	Incarnation string   `json:"incarnation"`
	Capacity    int64    `json:"capacity"`
	Slots       int      `json:"slots"`
	Leaving     bool     `json:"leaving,omitempty"`
	Resident    []string `json:"resident"`
	Loading     []string `json:"loading,omitempty"`
	// Plan is the number of the plan that the controller follows: no unload that an older
	// plan asked for can take effect any more. 0 promises nothing.
	Plan int64 `json:"plan"`
}

// Holdings is a hall's record of what its engines hold; it changes with loads and unloads.
type Holdings struct {
	Hall string `json:"hall"`
	// Controller is the peer address of the box that holds the hall's lease.
	Controller string             `json:"controller"`
	Engines    map[string]Holding `json:"engines"`
}

// Load is the number of requests at an engine when it last answered.
type Load struct {
	Running int `json:"r"`
	Queued  int `json:"q"`
}

// Loads is a hall's record of how busy its engines are; an engine that does not answer is left out.
type Loads struct {
	Engines map[string]Load `json:"engines"`
}

const (
	// defaultInterval is the pause between two looks at an engine: 1 s. A look costs 0.033% of
	// a core (docs/CAPACITY.md), 2.8% for the 86 engines of a hall.
	defaultInterval = time.Second
	// orderTimeout bounds one look at an engine with the order that follows it: 5 s.
	orderTimeout = 5 * time.Second
	// defaultOrderLife is the longest time an order may take effect after it was sent to an engine
	// that is not fenced: 30 s.
	defaultOrderLife = 30 * time.Second
	// reportLapseIntervals is the number of intervals without an answer after which an engine's
	// load is no longer published: 5.
	reportLapseIntervals = 5
	// ordersPerLook bounds the orders that follow each other without a pause: 16.
	ordersPerLook = 16
)

// itemBytes is the sum of the items' memory, in bytes.
func itemBytes(items []placement.Item) int64 {
	var bytes int64
	for _, item := range items {
		bytes += item.Bytes
	}
	return bytes
}

func hasItem(items []placement.Item, name string) bool {
	for _, item := range items {
		if item.Name == name {
			return true
		}
	}
	return false
}

func itemNames(items []placement.Item) []string {
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, item.Name)
	}
	return names
}
