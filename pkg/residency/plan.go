package residency

import "time"

// PlanInput holds everything that a plan depends on.
type PlanInput struct {
	Engines []PlanEngine
	Models  []PlanModel
	// Megabytes is an engine's memory.
	Megabytes float64
	// MoveCost is the minimum benefit that justifies a load, in squared engine time: the sum over all
	// engines of their work squared, where work 1 is all of one engine's time.
	MoveCost float64
	// Moves is the number of moves that may be started now.
	Moves int
	// StoreLoads is the number of moves that may load from the weight store.
	StoreLoads int
	// Targets is the number of engines considered for each move; 0 is the default number.
	Targets int
}

// PlanEngine describes an engine to the planner.
type PlanEngine struct {
	ID   string
	Hall string
	// Models are those that the engine holds, without those that it is unloading.
	Models []string
	// Fresh models were loaded so recently that they are not evicted.
	Fresh map[string]bool
	// Loading is the model whose load is under way; empty if there is none.
	Loading string
	// Copies holds the load time of each model of which the engine keeps a copy, so that it need not be
	// loaded from the weight store.
	Copies map[string]time.Duration
	// Running is the number of running requests for each model.
	Running map[string]int
	// AdapterMegabytes is the memory that the adapters use.
	AdapterMegabytes float64
	// Usable engines may be given moves; the others only keep what they hold.
	Usable bool
	// Leaving engines stop soon, or their hall is being evacuated.
	Leaving bool
	// SoftwareVersion is that of the engine's software.
	SoftwareVersion string
	// Unresponsive engines did not answer the last requests.
	Unresponsive bool
}

// serves reports whether the engine's replicas count, because requests are sent to them.
func (e PlanEngine) serves() bool { return !e.Leaving && !e.Unresponsive }

// hasCopy reports whether the engine keeps a copy of a model.
func (e PlanEngine) hasCopy(model string) bool {
	_, ok := e.Copies[model]
	return ok
}

// loadTime returns how long the engine takes to load a model, from its own copy if it keeps one.
func (e PlanEngine) loadTime(model *PlanModel) time.Duration {
	if span, ok := e.Copies[model.Name]; ok {
		return span
	}
	return model.LoadTime
}

// PlanModel describes a model to the planner.
type PlanModel struct {
	Name      string
	Megabytes float64
	// LoadTime is how long a load from the weight store takes.
	LoadTime time.Duration
	// Demand is the requested engine time, where 1 is all of one engine's time.
	Demand float64
	// Patient reports that all requests for the model can wait for a load from a copy.
	Patient bool
	// Missed reports that requests came while no engine held the model, or none of those that they are restricted to.
	Missed bool
	engineFilter
}

// requested reports whether there are requests for the model.
func (m *PlanModel) requested() bool { return m.Missed || m.Demand > 0 }

// idle reports whether there are no requests for the model.
func (m *PlanModel) idle() bool { return !m.requested() }

// Move is the load of a model on an engine, with the unloads that make room for it.
type Move struct {
	Engine string
	Model  string
	// Evictions are the models to unload first, in this order.
	Evictions []string
	// FromCopy reports that the engine loads the model from its own copy instead of the weight store.
	FromCopy bool
	// LoadTime is how long the load takes.
	LoadTime time.Duration
	// Benefit is the expected fall of the sum of the engines' squared work, less the cost of the move. It is 0 for
	// a first replica.
	Benefit float64

	// The fields below are for the log: why the plan chose the move, and what the engine held, the model's demand
	// and its number of replicas at that point.
	Reason   string
	Held     []string
	Demand   float64
	Replicas int
}

// Plan returns the next moves, most needed first. First replicas of requested models compete with further
// replicas by their benefit; first replicas of idle models come last. It is a pure function.
func Plan(in PlanInput) []Move {
	p := newPlanner(in)
	var moves []Move
	for len(moves) < in.Moves {
		move, ok := p.next()
		if !ok {
			break
		}
		moves = append(moves, p.apply(move))
	}
	return moves
}

// next returns the most needed move.
func (p *planner) next() (Move, bool) {
	first, missing := p.firstReplica((*PlanModel).requested, p.storeLoads)
	further, uneven := p.furtherReplica()
	switch {
	case missing && (!uneven || firstReplicaValue(p.models[first.Model]) >= further.Benefit):
		return first, true
	case uneven:
		return further, true
	}
	return p.idleReplica()
}
