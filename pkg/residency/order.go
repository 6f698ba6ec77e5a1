package residency

import (
	"context"

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
	// ExpectedCount is the number of orders that the engine must have taken so far.
	ExpectedCount int64
	// Holder is the box that gives the order, and Term that of its lease.
	Holder string
	Term   int64
}

// dropsAdapter reports whether the order unloads an adapter. It is given only where the engine has
// the adapter. So the answer Already means that the engine dropped it at once, and the engine counts
// the order.
func (o Order) dropsAdapter() bool { return o.Adapter != "" && o.Operation == Unload }

// Result is what became of an order.
type Result int

// The results of an order.
const (
	// Unanswered: the order may be carried out, now or later.
	Unanswered Result = iota
	// Accepted: it is under way.
	Accepted
	// Already: the engine holds, or lacks, what the order asks for, perhaps by this order.
	Already
	// Conflict: another order is under way, or the engine has taken another number of orders.
	Conflict
	// Refused: the engine knows a higher term.
	Refused
	// Gone: another engine, or none, is at the address.
	Gone
	// NotAllowed: the order was not sent, since the engine's report left no room for it.
	NotAllowed
)

// String names a result for logs.
func (r Result) String() string {
	return [...]string{"unanswered", "accepted", "already", "conflict", "refused", "gone", "not allowed"}[r]
}

// Report is what an engine reports of itself, some hundred milliseconds late.
type Report struct {
	Models []fleet.Holding
	// Busy reports that an order is under way.
	Busy bool
	// OrderCount is the number of orders that the engine has taken.
	OrderCount int64
}

// Engines is the port to the engines.
type Engines struct {
	// Order sends one order, once. An order that certainly was not sent is Conflict with the error.
	Order func(ctx context.Context, to *fleet.Endpoint, order Order) (Result, error)
	// Report asks an engine what it holds.
	Report func(ctx context.Context, of *fleet.Endpoint) (Report, error)
}

// Kinds of failure.
const (
	// ErrNotHolder: this box does not hold the order lease.
	ErrNotHolder = errors.ConstError("not the holder of the order lease: ask the box that is")
	// ErrWaiting: the lease was gained so recently that the former holder's orders may still arrive.
	ErrWaiting = errors.ConstError("order lease gained only now: ask again when the former holder's time is over")
	// ErrNoPlace: no engine can take what is asked for at the moment.
	ErrNoPlace = errors.ConstError("no engine can take it now: ask again later")
	// ErrUnknownModel: the configuration names no such model.
	ErrUnknownModel = errors.ConstError("model or adapter not in the configuration: check its name")
	// ErrBusy: the engine carries out an order whose end is unknown.
	ErrBusy = errors.ConstError("engine has an order under way: ask again later")
	// ErrFailed: an order was not carried out.
	ErrFailed = errors.ConstError("engine did not carry out the order: ask again")
)
