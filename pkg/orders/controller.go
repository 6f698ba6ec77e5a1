package orders

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// Controller sends orders to the engines of one hall while this box holds the hall's lease. All
// exported fields are set before Run; the zero value of an optional one selects its default.
type Controller struct {
	Hall string
	// Address is this box's peer address, published with the holdings.
	Address string
	// Term returns the term under which this box may send orders now, or an error if it may not.
	Term func() (int64, error)
	// RepairTerm returns the term under which fenced engines may still be sent orders although the
	// lease can't be renewed, 0 if none. Optional, for embedders: nil means never.
	RepairTerm func() int64
	// Engines lists the hall's engines.
	Engines func() []Engine
	// TakeOver is called before the first order of each new term, again if it failed. It must fetch
	// the latest plan, because what a former controller confirmed under that plan still holds.
	TakeOver func(ctx context.Context) error
	// Plan returns the latest plan, false if there is none yet.
	Plan func() (placement.Plan, bool)
	// MayUnload reports whether an engine may unload an item: what the plan needs must stay reachable
	// at another engine.
	MayUnload func(plan placement.Plan, engine, item string) bool
	// Store holds the intents for unfenced engines.
	Store kv.Store
	// PublishHoldings and PublishLoads publish the hall's records under a term and a sequence number.
	PublishHoldings func(term, sequence int64, holdings Holdings)
	PublishLoads    func(term, sequence int64, loads Loads)
	// Interval is the pause between two polls of an engine. Optional, for embedders: 0 selects 1 s.
	Interval time.Duration
	// OrderLife is the longest time after which an order that was sent to an unfenced engine can
	// still take effect. Optional: 0 selects 30 s.
	OrderLife time.Duration
	// Metrics holds the counters. Optional, for embedders: nil selects the default set.
	Metrics *metrics.Set

	controllerState
}

// controllerState is the state of a running controller.
type controllerState struct {
	// mu guards states and recordSequence.
	mu     sync.Mutex
	states map[string]observed
	// recordSequence is the sequence number of the records last published.
	recordSequence int64

	intents intents

	// takeOverLock is held during TakeOver, and other workers wait for it. It is a semaphore rather
	// than a mutex, because TakeOver calls the store: a worker's wait ends with its context.
	takeOverLock *semaphore.Weighted
	// takenOverTerm is the last term for which TakeOver succeeded. takeOverLock guards it.
	takenOverTerm int64

	// publishingSince is when this box was first allowed to publish, zero while it may not. Only Run
	// uses it.
	publishingSince time.Time
}

// observed is the last state that an engine reported, and when.
type observed struct {
	state State
	// plan is the number of the plan that the controller followed then, 0 if none is confirmed
	// (see Holding.Plan).
	plan int64
	at   time.Time
}

// Run sends orders to the hall's engines until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.init()
	running := map[string]context.CancelFunc{}
	var workers sync.WaitGroup
	defer workers.Wait()
	published := Holdings{}
	for {
		c.startWorkers(ctx, running, &workers)
		published = c.publish(published)
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.Interval):
		}
	}
}

func (c *Controller) init() {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.OrderLife == 0 {
		c.OrderLife = defaultOrderLife
	}
	if c.RepairTerm == nil {
		c.RepairTerm = func() int64 { return 0 }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.GetDefaultSet()
	}
	c.states = map[string]observed{}
	c.takeOverLock = semaphore.NewWeighted(1)
	c.intents = newIntents(c.Store, c.Hall, c.OrderLife)
}

// startWorkers starts a worker for each new engine of the hall, and stops those of engines that are no
// longer listed.
func (c *Controller) startWorkers(ctx context.Context, running map[string]context.CancelFunc, workers *sync.WaitGroup) {
	wanted := map[string]bool{}
	for _, engine := range c.Engines() {
		wanted[engine.ID] = true
		if running[engine.ID] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		running[engine.ID] = cancel
		w := &worker{Controller: c, engine: engine}
		workers.Add(1)
		go func() {
			defer workers.Done()
			w.run(ctx)
		}()
	}
	for id, cancel := range running {
		if !wanted[id] {
			cancel()
			delete(running, id)
			c.forget(id)
		}
	}
}

// ensureTakenOver calls TakeOver before the first order of a term.
func (c *Controller) ensureTakenOver(ctx context.Context, term int64) error {
	if err := c.takeOverLock.Acquire(ctx, 1); err != nil {
		return err
	}
	defer c.takeOverLock.Release(1)
	if c.takenOverTerm == term {
		return nil
	}
	if err := c.TakeOver(ctx); err != nil {
		return err
	}
	c.takenOverTerm = term
	return nil
}
