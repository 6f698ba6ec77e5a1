package orders

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// Controller orders the engines of one hall while it holds the hall's lease.
type Controller struct {
	Hall string
	// Address is this box's peer address, published with the holdings.
	Address string
	// Term returns the term under which this box may order now, or an error.
	Term func() (int64, error)
	// RepairTerm returns the term under which fenced engines may still be ordered although
	// the lease could not be renewed, 0 if none; nil means never.
	RepairTerm func() int64
	// Engines lists the hall's engines.
	Engines func() []Engine
	// TakeOver is called once for each new term before the first order, and must fetch the
	// latest plan: what an earlier controller has confirmed under it holds.
	TakeOver func(ctx context.Context) error
	// Plan returns the latest plan, false if there is none yet.
	Plan func() (placement.Plan, bool)
	// MayUnload tells whether an item can go from an engine and stay reachable.
	MayUnload func(plan placement.Plan, engine, item string) bool
	// Store holds the intents of engines that are not fenced.
	Store kv.Store
	// PublishHoldings and PublishLoads take the hall's records, term and sequence first.
	PublishHoldings func(term, sequence int64, holdings Holdings)
	PublishLoads    func(term, sequence int64, loads Loads)
	// Interval between two looks at an engine; 0 takes DefaultInterval.
	Interval time.Duration
	// OrderTime bounds one call to an engine; 0 takes DefaultOrderTime.
	OrderTime time.Duration
	// OrderLife is the longest time after which an order that was sent can still take effect
	// at an engine that is not fenced; 0 takes DefaultOrderLife.
	OrderLife time.Duration
	// Set takes the counters; nil takes the default set.
	Set *metrics.Set

	mu       sync.Mutex
	states   map[string]observed
	sequence int64
	intents  intents

	// takingOver is held during TakeOver: other workers wait for it.
	takingOver *semaphore.Weighted
	// began is when this box's present time as controller began, as publish saw it.
	began time.Time
	// taken is the term that TakeOver was last done for.
	taken int64
}

// observed is an engine's last state, the plan then gone by, and when it was asked for.
type observed struct {
	state State
	plan  int64
	at    time.Time
}

// heardIntervals is after how many intervals without an answer an engine counts as unheard.
const heardIntervals = 5

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
		c.Interval = DefaultInterval
	}
	if c.OrderTime == 0 {
		c.OrderTime = DefaultOrderTime
	}
	if c.OrderLife == 0 {
		c.OrderLife = DefaultOrderLife
	}
	if c.RepairTerm == nil {
		c.RepairTerm = func() int64 { return 0 }
	}
	if c.Set == nil {
		c.Set = metrics.GetDefaultSet()
	}
	c.states = map[string]observed{}
	c.takingOver = semaphore.NewWeighted(1)
	c.intents = newIntents(c.Store, c.Hall, c.OrderLife)
}

// startWorkers keeps one worker for each engine of the hall.
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

// publish sends the hall's records if this box holds the lease; it returns the holdings last sent.
func (c *Controller) publish(last Holdings) Holdings {
	term, ok := c.publishTerm()
	if !ok {
		c.began = time.Time{}
		return Holdings{}
	}
	if c.began.IsZero() {
		c.began = time.Now()
	}
	if !c.looked() {
		return last
	}
	holdings, loads := c.records()
	c.mu.Lock()
	c.sequence++
	sequence := c.sequence
	c.mu.Unlock()
	c.PublishLoads(term, sequence, loads)
	if last.equal(holdings) {
		return last
	}
	c.PublishHoldings(term, sequence, holdings)
	return holdings
}

// publishTerm is the term that the hall's records are published under. While the lease can't be
// renewed because the store is away, the last holder goes on: else the hall would
// route by the loads of that moment until the store is back.
func (c *Controller) publishTerm() (int64, bool) {
	if term, err := c.Term(); err == nil {
		return term, true
	}
	term := c.RepairTerm()
	return term, term != 0
}

// looked tells whether every engine was heard since the term began, or had the time to answer:
// until then the records of the controller before are better than ours.
func (c *Controller) looked() bool {
	if time.Since(c.began) > heardIntervals*c.Interval {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, engine := range c.Engines() {
		if c.states[engine.ID].at.Before(c.began) {
			return false
		}
	}
	return true
}

// records describes the engines that were heard lately.
func (c *Controller) records() (Holdings, Loads) {
	c.mu.Lock()
	defer c.mu.Unlock()
	holdings := Holdings{Hall: c.Hall, Controller: c.Address, Engines: map[string]Holding{}}
	loads := Loads{Engines: map[string]Load{}}
	for id, seen := range c.states {
		s := seen.state
		resident, loading := itemNames(s.Resident), itemNames(s.Loading)
		slices.Sort(resident)
		slices.Sort(loading)
		holdings.Engines[id] = Holding{
			Incarnation: s.Incarnation,
			Capacity:    s.Capacity,
			Slots:       s.Slots,
			Leaving:     s.Leaving,
			Resident:    resident,
			Loading:     loading,
			Plan:        seen.plan,
		}
		if time.Since(seen.at) < heardIntervals*c.Interval {
			loads.Engines[id] = Load{Running: s.Running, Queued: s.Queued}
		}
	}
	return holdings, loads
}

func (c *Controller) observe(id string, state State, plan int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[id] = observed{state: state, plan: plan, at: time.Now()}
}

// begin does what comes before the first order of a term.
func (c *Controller) begin(ctx context.Context, term int64) error {
	if err := c.takingOver.Acquire(ctx, 1); err != nil {
		return err
	}
	defer c.takingOver.Release(1)
	if c.taken == term {
		return nil
	}
	if err := c.TakeOver(ctx); err != nil {
		return err
	}
	c.taken = term
	return nil
}

func (c *Controller) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.states, id)
}

func (h Holdings) equal(other Holdings) bool {
	return h.Hall == other.Hall && h.Controller == other.Controller &&
		maps.EqualFunc(h.Engines, other.Engines, Holding.equal)
}

func (h Holding) equal(other Holding) bool {
	return h.Incarnation == other.Incarnation && h.Capacity == other.Capacity && h.Slots == other.Slots &&
		h.Leaving == other.Leaving && h.Plan == other.Plan && slices.Equal(h.Resident, other.Resident) && slices.Equal(h.Loading, other.Loading)
}
