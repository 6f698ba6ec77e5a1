package residency

import (
	"maps"
	"time"
)

// adapterKey identifies an adapter of a model. An empty adapter stands for the model itself.
type adapterKey struct {
	model, adapter string
}

// phase is the stage of an adapter's load or unload on an engine. The adapter occupies a slot in every
// phase.
type phase int

const (
	// phaseLoading: the load is under way or waits for the order lock.
	phaseLoading phase = iota
	// phaseLoaded: requests may use the adapter.
	phaseLoaded
	// phaseUnloading: the unload is under way.
	phaseUnloading
	// phaseUncertain: an order was not answered; the engine's next report shows whether the adapter is
	// loaded.
	phaseUncertain
)

// adapterState is the state of an adapter on an engine. The engine's lock guards it.
type adapterState struct {
	// ready is closed when the load has ended; phase then holds its outcome.
	ready chan struct{}
	phase phase
	// requestedAt is when the load was requested.
	requestedAt time.Time
	// lastUsed is when the adapter was last needed or loaded.
	lastUsed time.Time
	// running is the number of requests that use the adapter, on all boxes.
	running int
}

// adapterIdleTime is how long an adapter must have been unused before it may be evicted.
const adapterIdleTime = 250 * time.Millisecond

// idle reports whether the adapter may be evicted.
func (s *adapterState) idle(now time.Time) bool {
	return s.phase == phaseLoaded && s.running == 0 && now.Sub(s.lastUsed) >= adapterIdleTime
}

// ModelUse is the number of requests that run with a model or adapter on an engine.
type ModelUse struct {
	Upstream string `json:"b"`
	Model    string `json:"m"`
	// Adapter is empty for requests to the model itself.
	Adapter string `json:"a"`
	// Running is the number of requests.
	Running int `json:"r,omitempty"`
}

// SetModelUses replaces the counts of requests that run with each adapter on all boxes. They decide which
// adapter is evicted: the least recently used one, and never one in use.
func (c *Controller) SetModelUses(uses []ModelUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	running := make(map[ModelUse]int, len(uses))
	for _, use := range uses {
		running[ModelUse{Upstream: use.Upstream, Model: use.Model, Adapter: use.Adapter}] += use.Running
	}
	changed := maps.Clone(running)
	maps.Copy(changed, c.uses)
	c.uses = running
	for use := range changed {
		if e := c.engines[use.Upstream]; e != nil {
			e.setUse(use, running[use], now)
		}
	}
}

func (e *engine) setUse(use ModelUse, running int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state := e.adapters[adapterKey{use.Model, use.Adapter}]; state != nil {
		state.lastUsed, state.running = now, running
	}
}

// runningModel returns the number of requests to a model that run on an engine, from all boxes.
func (c *Controller) runningModel(upstream, model string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for use, running := range c.uses {
		if use.Upstream == upstream && use.Model == model {
			total += running
		}
	}
	return total
}

// runningModels returns the number of running requests by engine and model. The caller holds the lock.
func (c *Controller) runningModels() map[string]map[string]int {
	running := map[string]map[string]int{}
	for use, count := range c.uses {
		if running[use.Upstream] == nil {
			running[use.Upstream] = map[string]int{}
		}
		running[use.Upstream][use.Model] += count
	}
	return running
}
