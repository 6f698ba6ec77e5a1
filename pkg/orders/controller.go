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

// Controller orders the engines of one hall while it holds the hall's lease. Settings and seams
// are plain fields, all set before Run; the zero value of an optional one takes its default.
type Controller struct {
	Hall string
	// Address is this box's peer address, published with the holdings.
	Address string
	// Term returns the term under which this box may order now, or an error.
	Term func() (int64, error)
	// RepairTerm returns the term under which fenced engines may still be ordered although the
	// lease can't be renewed, 0 if none. Optional, for embedders: nil means never.
	RepairTerm func() int64
	// Engines lists the hall's engines.
	Engines func() []Engine
	// TakeOver is called once for each new term before the first order. It must fetch the latest
	// plan, because what a former holder confirmed under that plan still holds.
	TakeOver func(ctx context.Context) error
	// Plan returns the latest plan, false if there is none yet.
	Plan func() (placement.Plan, bool)
	// MayUnload reports whether an item stays reachable when an engine unloads it.
	MayUnload func(plan placement.Plan, engine, item string) bool
	// Store holds the intents of engines that are not fenced.
	Store kv.Store
	// PublishHoldings and PublishLoads publish the hall's records under a term and a sequence.
	PublishHoldings func(term, sequence int64, holdings Holdings)
	PublishLoads    func(term, sequence int64, loads Loads)
	// Interval between two looks at an engine. Optional, for embedders: 0 takes 1 s.
	Interval time.Duration
	// OrderLife is the longest time after which an order that was sent can still take effect
	// at an engine that is not fenced. Optional: 0 takes 30 s.
	OrderLife time.Duration
	// Metrics takes the counters. Optional, for embedders: nil takes the default set.
	Metrics *metrics.Set

	controllerState
}

// controllerState is what a running controller keeps.
type controllerState struct {
	// mu guards states and recordSequence.
	mu     sync.Mutex
	states map[string]observed
	// recordSequence is the sequence of the records last published.
	recordSequence int64

	intents intents

	// takeOverTurn is held during TakeOver: other workers wait for it. It is no mutex, because
	// TakeOver calls the store.
	takeOverTurn *semaphore.Weighted
	// takenOverTerm is the term for which TakeOver was last done. The caller holds takeOverTurn.
	takenOverTerm int64

	// publishingSince is when this box began to publish, zero while it may not. Only Run uses it.
	publishingSince time.Time
}

// observed is what an engine last answered.
type observed struct {
	state State
	// plan is the number of the plan that the controller followed then, 0 if none is confirmed.
	plan int64
	at   time.Time
}

// Run orders engines until ctx ends.
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
	c.takeOverTurn = semaphore.NewWeighted(1)
	c.intents = newIntents(c.Store, c.Hall, c.OrderLife)
}

// startWorkers keeps one worker running for each engine of the hall.
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
	if err := c.takeOverTurn.Acquire(ctx, 1); err != nil {
		return err
	}
	defer c.takeOverTurn.Release(1)
	if c.takenOverTerm == term {
		return nil
	}
	if err := c.TakeOver(ctx); err != nil {
		return err
	}
	c.takenOverTerm = term
	return nil
}
