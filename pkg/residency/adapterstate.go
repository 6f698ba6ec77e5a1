package residency

import (
	"maps"
	"time"
)

// adapterKey names an adapter; the adapter is empty for the model itself.
type adapterKey struct {
	model, adapter string
}

// phase is how far an adapter is on an engine. It takes a place in every phase.
type phase int

const (
	// phaseLoading: its load is under way or waits for the order lock.
	phaseLoading phase = iota
	// phaseLoaded: requests may use it.
	phaseLoaded
	// phaseUnloading: its unload is under way.
	phaseUnloading
	// phaseUncertain: an order was not answered; the engine's next report settles it.
	phaseUncertain
)

// adapterState is an adapter on an engine. The engine's lock guards it.
type adapterState struct {
	// ready is closed when the load is over; phase is its result then.
	ready chan struct{}
	phase phase
	// begun is when the load was asked for.
	begun time.Time
	// used is when the adapter was last needed.
	used time.Time
	// running requests that use it, on all boxes.
	running int
}

// adapterIdleTime is how long an adapter must not have been used before it may be evicted.
const adapterIdleTime = 250 * time.Millisecond

// idle reports whether the adapter may be evicted.
func (s *adapterState) idle(now time.Time) bool {
	return s.phase == phaseLoaded && s.running == 0 && now.Sub(s.used) >= adapterIdleTime
}

// ModelUse is what runs with an adapter on an engine.
type ModelUse struct {
	Upstream string `json:"b"`
	Model    string `json:"m"`
	// Adapter is empty for requests of the model itself.
	Adapter string `json:"a"`
	// Running requests.
	Running int `json:"r,omitempty"`
}

// SetModelUses takes what all boxes have running with adapters: the adapter unused longest is
// evicted first, and none that is in use.
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
		state.used, state.running = now, running
	}
}

// runningModel counts the requests of a model that run on an engine, on all boxes.
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

// runningModels is how many requests run of each model, by engine. The caller holds the lock.
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
