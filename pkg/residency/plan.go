package residency

import "time"

// PlanInput is all that a plan depends on.
type PlanInput struct {
	Engines []PlanEngine
	Models  []PlanModel
	// Megabytes is an engine's memory.
	Megabytes float64
	// MoveCost is the least benefit that is worth a load, in squared engine time.
	MoveCost float64
	// Moves is how many moves may be started now.
	Moves int
	// StoreLoads is how many of the moves may load from the weight store.
	StoreLoads int
	// Targets is how many engines each move is tried on; 0 is the usual number.
	Targets int
}

// PlanEngine is an engine as the planner sees it.
type PlanEngine struct {
	ID   string
	Hall string
	// Models that it holds, without those it is unloading.
	Models []string
	// Fresh models were loaded so recently that they are not evicted.
	Fresh map[string]bool
	// Loading is the model whose load is under way; empty if there is none.
	Loading string
	// Copies are how long the models take to load of which the engine keeps a copy: they need not come
	// from the weight store.
	Copies map[string]time.Duration
	// Running is how many requests run of each model.
	Running map[string]int
	// AdapterMegabytes is the memory that adapters take.
	AdapterMegabytes float64
	// Usable engines may be given moves; the others only keep what they hold.
	Usable bool
	// Leaving engines stop soon, or their hall is evacuated.
	Leaving bool
	// Unresponsive engines did not answer the last requests.
	Unresponsive bool
}

// counts reports whether the engine's replicas serve requests.
func (e PlanEngine) counts() bool { return !e.Leaving && !e.Unresponsive }

// hasCopy reports whether the engine keeps a copy of a model.
func (e PlanEngine) hasCopy(model string) bool {
	_, ok := e.Copies[model]
	return ok
}

// loadTime is how long the engine takes to load a model, from its own copy if it keeps one.
func (e PlanEngine) loadTime(model *PlanModel) time.Duration {
	if span, ok := e.Copies[model.Name]; ok {
		return span
	}
	return model.LoadTime
}

// PlanModel is a model as the planner sees it.
type PlanModel struct {
	Name      string
	Megabytes float64
	// LoadTime is how long a load from the weight store takes.
	LoadTime time.Duration
	// Demand is the engine time asked for, 1 being all of one engine's.
	Demand float64
	// Patient reports that whoever asks for the model can wait for a load from a copy.
	Patient bool
	// Missed reports that requests came while no engine held the model, or none in the Halls that they are bound to; no halls are all.
	Missed bool
	Halls  []string
}

// asked reports whether requests ask for the model.
func (m *PlanModel) asked() bool { return m.Missed || m.Demand > 0 }

// idle reports whether no request asks for the model.
func (m *PlanModel) idle() bool { return !m.asked() }

// Move is one load with the unloads that make room for it.
type Move struct {
	Engine string
	Model  string
	// Evictions are the models to unload first, in this order.
	Evictions []string
	// FromCopy reports that the engine keeps a copy of the model, so that the weight store is not used.
	FromCopy bool
	// LoadTime is how long the load takes.
	LoadTime time.Duration
	// Benefit is how much the sum of the engines' squared work falls beyond the move's cost. It is
	// 0 for a first replica.
	Benefit float64

	// What the plan saw when it chose the move, for the log: why, what the engine held, the model's
	// demand and its replicas before.
	Reason   string
	Held     []string
	Demand   float64
	Replicas int
}

// Plan returns the next moves, most needed first: first replicas of models that are asked for
// compete with further replicas by their worth; first replicas of idle models come last. It is a
// pure function.
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

// next returns the move that is needed most.
func (p *planner) next() (Move, bool) {
	first, missing := p.firstReplica((*PlanModel).asked, p.storeLoads)
	further, uneven := p.furtherReplica()
	switch {
	case missing && (!uneven || firstReplicaWorth(p.models[first.Model]) >= further.Benefit):
		return first, true
	case uneven:
		return further, true
	}
	return p.idleReplica()
}
