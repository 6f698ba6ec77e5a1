package residency

import (
	"slices"
	"strings"
)

// planner holds the state of the engines as it will be after the moves planned so far.
type planner struct {
	in     PlanInput
	models map[string]*PlanModel
	// engines are sorted by id.
	engines []*planEngine
	byID    map[string]*planEngine
	// replicas counts each model's replicas on serving engines, including loads under way and planned ones.
	replicas map[string]int
	// loadedReplicas counts the same replicas without those loads.
	loadedReplicas map[string]int
	// hallReplicas counts each model's replicas by hall, like replicas.
	hallReplicas map[string]map[string]int
	// holders are the serving engines that hold or load each model.
	holders map[string][]*planEngine
	// storeLoads is the number of remaining loads from the weight store.
	storeLoads int
	// byHall lists the engines of each hall that may be given moves, in the order of their work at the start
	// of the plan, least first. It is set only if the fleet has more engines than targetCount.
	byHall [][]*planEngine
	// affectedCalls counts the calls of affected, which uses the number to return each engine only once.
	affectedCalls int
	// affectedBuffer is the slice that affected returned last; the next call reuses it.
	affectedBuffer []*planEngine
}

// planEngine is an engine with the changes by the moves planned so far.
type planEngine struct {
	PlanEngine
	// free is the free memory, in megabytes.
	free float64
	// moved reports that this plan has a move on the engine; it gets no other one.
	moved bool
	// work is the engine time that the engine's replicas take, where 1 is all of it.
	work float64
	// lastAffectedCall is the number of the latest call of affected that met the engine.
	lastAffectedCall int
}

func newPlanner(in PlanInput) *planner {
	p := &planner{
		in:             in,
		models:         map[string]*PlanModel{},
		byID:           map[string]*planEngine{},
		replicas:       map[string]int{},
		loadedReplicas: map[string]int{},
		hallReplicas:   map[string]map[string]int{},
		storeLoads:     in.StoreLoads,
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
	p.sortTargets()
	return p
}

func (p *planner) addEngine(described PlanEngine) {
	e := &planEngine{PlanEngine: described, free: p.in.Megabytes - described.AdapterMegabytes}
	e.Models = slices.Clone(described.Models)
	for _, name := range e.Models {
		if model := p.models[name]; model != nil {
			e.free -= model.Megabytes
			p.addReplicas(name, e, 1)
			if e.serves() {
				p.loadedReplicas[name]++
			}
		}
	}
	if model := p.models[e.Loading]; model != nil {
		e.Models = append(e.Models, e.Loading)
		e.free -= model.Megabytes
		p.addReplicas(e.Loading, e, 1)
	}
	p.engines = append(p.engines, e)
	p.byID[e.ID] = e
}

// addReplicas adds to the number of a model's replicas, if the engine serves requests.
func (p *planner) addReplicas(model string, e *planEngine, by int) {
	if !e.serves() {
		return
	}
	p.replicas[model] += by
	if p.hallReplicas[model] != nil {
		p.hallReplicas[model][e.Hall] += by
	}
}

// refresh computes the work of all engines and the holders of all models.
func (p *planner) refresh() {
	p.holders = make(map[string][]*planEngine, len(p.models))
	for _, e := range p.engines {
		e.work = p.workOf(e)
		for _, model := range e.Models {
			if e.serves() {
				p.holders[model] = append(p.holders[model], e)
			}
		}
	}
}

// workOf returns the work of an engine's replicas.
func (p *planner) workOf(e *planEngine) float64 {
	work := 0.0
	for _, model := range e.Models {
		work += p.workPerReplica(model, p.replicas[model])
	}
	return work
}

// refreshAfter updates holders and work after a move on an engine: the work of that engine and of all that
// hold the loaded or evicted models.
func (p *planner) refreshAfter(e *planEngine, loaded string, evicted []string) {
	for _, model := range evicted {
		p.holders[model] = slices.DeleteFunc(p.holders[model], func(holder *planEngine) bool { return holder == e })
	}
	if e.serves() {
		p.holders[loaded] = append(p.holders[loaded], e)
	}
	e.work = p.workOf(e)
	for _, holder := range p.affected(e, append(slices.Clone(evicted), loaded)...) {
		holder.work = p.workOf(holder)
	}
}

// apply applies a move to the planner's state, and returns the move with the fields for the log set.
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
	p.addReplicas(move.Model, e, 1)
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
	p.addReplicas(name, e, -1)
	p.loadedReplicas[name]--
}

// acceptsMove reports whether the engine may be given a move that loads the model, when storeLoads loads
// from the weight store are left.
func (p *planner) acceptsMove(e *planEngine, model *PlanModel, storeLoads int) bool {
	if !e.Usable || !e.serves() || e.moved || slices.Contains(e.Models, model.Name) {
		return false
	}
	return storeLoads > 0 || e.hasCopy(model.Name)
}
