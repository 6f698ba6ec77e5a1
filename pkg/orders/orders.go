// Package orders loads and unloads items (models and adapters) on the engines of a hall, as the plan
// calls for.
//
// One box of the hall at a time, the controller, sends the orders, under a lease with a term. The
// package owns the choice of the next order, the fences and the intents of the hall; it relies
// on pkg/lease for the term, on pkg/placement for the plan and on pkg/kv for the intents.
//
// Memory is never overcommitted: a load is sent only if it fits beside what the engine holds and
// every load that may still take effect. How the controller knows that an earlier order can no
// longer take effect depends on the engine. A fenced engine refuses orders of a lower term or an
// earlier sequence. For an unfenced engine, each order is first written to the key-value service
// as an intent.
//
// The package belongs to the native mode, `ospreymoor serve`, where one plan for the fleet is stored
// and each hall's controller follows it. On `ospreymoor node`, pkg/residency plans and orders in one
// process, under one order lease for all halls, on engines that do not check terms.
package orders

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/placement"
)

// Errors that an Engine returns for an order.
const (
	// ErrRefused means that the engine did not execute the order and will not execute it later.
	ErrRefused = errors.ConstError("order refused: read the engine's state and plan again")
	// ErrFenced means that a higher term was seen: another controller sends the orders now.
	ErrFenced = errors.ConstError("order refused, a higher term rules: stop ordering")
)

// Authority is the term under which an order is sent, and the order's sequence number within the term.
type Authority struct {
	Term     int64
	Sequence int64
}

// State is the state that an engine reports.
type State struct {
	// Incarnation changes with each start of the engine.
	Incarnation string
	// Capacity is the memory for items, in bytes.
	Capacity int64
	// Resident are the items in memory, Loading those that are being loaded.
	Resident []placement.Item
	Loading  []placement.Item
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
	// Slots is the number of requests that run at once at full speed.
	Slots int
	// Leaving is set if the engine accepts nothing new.
	Leaving bool
	// Term is the highest term that the engine has seen.
	Term int64
}

// Engine holds the calls by which a controller reaches one engine.
// After ErrRefused or ErrFenced an order has no effect; after any other error it may have one.
type Engine struct {
	ID string
	// Fenced engines refuse orders of a lower term or an earlier sequence.
	Fenced bool
	// Fence makes the engine refuse orders of a lower term or an earlier sequence, and returns its state
	// after that.
	Fence func(context.Context, Authority) (State, error)
	// State returns the engine's current state.
	State func(context.Context) (State, error)
	// Load starts to load an item into memory.
	Load func(context.Context, Authority, placement.Item) error
	// Unload frees an item's memory.
	Unload func(ctx context.Context, authority Authority, name string) error
}

// Holding is what one engine held when its controller last polled it.
type Holding struct {
	Incarnation string   `json:"incarnation"`
	Capacity    int64    `json:"capacity"`
	Slots       int      `json:"slots"`
	Leaving     bool     `json:"leaving,omitempty"`
	Resident    []string `json:"resident"`
	Loading     []string `json:"loading,omitempty"`
	// Plan is the number of the plan that the controller follows: no unload that an older
	// plan called for can still take effect. 0 gives no such guarantee.
	Plan int64 `json:"plan"`
}

// Holdings is a hall's published record of what its engines hold; it changes with loads and unloads.
type Holdings struct {
	Hall string `json:"hall"`
	// Controller is the peer address of the box that holds the hall's lease.
	Controller string             `json:"controller"`
	Engines    map[string]Holding `json:"engines"`
}

// Load holds the numbers of running and queued requests at an engine when it last answered.
type Load struct {
	Running int `json:"r"`
	Queued  int `json:"q"`
}

// Loads is a hall's published record of its engines' loads; an engine that does not answer is left out.
type Loads struct {
	Engines map[string]Load `json:"engines"`
}

const (
	// defaultInterval is the pause between two polls of an engine: 1 s. Polling an engine at this
	// interval costs 0.033% of a core (docs/CAPACITY.md), or 2.8% for the 86 engines of a hall.
	defaultInterval = time.Second
	// pollTimeout bounds one poll of an engine and the order that follows it: 5 s.
	pollTimeout = 5 * time.Second
	// defaultOrderLife is the longest time after which an order that was sent to an unfenced engine
	// may still take effect: 30 s.
	defaultOrderLife = 30 * time.Second
	// maxAnswerAgeIntervals is the number of intervals without an answer after which an engine's
	// load is no longer published, and after which the controller no longer waits for a first answer
	// before it publishes: 5.
	maxAnswerAgeIntervals = 5
	// maxOrderBurst bounds the orders that follow each other without a pause: 16.
	maxOrderBurst = 16
)

// itemBytes returns the memory that the items take together, in bytes.
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
