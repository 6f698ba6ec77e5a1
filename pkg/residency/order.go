package residency

import (
	"context"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// Operation is the kind of an order.
type Operation string

// The operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order asks an engine to load or unload a model or adapter.
type Order struct {
	Operation Operation
	Model     string
	// Adapter is empty for the model itself.
	Adapter string
	// ExpectedCount is the number of orders that the engine must have taken before this one.
	ExpectedCount int64
	// Holder is the box that sends the order, and Term that of its lease.
	Holder string
	Term   int64
}

// unloadsAdapter reports whether the order unloads an adapter. Such an order is sent only to an engine that
// has the adapter. The answer Already then means that the engine dropped the adapter at once and counted the
// order.
func (o Order) unloadsAdapter() bool { return o.Adapter != "" && o.Operation == Unload }

// Result is the outcome of an order.
type Result int

// The results of an order.
const (
	// Unanswered: there was no answer. The order may be carried out, now or later.
	Unanswered Result = iota
	// Accepted: the order is under way.
	Accepted
	// Already: the engine is in the state that the order asks for, perhaps because of this order.
	Already
	// Conflict: another order is under way, or the engine has taken a different number of orders than
	// expected.
	Conflict
	// Refused: the engine has seen a higher term.
	Refused
	// Gone: another engine, or none, is at the address.
	Gone
	// NotAllowed: the order was not sent, because it does not fit what the engine holds by its report.
	NotAllowed
)

// String returns the result's name in logs.
func (r Result) String() string {
	return [...]string{"unanswered", "accepted", "already", "conflict", "refused", "gone", "not allowed"}[r]
}

// Report is the report of an engine about itself. It lags behind by some hundred milliseconds.
type Report struct {
	Models []fleet.Holding
	// Busy reports that an order is under way.
	Busy bool
	// OrderCount is the number of orders that the engine has taken.
	OrderCount int64
}

// Engines holds the calls to the engines.
type Engines struct {
	// Order sends an order once. If the order was certainly not sent, it returns Conflict and the error.
	Order func(ctx context.Context, to *fleet.Endpoint, order Order) (Result, error)
	// Report asks an engine what it holds.
	Report func(ctx context.Context, of *fleet.Endpoint) (Report, error)
}

// Kinds of failure.
const (
	// ErrNotHolder: this box does not hold the order lease.
	ErrNotHolder = errors.ConstError("not the holder of the order lease: ask the box that is")
	// ErrWaiting: the lease was gained so recently that orders of the former holder may still arrive.
	ErrWaiting = errors.ConstError("order lease gained only now: ask again when the former holder's time is over")
	// ErrNoCapacity: no engine can take the requested model or adapter at the moment.
	ErrNoCapacity = errors.ConstError("no engine can take it now: ask again later")
	// ErrUnknownModel: the configuration contains no such model.
	ErrUnknownModel = errors.ConstError("model or adapter not in the configuration: check its name")
	// ErrBusy: the engine is carrying out an order, and when it ends is not known.
	ErrBusy = errors.ConstError("engine has an order under way: ask again later")
	// ErrFailed: an order was not carried out.
	ErrFailed = errors.ConstError("engine did not carry out the order: ask again")
)
