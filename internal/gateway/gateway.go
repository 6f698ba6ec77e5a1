package gateway

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// ErrAborted means that an answer was begun and can't be completed: whoever called Serve must break
// the caller's connection, so that the answer does not look whole.
const ErrAborted = errors.ConstError("answer can't be completed: the connection to the caller is broken off")

// Gateway serves requests. New makes one; its exported fields must not change after the first
// request.
type Gateway struct {
	Directory *fleet.Directory
	Loads     *dispatch.LoadTracker
	Chooser   *dispatch.Chooser
	Upstreams Upstreams
	// Regions are those of all halls, by hall.
	Regions map[string]string
	// Ensure asks the order holder for an adapter or model.
	Ensure func(ctx context.Context, want residency.Want) (residency.EnsureResult, error)
	// NoteDemand takes work that was asked for, in milliseconds of an engine's time.
	NoteDemand func(work map[residency.WorkKey]float64)
	// Reserve asks for an engine's time to read a prompt; nil, or an error, and requests go by the reported loads alone.
	Reserve func(ctx context.Context, asked dispatch.Reservation) (dispatch.ReservationAnswer, error)
	// AskRate asks for one request to an upstream that is cold or names a limit; it must be set.
	AskRate func(ctx context.Context, ask dispatch.RateAsk) (dispatch.RateGrant, error)
	// Quotas take the costs of requests off their customers' quotas.
	Quotas Quotas
	// Quarantine is what is known of requests under which upstreams crashed.
	Quarantine *quarantine.Register
	// Holdings bound what this box holds for callers; nil does not.
	Holdings *Holdings
	Log      *zap.Logger
	Metrics  *metrics.Set

	budget *retryBudget
	uses   modelUses
	table  atomic.Pointer[routes.Table]
	// configured is closed once there is a table.
	configured chan struct{}
	flight     atomic.Int64
	// crashChecks are the latest looks at upstreams whose answers broke.
	crashChecks crashChecks
	// customerNames are the customers that metrics name, and customerCount how many wanted to be.
	customerNames sync.Map
	customerCount atomic.Int64
}

// Config is what a gateway works with.
type Config struct {
	Directory *fleet.Directory
	Loads     *dispatch.LoadTracker
	Chooser   *dispatch.Chooser
	Upstreams Upstreams
	// Regions are those of all halls, by hall.
	Regions map[string]string
	// Ensure asks the order holder for an adapter or model.
	Ensure func(ctx context.Context, want residency.Want) (residency.EnsureResult, error)
	// Note takes work that was asked for, in milliseconds of an engine's time.
	Note func(work map[residency.WorkKey]float64)
	// Reserve asks for an engine's time to read a prompt; nil, or an error, and requests go by the reported loads alone.
	Reserve func(ctx context.Context, asked dispatch.Reservation) (dispatch.ReservationAnswer, error)
	// AskRate asks for one request to an upstream that is cold or names a limit; it must be set.
	AskRate func(ctx context.Context, ask dispatch.RateAsk) (dispatch.RateGrant, error)
	// Quotas take the costs of requests off their customers' quotas.
	Quotas Quotas
	// Quarantine is what is known of requests under which upstreams crashed; nil is a register of this box alone.
	Quarantine *quarantine.Register
	// MemoryBytes is this box's memory; 0 if it is not known.
	MemoryBytes int64
	// Retries bound the retries of the whole fleet; each of Boxes boxes takes its share.
	Retries RetryLimits
	// Boxes returns the largest number of boxes that were known at once.
	Boxes   func() int
	Log     *zap.Logger
	Metrics *metrics.Set
}

// New returns a gateway without a configuration: it refuses requests until SetTable.
func New(config Config) *Gateway {
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewRegister(quarantine.DefaultPolicy)
	}
	return &Gateway{
		Directory:  config.Directory,
		Loads:      config.Loads,
		Chooser:    config.Chooser,
		Upstreams:  config.Upstreams,
		Regions:    config.Regions,
		Ensure:     config.Ensure,
		NoteDemand: config.Note,
		Reserve:    config.Reserve,
		AskRate:    config.AskRate,
		Quotas:     config.Quotas,
		Quarantine: config.Quarantine,
		Holdings:   NewHoldings(config.MemoryBytes),
		Log:        config.Log,
		Metrics:    config.Metrics,
		budget:     newRetryBudget(config.Retries, config.Boxes),
		uses:       modelUses{running: map[residency.ModelUse]int{}},
		configured: make(chan struct{}),
	}
}

// SetTable puts a configuration in force; one that is not newer is ignored.
func (g *Gateway) SetTable(table *routes.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && old.Version >= table.Version {
			return false
		}
		if g.table.CompareAndSwap(old, table) {
			if old == nil {
				close(g.configured)
			}
			return true
		}
	}
}

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *routes.Table { return g.table.Load() }

// InFlight counts the requests under way.
func (g *Gateway) InFlight() int64 { return g.flight.Load() }

// ModelUses lists what this box has running, by upstream, model and adapter.
func (g *Gateway) ModelUses() []residency.ModelUse { return g.uses.list() }
