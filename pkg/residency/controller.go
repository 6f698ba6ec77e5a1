package residency

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Config is what a controller works with.
type Config struct {
	// Holder is this machine's name.
	Holder    string
	Directory *fleet.Directory
	Table     func() *routes.Table
	Engines   Engines
	// Term returns the term under which orders may be given now, or an error.
	Term func() (int64, error)
	// NotBefore is when an engine may be given orders, after those of a former holder.
	NotBefore func(engine string) time.Time
	// Running tells how many requests are under way at a back end.
	Running func(backend string) int
	// Unresponsive tells whether nobody gets an answer from a back end lately; nil takes none for that.
	Unresponsive func(backend string) bool
	Demand       *Demand
	// MoveCost is what a load must gain at least, in squared engine time.
	MoveCost float64
	// PlanInterval is the time between plans; 0 takes 200 ms.
	PlanInterval time.Duration
	Log          *zap.Logger
}

// Controller gives orders while its process holds the order lease.
type Controller struct {
	Config

	// ctx bounds the jobs; it is set by Run.
	ctx context.Context

	mu      sync.Mutex
	engines map[string]*engine
	// missed are models that were asked for while no engine held them.
	missed map[ModelKey]time.Time
	// coming is when a model's load under way will be done.
	coming map[ModelKey]time.Time
	term   int64
	// lastOrders is when each engine was last given an order, under any term.
	lastOrders map[string]time.Time
	// uses is what all machines have running with adapters.
	uses map[AdapterUse]int
	// loads bounds the loads from the weight store, and planned counts those that were planned
	// and have not been ordered yet.
	loads   *rate.Limiter
	planned int
}

const (
	defaultPlanInterval = 200 * time.Millisecond
	// leastMoves bounds the moves started by one plan, and enginesPerMove where there are many
	// engines.
	leastMoves     = 4
	enginesPerMove = 10
	// storeBurst is how many loads from the weight store may begin at once.
	storeBurst = 4
	// storeShare is the part of the weight store's rate that is used.
	storeShare = 0.95
	// missedTime is how long a request for a model that nobody holds is remembered.
	missedTime = 10 * time.Second
)

// New returns a controller; Run starts it.
func New(config Config) *Controller {
	if config.PlanInterval == 0 {
		config.PlanInterval = defaultPlanInterval
	}
	c := &Controller{Config: config, ctx: context.Background(), lastOrders: map[string]time.Time{}}
	c.reset(0)
	return c
}

// Run plans and orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	ticker := time.NewTicker(c.PlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
}

// jobs is the context of jobs in the background.
func (c *Controller) jobs() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ctx
}

// reset forgets everything learned under an older term: others may have given orders since. The
// caller holds the lock.
func (c *Controller) reset(term int64) {
	c.term = term
	c.engines = map[string]*engine{}
	c.missed = map[ModelKey]time.Time{}
	c.coming = map[ModelKey]time.Time{}
	c.uses = map[AdapterUse]int{}
	c.loads = nil
	c.planned = 0
}

// keptOrders is how long the time of an engine's last order is kept.
const keptOrders = time.Minute

// LastOrders returns how long ago engines were given their last orders.
func (c *Controller) LastOrders() map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := make(map[string]time.Duration, len(c.lastOrders))
	for id, at := range c.lastOrders {
		ages[id] = time.Since(at)
	}
	return ages
}

// noteOrder notes that an engine is given an order now.
func (c *Controller) noteOrder(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for id, at := range c.lastOrders {
		if now.Sub(at) > keptOrders {
			delete(c.lastOrders, id)
		}
	}
	c.lastOrders[engine] = now
}

// mayOrder tells whether the engine may be given orders after those of a former holder.
func (e *engine) mayOrder() bool {
	return e.controller.NotBefore == nil || !time.Now().Before(e.controller.NotBefore(e.id))
}

// mayOrder returns the term under which an order may be given at this moment.
func (c *Controller) mayOrder() (int64, error) { return c.Term() }

// tick takes note of what changed and starts the moves that are due.
func (c *Controller) tick(now time.Time) {
	term, err := c.mayOrder()
	if err != nil {
		return
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

// enter forgets what was learned under another term.
func (c *Controller) enter(term int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term == c.term {
		return
	}
	c.reset(term)
	c.Log.Info("orders begin", zap.Int64("term", term))
}

func (c *Controller) planService(name string, service *routes.Service, now time.Time) {
	states := c.Directory.Of(name)
	if len(states) == 0 {
		return
	}
	c.mu.Lock()
	if c.loads == nil {
		// A new holder counts the weight store's rate as used up.
		c.loads = rate.NewLimiter(rate.Limit(storeShare*service.Engines.LoadsPerSecond), storeBurst)
		c.loads.AllowN(now, storeBurst)
	}
	input := c.planInput(name, service, states, now)
	input.StoreLoads = int(c.loads.TokensAt(now)) - c.planned
	c.mu.Unlock()
	for _, move := range Plan(input) {
		c.start(name, service, move)
	}
	c.prefetch(name, service, now)
}

// spendLoad waits until the weight store allows one more load, at the moment of its order: the
// unloads before it may have taken long.
func (c *Controller) spendLoad(ctx context.Context, term int64) bool {
	c.mu.Lock()
	loads := c.loads
	if c.term != term || loads == nil {
		c.mu.Unlock()
		return false
	}
	c.planned--
	c.mu.Unlock()
	return loads.Wait(ctx) == nil
}

// unplan forgets a planned load that is not ordered after all.
func (c *Controller) unplan(term int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term {
		c.planned--
	}
}

// engine returns the state of one engine. The caller holds the lock.
func (c *Controller) engine(id, service string) *engine {
	e := c.engines[id]
	if e == nil {
		e = newEngine(c, id, service)
		c.engines[id] = e
	}
	return e
}

// model returns a model's description and that of its service's engines, or nil.
func (c *Controller) model(service, model string) (*routes.Engines, *routes.Model) {
	table := c.Table()
	if table == nil || table.Services[service] == nil || table.Services[service].Engines == nil {
		return nil, nil
	}
	return table.Services[service].Engines, table.Services[service].Model(model)
}

// modelMegabytes is the memory that the engine's models take. The caller holds the lock.
func (e *engine) modelMegabytes() float64 {
	state := e.controller.Directory.Get(e.id)
	if state == nil {
		return 0
	}
	used := 0.0
	for _, model := range e.held(state) {
		if _, described := e.controller.model(e.service, model); described != nil {
			used += described.Megabytes
		}
	}
	return used
}

// copies counts the engines that may be sent requests for a model.
func (c *Controller) copies(service, model string) int {
	n := 0
	for _, state := range c.Directory.Of(service) {
		if !state.Leaving && !c.silent(state.ID) && state.Holds(model) {
			n++
		}
	}
	return n
}

func (c *Controller) load(backend string) int {
	if c.Running == nil {
		return 0
	}
	return c.Running(backend)
}

// silent tells whether nobody gets an answer from a back end lately.
func (c *Controller) silent(backend string) bool {
	return c.Unresponsive != nil && c.Unresponsive(backend)
}

// wantModel notes that a model is asked for which nobody holds, and tells when it will be there.
func (c *Controller) wantModel(service, model string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	key := ModelKey{service, model}
	c.missed[key] = now
	if at, ok := c.coming[key]; ok && at.After(now) {
		return at.Sub(now)
	}
	if _, described := c.model(service, model); described != nil {
		return described.LoadTime + defaultPlanInterval
	}
	return 0
}

// announce puts one engine's change into the directory, from where peers are told.
func (c *Controller) announce(e *engine) {
	term, err := c.Term()
	if err != nil {
		return
	}
	// An older state of the engine must not follow a newer one.
	e.announcing.Lock()
	defer e.announcing.Unlock()
	sequence := c.Directory.Publish(term, e.id, e.residency())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence = sequence
}

func (c *Controller) logOrder(engine string, order Order, result Result, err error) {
	c.Log.Info("order",
		zap.String("engine", engine),
		zap.String("operation", string(order.Operation)),
		zap.String("model", order.Model),
		zap.String("adapter", order.Adapter),
		zap.Int64("expected", order.Expected),
		zap.Int64("term", order.Term),
		zap.Stringer("result", result),
		logfield.Error(err))
}
