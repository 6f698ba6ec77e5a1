package residency

import (
	"slices"
	"strings"
)

// planner is the state of the engines as it will be after the moves planned so far.
type planner struct {
	in     PlanInput
	models map[string]*PlanModel
	// engines are sorted by their ids.
	engines []*planEngine
	byID    map[string]*planEngine
	// replicas counts a model's replicas on engines that count, with loads under way.
	replicas map[string]int
	// confirmed counts those whose load is over.
	confirmed map[string]int
	// hallReplicas counts a model's replicas by hall.
	hallReplicas map[string]map[string]int
	// holders are the engines that count and hold a model, or load it.
	holders map[string][]*planEngine
	// storeLoads is how many loads from the weight store are left.
	storeLoads int
	// byHall are the engines that may be given moves in a fleet with more of them than are tried, those of each hall with the least work
	// at the plan's beginning first.
	byHall [][]*planEngine
	// lookups counts the looks at lists of engines, which affected tells apart by it.
	lookups int
	// scratch is the list that affected returned last.
	scratch []*planEngine
}

// planEngine is an engine with what the moves planned so far change.
type planEngine struct {
	PlanEngine
	// free memory, in megabytes.
	free float64
	// moved engines have a move in this plan; they get no other one.
	moved bool
	// work is the engine time that the engine's replicas take, 1 being all of it.
	work float64
	// lookup is the latest look that came by the engine.
	lookup int
}

func newPlanner(in PlanInput) *planner {
	p := &planner{
		in:           in,
		models:       map[string]*PlanModel{},
		byID:         map[string]*planEngine{},
		replicas:     map[string]int{},
		confirmed:    map[string]int{},
		hallReplicas: map[string]map[string]int{},
		storeLoads:   in.StoreLoads,
	}
	for i := range in.Models {
		model := &in.Models[i]
		p.models[model.Name] = model
		p.hallReplicas[model.Name] = map[string]int{}
	}
	for _, described := range in.Engines {
		p.addEngine(described)
	}
	slices.SortFunc(p.engines, func(a, b *planEngine) int { return strings.Compare(a.ID, b.ID) })
	p.refresh()
	p.orderTargets()
	return p
}

func (p *planner) addEngine(described PlanEngine) {
	e := &planEngine{PlanEngine: described, free: p.in.Megabytes - described.AdapterMegabytes}
	e.Models = slices.Clone(described.Models)
	for _, name := range e.Models {
		if model := p.models[name]; model != nil {
			e.free -= model.Megabytes
			p.count(name, e, 1)
			if e.counts() {
				p.confirmed[name]++
			}
		}
	}
	if model := p.models[e.Loading]; model != nil {
		e.Models = append(e.Models, e.Loading)
		e.free -= model.Megabytes
		p.count(e.Loading, e, 1)
	}
	p.engines = append(p.engines, e)
	p.byID[e.ID] = e
}

// count adds to the number of a model's replicas, if the engine counts.
func (p *planner) count(model string, e *planEngine, by int) {
	if !e.counts() {
		return
	}
	p.replicas[model] += by
	if p.hallReplicas[model] != nil {
		p.hallReplicas[model][e.Hall] += by
	}
}

// refresh computes the engines' work and the models' holders.
func (p *planner) refresh() {
	p.holders = make(map[string][]*planEngine, len(p.models))
	for _, e := range p.engines {
		e.work = p.workOf(e)
		for _, model := range e.Models {
			if e.counts() {
				p.holders[model] = append(p.holders[model], e)
			}
		}
	}
}

// workOf is the work that an engine's replicas bring.
func (p *planner) workOf(e *planEngine) float64 {
	work := 0.0
	for _, model := range e.Models {
		work += p.share(model, p.replicas[model])
	}
	return work
}

// refreshAfter computes what a move on an engine changed: the work of that engine, and of those that hold the models that came and went.
func (p *planner) refreshAfter(e *planEngine, loaded string, evicted []string) {
	for _, model := range evicted {
		p.holders[model] = slices.DeleteFunc(p.holders[model], func(holder *planEngine) bool { return holder == e })
	}
	if e.counts() {
		p.holders[loaded] = append(p.holders[loaded], e)
	}
	e.work = p.workOf(e)
	for _, holder := range p.affected(e, append(slices.Clone(evicted), loaded)...) {
		holder.work = p.workOf(holder)
	}
}

// apply changes the planner's state by a move, and returns the move with what it was chosen by.
func (p *planner) apply(move Move) Move {
	e := p.byID[move.Engine]
	move.Held = slices.Clone(e.Models)
	move.Demand = p.models[move.Model].Demand
	move.Replicas = p.replicas[move.Model]
	for _, name := range move.Evictions {
		p.evict(e, name)
	}
	e.Models = append(e.Models, move.Model)
	e.free -= p.models[move.Model].Megabytes
	e.moved = true
	p.count(move.Model, e, 1)
	if !move.FromCopy {
		p.storeLoads--
	}
	p.refreshAfter(e, move.Model, move.Evictions)
	return move
}

func (p *planner) evict(e *planEngine, name string) {
	e.Models = slices.DeleteFunc(e.Models, func(held string) bool { return held == name })
	if model := p.models[name]; model != nil {
		e.free += model.Megabytes
	}
	p.count(name, e, -1)
	p.confirmed[name]--
}

// mayTake reports whether the engine may be given a move that loads the model, with this many
// loads from the weight store left.
func (p *planner) mayTake(e *planEngine, model *PlanModel, storeLoads int) bool {
	if !e.Usable || !e.counts() || e.moved || slices.Contains(e.Models, model.Name) {
		return false
	}
	return storeLoads > 0 || e.hasCopy(model.Name)
}
