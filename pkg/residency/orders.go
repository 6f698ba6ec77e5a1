// Package residency decides which models and adapters the engines hold, and orders it.
//
// One process at a time gives orders: the holder of a lease. Every order names the number of
// orders that the engine has taken before it, so that a copy which is carried out late fails.
// What an unanswered order may have done counts as done until the engine's word settles it.
package residency

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// Operation is what an order asks for.
type Operation string

// The operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order changes what one engine holds.
type Order struct {
	Operation Operation
	Model     string
	// Adapter is empty for the model itself.
	Adapter string
	// Expected is the number of orders that the engine must have taken so far.
	Expected int64
	// Holder is the machine that gives the order, and Term that of its lease.
	Holder string
	Term   int64
}

// dropsAdapter tells whether the order unloads an adapter. It is given only where the engine has
// the adapter: an answer that it has it no more says that it was dropped at once, which counts as
// an order taken.
func (o Order) dropsAdapter() bool { return o.Adapter != "" && o.Operation == Unload }

// Result is an engine's answer to an order.
type Result int

// The answers to an order.
const (
	// Unanswered: the order may be carried out, now or later.
	Unanswered Result = iota
	// Accepted: it is under way.
	Accepted
	// Already: the engine holds, or lacks, what the order asks for; it may have come to so at once.
	Already
	// Conflict: another order is under way, or the engine has taken another number of orders.
	Conflict
	// Refused: the engine knows a higher term.
	Refused
	// Gone: another engine, or none, is at the address.
	Gone
	// NotAllowed: the order was not given, since the engine turned out to hold something else.
	NotAllowed
)

// String names a result for logs.
func (r Result) String() string {
	return [...]string{"unanswered", "accepted", "already", "conflict", "refused", "gone", "not allowed"}[r]
}

// Report is what an engine says of itself, some hundred milliseconds late.
type Report struct {
	Models []fleet.Holding
	// Busy tells that an order is under way.
	Busy bool
	// OrderCount is the number of orders that the engine has taken.
	OrderCount int64
}

// Engines is the port to the engines.
type Engines struct {
	// Order gives one order, once. An order that certainly was not sent is Conflict with the error.
	Order func(ctx context.Context, to fleet.Upstream, order Order) (Result, error)
	// Report asks an engine what it holds.
	Report func(ctx context.Context, of fleet.Upstream) (Report, error)
}

// Kinds of failure.
const (
	// ErrNotHolder says that this process does not hold the order lease.
	ErrNotHolder = errors.ConstError("not the holder of the order lease: ask the machine that is")
	// ErrWaiting says that the lease was gained too recently: the former holder's orders may
	// still arrive.
	ErrWaiting = errors.ConstError("order lease gained only now: ask again when the former holder's time is over")
	// ErrNoPlace says that no engine can take what is asked for at the moment.
	ErrNoPlace = errors.ConstError("no engine can take it now: ask again later")
	// ErrUnknownModel says that the configuration names no such model or adapter.
	ErrUnknownModel = errors.ConstError("model or adapter not in the configuration: check its name")
	// ErrBusy says that an order is under way at the engine whose end can't be foreseen.
	ErrBusy = errors.ConstError("engine has an order under way: ask again later")
	// ErrFailed says that an order did not go through.
	ErrFailed = errors.ConstError("engine did not carry out the order: ask again")
)

// Times of orders.
const (
	// orderTimeout is after how long an order counts as unanswered.
	orderTimeout = 400 * time.Millisecond
	// reportTimeout bounds the asking for a report.
	reportTimeout = 500 * time.Millisecond
	// reportLag is how old an engine's report may be.
	reportLag = 600 * time.Millisecond
	// orderTries bounds how often one order is sent under one count, and orderRounds how often
	// the count is learned anew for it.
	orderTries  = 6
	orderRounds = 2
	// conflictPause is the first wait after an order met another under way; it grows by
	// conflictGrowth up to longConflictPause.
	conflictPause     = 8 * time.Millisecond
	conflictGrowth    = 3
	longConflictPause = 600 * time.Millisecond
)
