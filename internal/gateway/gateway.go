package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/quarantine"
	"ospreymoor.example/ospreymoor/pkg/residency"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// ErrAborted is returned by Serve when an answer was begun and cannot be completed. The caller of Serve must then
// close the client's connection abnormally, so that the truncated answer does not look complete.
const ErrAborted = errors.ConstError("answer can't be completed: the connection to the caller is broken off")

// Gateway serves requests. Create one with New. Its exported fields must not change after the first request.
type Gateway struct {
	Directory *fleet.Directory
	Loads     *dispatch.LoadTracker
	Chooser   *dispatch.Chooser
	Upstreams Upstreams
	// Regions maps each hall to its region.
	Regions map[string]string
	// Ensure asks the order holder to load an adapter or model.
	Ensure func(ctx context.Context, want residency.Want) (residency.EnsureResult, error)
	// RecordDemand records requested work per model, in milliseconds of engine time.
	RecordDemand func(work map[residency.WorkKey]float64)
	// Tunnels are the connections that other boxes open to upstreams for this one. The zero value means that there are none.
	Tunnels Tunnels
	// Reserve reserves engine time for the prefill of a prompt. If it is nil or returns an error, requests are placed
	// by the reported loads alone.
	Reserve func(ctx context.Context, asked dispatch.Reservation) (dispatch.ReservationAnswer, error)
	// FinishPrompt reports that an engine has prefilled a prompt for which time was reserved, or will not do so. It
	// may be nil.
	FinishPrompt func(ctx context.Context, finished dispatch.FinishedPrompt)
	// AskRate asks for permission to send one request to an upstream that is cold or names a limit. It
	// must be set.
	AskRate func(ctx context.Context, ask dispatch.RateRequest) (dispatch.RateGrant, error)
	// ReportRejection reports to an upstream's keeper that the upstream rejected a request for want of room. It may be nil.
	ReportRejection func(ctx context.Context, upstream string)
	// Places takes and returns places at the upstreams of plain services.
	Places Places
	// LateReturns reports whether refused callers are told to return late (returns.go); nil means never.
	LateReturns func() bool
	// Quotas charges the costs of requests to their customers' quotas.
	Quotas Quotas
	// Origins records and finds the software versions at which streams began. The zero value does neither.
	Origins Origins
	// ListAge returns how long ago this box's copy of the list of upstreams and of the configuration was known to be current;
	// negative if it never was. nil means that it is current.
	ListAge func() time.Duration
	// ConfigMissing reports whether this box knows of a newer configuration than the one in force. nil means that it does
	// not.
	ConfigMissing func() bool
	// Quarantine holds what is known about requests under which upstreams crashed.
	Quarantine *quarantine.Register
	// CrashParts holds what is known about shared parts of prompts under which upstreams crashed.
	CrashParts *quarantine.PartRegister
	// Reach holds which halls this box does not reach.
	Reach fleet.Reach
	// Links tracks whether this box reaches any upstream over its own links.
	Links fleet.Links
	// CallerMemory limits the memory that this box uses for callers' bodies and answers. nil sets no limit.
	CallerMemory *MemoryBudget
	// MaxConnections limits the connections of callers to this box; 0 sets no limit.
	MaxConnections int
	// LinkBytesPerSecond is the rate of this box's network link; 0 if unknown.
	LinkBytesPerSecond float64
	// BoxesInTouch returns the number of boxes that this one is in touch with, itself included. nil means that there is no
	// other box.
	BoxesInTouch func() int
	Log          *zap.Logger
	Metrics      *metrics.Set

	budget *retryBudget
	uses   modelUses
	table  atomic.Pointer[routes.Table]
	// configured is closed once a route table is in force.
	configured chan struct{}
	inFlight   atomic.Int64
	// started holds the streams of this box that are not complete.
	started *origins.Register
	// crashChecks holds the recent checks of upstreams whose answers broke off.
	crashChecks crashChecks
	// sendLimit limits what is sent while this box stops.
	sendLimit sendLimit
	// customerNames are the customers with a metric label of their own. customerCount counts each use of a name
	// that had none yet, and so bounds the number of labels.
	customerNames sync.Map
	customerCount atomic.Int64
}

// Config holds the dependencies and settings of a Gateway.
type Config struct {
	Directory *fleet.Directory
	Loads     *dispatch.LoadTracker
	Chooser   *dispatch.Chooser
	Upstreams Upstreams
	// Regions maps each hall to its region.
	Regions map[string]string
	// Ensure asks the order holder to load an adapter or model.
	Ensure func(ctx context.Context, want residency.Want) (residency.EnsureResult, error)
	// RecordDemand records requested work per model, in milliseconds of engine time.
	RecordDemand func(work map[residency.WorkKey]float64)
	// Tunnels are the connections that other boxes open to upstreams for this one. The zero value means that there are none.
	Tunnels Tunnels
	// Reserve reserves engine time for the prefill of a prompt. If it is nil or returns an error, requests are placed
	// by the reported loads alone.
	Reserve func(ctx context.Context, asked dispatch.Reservation) (dispatch.ReservationAnswer, error)
	// FinishPrompt reports that an engine has prefilled a prompt for which time was reserved, or will not do so. It
	// may be nil.
	FinishPrompt func(ctx context.Context, finished dispatch.FinishedPrompt)
	// AskRate asks for permission to send one request to an upstream that is cold or names a limit. It
	// must be set.
	AskRate func(ctx context.Context, ask dispatch.RateRequest) (dispatch.RateGrant, error)
	// ReportRejection reports to an upstream's keeper that the upstream rejected a request for want of room. It may be nil.
	ReportRejection func(ctx context.Context, upstream string)
	// Places takes and returns places at the upstreams of plain services.
	Places Places
	// LateReturns reports whether refused callers are told to return late (returns.go); nil means never.
	LateReturns func() bool
	// Quotas charges the costs of requests to their customers' quotas.
	Quotas Quotas
	// Origins records and finds the software versions at which streams began.
	Origins Origins
	// ListAge returns how long ago this box's copy of the list of upstreams and of the configuration was known to be current;
	// negative if it never was. nil means that it is current.
	ListAge func() time.Duration
	// Quarantine holds what is known about requests under which upstreams crashed. nil creates a register that only
	// this box uses.
	Quarantine *quarantine.Register
	// CrashParts holds what is known about shared parts of prompts under which upstreams crashed. nil creates a register
	// that only this box uses.
	CrashParts *quarantine.PartRegister
	// MemoryBytes is this box's memory; 0 if unknown.
	MemoryBytes int64
	// MaxConnections limits the connections of callers to this box; 0 sets no limit.
	MaxConnections int
	// Retries limits the retries of the whole fleet. Each box uses an equal share, by the number that Boxes
	// returns.
	Retries RetryLimits
	// Boxes returns the largest number of boxes that were ever known at the same time.
	Boxes   func() int
	Log     *zap.Logger
	Metrics *metrics.Set
}

// New returns a gateway without a route table. It refuses requests until SetTable is called.
func New(config Config) *Gateway {
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewRegister(quarantine.DefaultPolicy)
	}
	if config.CrashParts == nil {
		config.CrashParts = quarantine.NewPartRegister(quarantine.DefaultPartPolicy, "")
	}
	g := &Gateway{
		Directory:    config.Directory,
		Loads:        config.Loads,
		Chooser:      config.Chooser,
		Upstreams:    config.Upstreams,
		Regions:      config.Regions,
		Ensure:       config.Ensure,
		Tunnels:      config.Tunnels,
		RecordDemand: config.RecordDemand,
		Reserve:      config.Reserve,
		FinishPrompt: config.FinishPrompt,
		AskRate:      config.AskRate,

		ReportRejection: config.ReportRejection,

		Places:       config.Places,
		LateReturns:  config.LateReturns,
		Quotas:       config.Quotas,
		Origins:      config.Origins,
		ListAge:      config.ListAge,
		Quarantine:   config.Quarantine,
		CrashParts:   config.CrashParts,
		CallerMemory: NewMemoryBudget(config.MemoryBytes),

		MaxConnections: config.MaxConnections,

		Log:        config.Log,
		Metrics:    config.Metrics,
		budget:     newRetryBudget(config.Retries, config.Boxes),
		uses:       modelUses{running: map[residency.ModelUse]int{}},
		configured: make(chan struct{}),
		started:    origins.NewRegister(),
	}
	g.watchReach()
	g.watchLinks()
	return g
}

// SetTable puts a route table in force and reports whether it did. A table that does not replace the current one is
// ignored.
func (g *Gateway) SetTable(table *routes.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && !table.Replaces(old) {
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

// Table returns the route table in force, or nil if there is none yet.
func (g *Gateway) Table() *routes.Table { return g.table.Load() }

// listAge returns how long ago this box's copy of the list of upstreams was known to be current.
func (g *Gateway) listAge() time.Duration {
	if g.ListAge == nil {
		return 0
	}
	return g.ListAge()
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ModelUses lists this box's requests in flight by upstream, model and adapter.
func (g *Gateway) ModelUses() []residency.ModelUse { return g.uses.list() }
