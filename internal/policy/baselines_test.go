package policy

import (
	"strings"
	"sync"
	"time"
)

// patience is how long a baseline's caller waits at most.
const patience = 30 * time.Second

// onDemand is round robin with loads on demand: a model that is nowhere is loaded on the next
// engine, where the models used least recently give way.
type onDemand struct {
	world *world

	mu   sync.Mutex
	next int
}

func (o *onDemand) take(r *request) {
	for time.Since(r.begun) < patience {
		e := o.pick(r)
		if first, ok := e.run(r); ok || first > 0 {
			o.world.ended(r, time.Since(r.begun)-time.Duration(r.tokens)*tokenTime, ok)
			return
		}
		if !o.load(e, r.model) {
			time.Sleep(200 * time.Millisecond)
		}
	}
	o.world.ended(r, patience, false)
}

// pick takes the holders in turn; if there is none, the engines in turn.
func (o *onDemand) pick(r *request) *engine {
	o.mu.Lock()
	defer o.mu.Unlock()
	var holders []*engine
	for _, e := range o.world.engines {
		if e.holds(r.model.unit.Item.Name) {
			holders = append(holders, e)
		}
	}
	if len(holders) == 0 {
		holders = o.world.engines
	}
	o.next++
	return holders[o.next%len(holders)]
}

// load makes room and loads the model; it waits until the model is there.
func (o *onDemand) load(e *engine, m *model) bool {
	if e.isDead() || !e.makeRoom(m.unit.Bytes()) {
		return false
	}
	there := make(chan struct{})
	e.load(m.unit.Item, func() { close(there) })
	for _, adapter := range m.unit.Adapters {
		e.load(adapter, func() {})
	}
	<-there
	return true
}

// makeRoom unloads models that nothing uses, the least recently used first.
func (e *engine) makeRoom(bytes int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.bytes()+bytes > engineMemory {
		oldest := ""
		for name, item := range e.resident {
			if item.Base == "" && time.Since(e.used[name]) > 10*time.Second && (oldest == "" || e.used[name].Before(e.used[oldest])) {
				oldest = name
			}
		}
		if oldest == "" {
			return false
		}
		base, _, _ := strings.Cut(oldest, "@")
		for name, item := range e.resident {
			if name == oldest || item.Base == base {
				delete(e.resident, name)
			}
		}
		e.world.note(func() { e.world.moves++ })
	}
	return true
}

func (e *engine) holds(item string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.resident[item]
	return ok && !e.dead
}

// static is least outstanding with a placement that never changes: as many copies of
// each model as fit, by its mean demand.
type static struct {
	world *world

	mu          sync.Mutex
	outstanding map[string]int
}

func startStatic(w *world) *static {
	s := &static{world: w, outstanding: map[string]int{}}
	for round := range len(w.engines) {
		for i, m := range w.models {
			// Every model once, then the more popular ones again.
			if round > 0 && i >= len(w.models)/(round+1) {
				continue
			}
			s.placeCopy(m)
		}
	}
	return s
}

// placeCopy puts a copy on the engine with most room; it is there at once.
func (s *static) placeCopy(m *model) {
	var best *engine
	for _, e := range s.world.engines {
		if e.holds(m.unit.Item.Name) || e.bytes()+m.unit.Bytes() > engineMemory {
			continue
		}
		if best == nil || e.bytes() < best.bytes() {
			best = e
		}
	}
	if best == nil {
		return
	}
	best.resident[m.unit.Item.Name] = m.unit.Item
	for _, adapter := range m.unit.Adapters {
		best.resident[adapter.Name] = adapter
	}
}

func (s *static) take(r *request) {
	e := s.pick(r)
	if e == nil {
		s.world.ended(r, 0, false)
		return
	}
	first, ok := e.run(r)
	s.mu.Lock()
	s.outstanding[e.id]--
	s.mu.Unlock()
	s.world.ended(r, first, ok)
}

func (s *static) pick(r *request) *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *engine
	for _, e := range s.world.engines {
		if e.holds(r.model.unit.Item.Name) && (best == nil || s.outstanding[e.id] < s.outstanding[best.id]) {
			best = e
		}
	}
	if best != nil {
		s.outstanding[best.id]++
	}
	return best
}
