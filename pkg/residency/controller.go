package residency

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Config is what a controller works with.
type Config struct {
	// Holder is this box's name.
	Holder    string
	Directory *fleet.Directory
	// Table returns the configuration in force; nil if there is none yet.
	Table   func() *routes.Table
	Engines Engines
	// Term returns the term under which orders may be given now, ErrNotHolder or ErrWaiting.
	Term func() (int64, error)
	// NotBefore is from when on an engine, by its name, may be given orders, after those of a former holder; nil
	// allows them at once.
	NotBefore func(engine string) time.Time
	// Running returns how many requests are under way at an upstream; nil takes 0.
	Running func(upstream string) int
	// Unresponsive reports whether an upstream answered none of the last requests; nil takes all as
	// responsive.
	Unresponsive func(upstream string) bool
	Demand       *Demand
	// MoveCost is the least benefit that is worth a load, in squared engine time.
	MoveCost float64
	Log      *zap.Logger
}

const (
	// planInterval is the time between plans.
	planInterval = 200 * time.Millisecond
	// planPause is how many times as long as a plan took the next one waits, so that planning takes a twentieth of a core at most,
	// whatever the fleet's size.
	planPause = 20
)

// Controller gives orders while its box holds the order lease.
type Controller struct {
	Config

	// ctx bounds the jobs in the background; it is set by Run.
	ctx context.Context

	// mu guards the fields below. An engine's lock may be taken while it is held, not the reverse.
	mu sync.Mutex
	// term under which the fields below were learned, but for lastOrders.
	term    int64
	engines map[string]*engine
	// missed is when each model was last asked for while no engine that may serve it held it.
	missed map[ModelKey]missed
	// loadEnds is when a model's last planned load will probably be done.
	loadEnds map[ModelKey]time.Time
	// uses is what all boxes have running with adapters.
	uses      map[ModelUse]int
	storeRate storeRate
	// toLearn are the engines of the latest plan that have yet to be asked for reports, and learning counts those that are being asked.
	toLearn  []*engine
	learning int
	// lastOrders is when each engine, by its name, was last given an order, under any term.
	lastOrders map[string]time.Time
}

// missed is a request for a model that no engine held which may serve it.
type missed struct {
	at time.Time
	// halls are those whose engines may; empty, and all may.
	halls []string
}

// New returns a controller; Run starts it.
func New(config Config) *Controller {
	c := &Controller{Config: config, ctx: context.Background(), lastOrders: map[string]time.Time{}}
	c.reset(0)
	return c
}

// Run plans and orders until ctx ends.
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
			begun := time.Now()
			c.tick(begun)
			timer.Reset(max(planInterval-time.Since(begun), planPause*time.Since(begun)))
		}
	}
}

// jobs is the context of jobs in the background.
func (c *Controller) jobs() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ctx
}

// tick plans for every service that has engines, and starts what is due.
func (c *Controller) tick(now time.Time) {
	term, err := c.Term()
	if err != nil {
		return // Another box gives the orders, or this one will soon.
	}
	c.enter(term)
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
	c.storeRate.begin(service.Engines.LoadsPerSecond, now)
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

// model returns a model's description and that of its service's engines, or nil.
func (c *Controller) model(service, model string) (*routes.Engines, *routes.Model) {
	described := c.engineService(service)
	if described == nil {
		return nil, nil
	}
	return described.Engines, described.Model(model)
}

// replicas counts the engines that may be sent what is wanted, as far as its model goes.
func (c *Controller) replicas(want *Want) int {
	n := 0
	for _, state := range c.Directory.Holders(want.Service, want.Model) {
		if state.TakesWork() && want.allows(state.Hall) && !c.unresponsive(state.ID) {
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
