package orders

import (
	"maps"
	"slices"
	"time"
)

// publish publishes the hall's records if this box may, and returns the holdings last published.
// Loads are published each time, holdings when they change.
func (c *Controller) publish(last Holdings) Holdings {
	term, ok := c.publishTerm()
	if !ok {
		c.publishingSince = time.Time{}
		return Holdings{}
	}
	if c.publishingSince.IsZero() {
		c.publishingSince = time.Now()
	}
	if !c.observedAll() {
		return last
	}
	holdings, loads := c.records()
	c.mu.Lock()
	c.recordSequence++
	sequence := c.recordSequence
	c.mu.Unlock()
	c.PublishLoads(term, sequence, loads)
	if last.equal(holdings) {
		return last
	}
	c.PublishHoldings(term, sequence, holdings)
	return holdings
}

// publishTerm returns the term under which the hall's records are published, false if this box may
// not publish. While the lease can't be renewed because the store is unreachable, the last holder
// continues: otherwise the hall would route by stale loads until the store is reachable again.
func (c *Controller) publishTerm() (int64, bool) {
	if term, err := c.Term(); err == nil {
		return term, true
	}
	term := c.RepairTerm()
	return term, term != 0
}

// observedAll reports whether every engine has answered since this box was first allowed to publish,
// or maxAnswerAgeIntervals have passed. Until then the records of the former controller are more
// complete.
func (c *Controller) observedAll() bool {
	if time.Since(c.publishingSince) > maxAnswerAgeIntervals*c.Interval {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, engine := range c.Engines() {
		if c.states[engine.ID].at.Before(c.publishingSince) {
			return false
		}
	}
	return true
}

// records returns what each engine held at its last answer, and the loads of those that answered
// within maxAnswerAgeIntervals.
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
		if time.Since(seen.at) < maxAnswerAgeIntervals*c.Interval {
			loads.Engines[id] = Load{Running: s.Running, Queued: s.Queued}
		}
	}
	return holdings, loads
}

// observe records an engine's answer and the number of the plan confirmed with it, 0 if none.
func (c *Controller) observe(id string, state State, plan int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[id] = observed{state: state, plan: plan, at: time.Now()}
}

// forget drops an engine that is no longer listed.
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
