package residency

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Config holds the settings and dependencies of a controller.
type Config struct {
	// Holder is this box's name.
	Holder    string
	Directory *fleet.Directory
	// Table returns the configuration in force; nil if there is none yet.
	Table   func() *routes.Table
	Engines Engines
	// Term returns the term under which orders may be sent now, or the error ErrNotHolder or ErrWaiting.
	Term func() (int64, error)
	// NotBefore returns the time before which an engine, given by its name, may not be sent orders, since
	// those of the former lease holder may still arrive. If it is nil, orders may be sent at once.
	NotBefore func(engine string) time.Time
	// Running returns the number of requests under way at an upstream; nil counts as 0.
	Running func(upstream string) int
	// Unresponsive reports whether an upstream answered none of the last requests. If it is nil, all
	// upstreams count as responsive.
	Unresponsive func(upstream string) bool
	Demand       *Demand
	// MoveCost is the minimum benefit that justifies a load, in squared engine time (see PlanInput).
	MoveCost float64
	Log      *zap.Logger
}

const (
	// planInterval is the time between plans.
	planInterval = 200 * time.Millisecond
	// planPauseFactor is the pause before the next plan, in multiples of the time that the last one took. It
	// keeps planning below a twentieth of a core, whatever the fleet's size.
	planPauseFactor = 20
)

// Controller plans moves and sends orders while its box holds the order lease.
type Controller struct {
	Config

	// ctx bounds the background work; Run sets it.
	ctx context.Context

	// mu guards the fields below. An engine's lock may be taken while it is held, not the reverse.
	mu sync.Mutex
	// term is the lease term under which the fields below were learned, except lastOrders.
	term    int64
	engines map[string]*engine
	// missed holds the latest request for each model that came while no engine that may serve it held the
	// model.
	missed map[ModelKey]missedRequest
	// loadEnds is when the last planned load of each model will probably be done.
	loadEnds map[ModelKey]time.Time
	// uses counts the running requests by engine, model and adapter, on all boxes.
	uses      map[ModelUse]int
	storeRate storeRate
	// needReports are the engines of the latest plan that have yet to be asked for a report. pendingReports
	// counts the engines that are being asked.
	needReports    []*engine
	pendingReports int
	// lastOrders is when each engine, by its name, was last sent an order, under any term.
	lastOrders map[string]time.Time
}

// missedRequest is a request for a model that no engine held that may serve the request.
type missedRequest struct {
	at time.Time
	engineFilter
}

// New returns a controller; Run starts it.
func New(config Config) *Controller {
	c := &Controller{Config: config, ctx: context.Background(), lastOrders: map[string]time.Time{}}
	c.reset(0)
	return c
}

// Run plans moves and starts them until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	timer := time.NewTimer(planInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			start := time.Now()
			c.tick(start)
			timer.Reset(max(planInterval-time.Since(start), planPauseFactor*time.Since(start)))
		}
	}
}

// backgroundContext returns the context that bounds background work.
func (c *Controller) backgroundContext() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ctx
}

// tick plans for every service that has engines, and starts the moves and prefetches that are due.
func (c *Controller) tick(now time.Time) {
	term, err := c.Term()
	if err != nil {
		return // Another box sends the orders, or this one may not send them yet.
	}
	c.enterTerm(term)
	table := c.Table()
	if table == nil {
		return
	}
	for name, service := range table.Services {
		if service.Engines != nil {
			c.planService(name, service, now)
		}
	}
}

func (c *Controller) planService(name string, service *routes.Service, now time.Time) {
	states := c.Directory.OfService(name)
	if len(states) == 0 {
		return
	}
	c.mu.Lock()
	c.storeRate.start(service.Engines.LoadsPerSecond, now)
	input := c.planInput(name, service, states, now)
	c.mu.Unlock()
	for _, move := range Plan(input) {
		c.startMove(name, service, move)
	}
	c.prefetch(name, service, now)
}

// engineService returns a service that has engines, or nil.
func (c *Controller) engineService(name string) *routes.Service {
	table := c.Table()
	if table == nil || table.Services[name] == nil || table.Services[name].Engines == nil {
		return nil
	}
	return table.Services[name]
}

// model returns the configuration of a model and of its service's engines, or nil.
func (c *Controller) model(service, model string) (*routes.Engines, *routes.Model) {
	described := c.engineService(service)
	if described == nil {
		return nil, nil
	}
	return described.Engines, described.Model(model)
}

// replicas returns the number of engines that hold the wanted model and may be sent the request.
func (c *Controller) replicas(want *Want) int {
	n := 0
	for _, state := range c.Directory.Holders(want.Service, want.Model) {
		if state.TakesWork() && want.allows(state) && !c.unresponsive(state.ID) {
			n++
		}
	}
	return n
}

// running returns how many requests are under way at an upstream.
func (c *Controller) running(upstream string) int {
	if c.Running == nil {
		return 0
	}
	return c.Running(upstream)
}

// unresponsive reports whether an upstream answered none of the last requests.
func (c *Controller) unresponsive(upstream string) bool {
	return c.Unresponsive != nil && c.Unresponsive(upstream)
}
