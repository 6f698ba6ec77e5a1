// Package orders brings a hall's engines to what the plan wants.
//
// One box of the hall does this at a time, under a lease with a term. Memory is never
// overcommitted: an order is sent only if what the engine holds, plus every load that may
// still take effect, leaves room for it. How a load is known to be impossible depends on the
// engine: a fenced one refuses lower terms and earlier sequences; for one that is not
// fenced, each order is first written down as an intent in the key-value service.
package orders

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/placement"
)

// Kinds of failure of an order.
const (
	// ErrRefused: the engine did not do it and won't.
	ErrRefused = errors.ConstError("order refused: read the engine's state and plan again")
	// ErrFenced: a higher term was seen; this controller's time is over.
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
	Resident []placement.Item
	Loading  []placement.Item
	Running  int
	Queued   int
	// Slots is how many requests run at once at full speed.
	Slots   int
	Leaving bool
	Role    string
	// Term is the highest term the engine has seen.
	Term int64
}

// Engine is one engine as its controller reaches it.
// An order's error is ErrRefused or ErrFenced; any other may or may not have taken effect.
type Engine struct {
	ID string
	// Fenced engines check who orders.
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
	// Plan is the number of the plan that the controller goes by: no unload that an
	// older plan asked for can take effect any more.
	Plan int64 `json:"plan"`
}

// Holdings is a hall's record of what its engines hold; it changes with loads and unloads.
type Holdings struct {
	Hall string `json:"hall"`
	// Controller is the peer address of the box that holds the hall's lease.
	Controller string             `json:"controller"`
	Engines    map[string]Holding `json:"engines"`
}

// Load is how busy an engine was at its last report.
type Load struct {
	Running int `json:"r"`
	Queued  int `json:"q"`
}

// Loads is a hall's record of how busy its engines are; an engine that can't be heard is left out.
type Loads struct {
	Engines map[string]Load `json:"engines"`
}

// Defaults of a controller's times.
const (
	DefaultInterval  = time.Second
	DefaultOrderTime = 5 * time.Second
	DefaultOrderLife = 30 * time.Second
)

// itemBytes adds up the memory of items.
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
