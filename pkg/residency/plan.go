package residency

import (
	"cmp"
	"slices"
	"strings"
)

// Move is one load with the unloads that make room for it.
type Move struct {
	Engine string
	Model  string
	Evict  []string
	// FromDisk tells that the engine held the model before.
	FromDisk bool
	// Reason is why, for the log.
	Reason string
	// Held are the models of the engine, and Demand is the model's, as the plan saw them.
	Held   []string
	Demand float64
	// Replicas that the model had.
	Replicas int
	// Gain is how much the sum of the engines' squared work falls.
	Gain float64
}

// PlanEngine is an engine as the planner sees it.
type PlanEngine struct {
	ID   string
	Hall string
	// Models that it holds, but for those it is unloading.
	Models []string
	// Fresh models were loaded so lately that they stay.
	Fresh map[string]bool
	// Loading is the model whose load is under way; empty if there is none.
	Loading string
	// Seen models are on its disk.
	Seen map[string]bool
	// Megabytes of memory that adapters take.
	AdapterMegabytes float64
	// Usable engines may be given moves; the others only hold what they hold.
	Usable bool
	// Leaving engines' copies count for nothing, nor do those of Silent ones, which nobody gets an
	// answer from.
	Leaving      bool
	Unresponsive bool
}

// counts tells whether the engine's copies serve anybody.
func (e PlanEngine) counts() bool { return !e.Leaving && !e.Unresponsive }

// PlanModel is a model as the planner sees it.
type PlanModel struct {
	Name      string
	Megabytes float64
	// Demand is engine time asked for, 1 being all of one engine's.
	Demand float64
	// Missed tells that requests came while no engine held it.
	Missed bool
}

// PlanInput is all that a plan depends on.
type PlanInput struct {
	Engines []PlanEngine
	Models  []PlanModel
	// Megabytes is an engine's memory.
	Megabytes float64
	// MoveCost is what a load must gain at least, in squared engine time.
	MoveCost float64
	// Moves is how many moves may be started now; StoreLoads how many of them may load from the
	// weight store.
	Moves      int
	StoreLoads int
}

// zoneGain is what a first copy of a busy model in a zone is worth, by the model's demand: a zone
// that is cut off serves what it holds.
const zoneGain = 0.25

// Plan returns the next moves, most needed first: first copies of models that are asked for, and
// copies that even out the engines' work, by what they bring; then first copies of models that
// nobody asks for. It is a pure function.
func Plan(in PlanInput) []Move {
	p := newPlanner(in)
	var moves []Move
	for len(moves) < in.Moves {
		move, ok := p.next()
		if !ok {
			break
		}
		moves = append(moves, p.do(move))
	}
	return moves
}

// next is the move that is needed most.
func (p *planner) next() (Move, bool) {
	cover, missing := p.cover(asked)
	relieve, uneven := p.relieve()
	switch {
	case missing && (!uneven || coverValue(p.models[cover.Model]) >= relieve.Gain):
		return cover, true
	case uneven:
		return relieve, true
	}
	return p.coverIdle()
}

const (
	// missedValue and demandValue are what a first copy brings, in squared engine time as the gain
	// of other copies: something for each model that was asked for in vain, more by its demand.
	missedValue = 0.3
	demandValue = 3
	// keptLoads is how many loads from the weight store are kept for models that are asked for.
	keptLoads = 3
)

func coverValue(model *PlanModel) float64 { return missedValue + demandValue*model.Demand }

// asked tells whether a model is asked for.
func asked(model *PlanModel) bool { return model.Missed || model.Demand > 0 }

// coverIdle loads a model that nobody holds or asks for: from an engine's disk, or else only while
// the weight store has loads to spare.
func (p *planner) coverIdle() (Move, bool) {
	loads := p.storeLoads
	defer func() { p.storeLoads = loads }()
	if p.storeLoads < keptLoads {
		p.storeLoads = 0
	}
	return p.cover(func(model *PlanModel) bool { return !asked(model) })
}

type planner struct {
	in      PlanInput
	models  map[string]*PlanModel
	engines []*planEngine
	byID    map[string]*planEngine
	// copies on engines that stay, loads under way included; confirmed are those without.
	copies    map[string]int
	confirmed map[string]int
	// zones counts a model's copies by zone.
	zones map[string]map[string]int
	// holders are the engines that hold a model, but for those that leave.
	holders    map[string][]*planEngine
	storeLoads int
}

type planEngine struct {
	PlanEngine
	free  float64
	moved bool
	// work is what the engine has to do; see refresh.
	work float64
}

func newPlanner(in PlanInput) *planner {
	p := &planner{
		in:         in,
		models:     map[string]*PlanModel{},
		byID:       map[string]*planEngine{},
		copies:     map[string]int{},
		confirmed:  map[string]int{},
		zones:      map[string]map[string]int{},
		storeLoads: in.StoreLoads,
	}
	for i := range in.Models {
		model := &in.Models[i]
		p.models[model.Name] = model
		p.zones[model.Name] = map[string]int{}
	}
	for _, described := range in.Engines {
		e := &planEngine{PlanEngine: described, free: in.Megabytes - described.AdapterMegabytes}
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
	slices.SortFunc(p.engines, func(a, b *planEngine) int { return strings.Compare(a.ID, b.ID) })
	p.refresh()
	return p
}

// refresh computes the engines' work and who holds what, after a move.
func (p *planner) refresh() {
	p.holders = make(map[string][]*planEngine, len(p.models))
	for _, e := range p.engines {
		e.work = 0
		for _, model := range e.Models {
			e.work += p.share(model, p.copies[model])
			if e.counts() {
				p.holders[model] = append(p.holders[model], e)
			}
		}
	}
}

func (p *planner) count(model string, e *planEngine, by int) {
	if !e.counts() {
		return
	}
	p.copies[model] += by
	if p.zones[model] != nil {
		p.zones[model][e.Hall] += by
	}
}

// do notes a move as made, and returns it with what it was made by.
func (p *planner) do(move Move) Move {
	e := p.byID[move.Engine]
	move.Held = slices.Clone(e.Models)
	move.Demand = p.models[move.Model].Demand
	move.Replicas = p.copies[move.Model]
	for _, name := range move.Evict {
		e.Models = slices.DeleteFunc(e.Models, func(held string) bool { return held == name })
		if model := p.models[name]; model != nil {
			e.free += model.Megabytes
		}
		p.count(name, e, -1)
		p.confirmed[name]--
	}
	e.Models = append(e.Models, move.Model)
	e.free -= p.models[move.Model].Megabytes
	e.moved = true
	p.count(move.Model, e, 1)
	if !move.FromDisk {
		p.storeLoads--
	}
	p.refresh()
	return move
}

// cover loads a model of some kind that no engine holds: those asked for in vain first.
func (p *planner) cover(kind func(*PlanModel) bool) (Move, bool) {
	var missing []*PlanModel
	for _, model := range p.models {
		if p.copies[model.Name] == 0 && kind(model) {
			missing = append(missing, model)
		}
	}
	slices.SortFunc(missing, func(a, b *PlanModel) int {
		if a.Missed != b.Missed {
			if a.Missed {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), strings.Compare(a.Name, b.Name))
	})
	for _, model := range missing {
		if move, ok := p.place(model); ok {
			return move, true
		}
	}
	return Move{}, false
}

// place finds the engine where a model's first copy costs least.
func (p *planner) place(model *PlanModel) (Move, bool) {
	var best Move
	bestCost, found := 0.0, false
	for _, e := range p.engines {
		if !p.mayMove(e, model) {
			continue
		}
		evict, ok := p.roomOn(e, model)
		if !ok {
			continue
		}
		harm := p.harm(e, evict)
		if harm > mostHarm(model) {
			continue
		}
		// The model's own work weighs less on an engine that has little.
		cost := harm + 2*e.work*model.Demand
		if !e.Seen[model.Name] {
			cost += p.in.MoveCost
		}
		if !found || cost < bestCost {
			best, bestCost, found = Move{Engine: e.ID, Model: model.Name, Evict: evict, FromDisk: e.Seen[model.Name], Reason: "no engine holds it"}, cost, true
		}
	}
	return best, found
}

func (p *planner) mayMove(e *planEngine, model *PlanModel) bool {
	if !e.Usable || !e.counts() || e.moved || slices.Contains(e.Models, model.Name) {
		return false
	}
	return p.storeLoads > 0 || e.Seen[model.Name]
}

// roomOn lists the copies that have to give way; ok is false if that would lose a last copy.
func (p *planner) roomOn(e *planEngine, model *PlanModel) (evict []string, ok bool) {
	free := e.free
	if free >= model.Megabytes {
		return nil, true
	}
	spare := slices.Clone(e.Models)
	slices.SortFunc(spare, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.growth(a), p.growth(b)), strings.Compare(a, b))
	})
	for _, name := range spare {
		described := p.models[name]
		if described != nil && (p.confirmed[name] < 2 || e.Fresh[name]) {
			continue
		}
		evict = append(evict, name)
		if described != nil {
			free += described.Megabytes
		}
		if free >= model.Megabytes {
			return evict, true
		}
	}
	return nil, false
}

// relieve adds the copy that evens out the engines' work most, if it is worth a move.
func (p *planner) relieve() (Move, bool) {
	var best Move
	bestGain := 0.0
	for _, model := range p.busiest() {
		for _, e := range p.engines {
			if !p.mayMove(e, model) {
				continue
			}
			evict, ok := p.roomOn(e, model)
			if !ok {
				continue
			}
			gain := p.gain(model, e, evict) - p.cost(evict, e.Seen[model.Name])
			if gain > bestGain {
				bestGain = gain
				best = Move{Engine: e.ID, Model: model.Name, Evict: evict, FromDisk: e.Seen[model.Name], Reason: "demand", Gain: gain}
			}
		}
	}
	return best, best.Model != ""
}

// triedModels bounds how many busy models are tried for one more copy.
const triedModels = 12

func (p *planner) busiest() []*PlanModel {
	var busy []*PlanModel
	for _, model := range p.models {
		if model.Demand > 0 && p.copies[model.Name] > 0 {
			busy = append(busy, model)
		}
	}
	slices.SortFunc(busy, func(a, b *PlanModel) int {
		return cmp.Or(
			cmp.Compare(p.share(b.Name, p.copies[b.Name]), p.share(a.Name, p.copies[a.Name])),
			strings.Compare(a.Name, b.Name))
	})
	return busy[:min(len(busy), triedModels)]
}
