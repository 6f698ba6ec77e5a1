package box

import (
	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/placement"
)

// wantedUnits lists what the bundles ask engines to hold. demand is the mean number of concurrent requests, by
// customer/model.
func wantedUnits(bundles map[string]*bundle.Bundle, demand map[string]float64) []placement.Unit {
	var all []placement.Unit
	for customer, text := range bundles {
		for _, model := range text.Models {
			all = append(all, modelUnit(customer, text, model, demand))
		}
	}
	return all
}

// modelUnit returns the unit of a model with all of its adapters.
func modelUnit(customer string, text *bundle.Bundle, model bundle.Model, demand map[string]float64) placement.Unit {
	key := customer + "/" + model.Name
	item := placement.Item{Name: bundle.ModelItem(customer, model), Bytes: int64(model.Memory)}
	unit := placement.Unit{Model: key, Item: item, Pool: model.Pool, Demand: demand[key]}
	for _, adapter := range text.Adapters {
		if adapter.Model == model.Name {
			unit.Adapters = append(unit.Adapters, placement.Item{
				Name:  bundle.AdapterItem(customer, adapter),
				Base:  key,
				Bytes: int64(adapter.Memory),
			})
		}
	}
	return unit
}

// fits checks whether the engines now known have room for a roll: all models of next beside all of current. Of two
// units with the same item, the larger one counts. The error is placement.ErrNoRoom with the figures.
func (s *fleetState) fits(current, next []*bundle.Bundle, settings placement.Settings) error {
	wanted := map[string]placement.Unit{}
	for _, set := range [][]*bundle.Bundle{current, next} {
		for _, text := range set {
			for _, unit := range wantedUnits(map[string]*bundle.Bundle{text.Customer: text}, nil) {
				if old, ok := wanted[unit.Item.Name]; !ok || unit.Bytes() > old.Bytes() {
					wanted[unit.Item.Name] = unit
				}
			}
		}
	}
	in := placement.Input{Engines: s.placementEngines(), Last: s.snapshot.Load().plan, Settings: settings}
	for _, unit := range wanted {
		in.Wanted = append(in.Wanted, unit)
	}
	return placement.Fits(in)
}

// placementEngines describes the engines to the planner. The memory that an engine reports limits what the box list
// states, and its reported slots replace the listed ones.
func (s *fleetState) placementEngines() []placement.Engine {
	f := s.snapshot.Load()
	engines := make([]placement.Engine, 0, len(f.engines))
	for id, state := range f.engines {
		e := placement.Engine{
			ID:       id,
			Hall:     state.box.Hall,
			Pool:     state.box.Pool,
			Memory:   state.box.Memory,
			Slots:    state.box.Slots,
			Resident: state.since,
			Plan:     state.holding.Plan,
		}
		switch {
		case s.leaving(state):
			e.Condition = placement.Leaving
		case !s.loads.hasRecentReport(id):
			e.Condition = placement.Unresponsive
		}
		if state.reported {
			e.Memory, e.Slots = min(e.Memory, state.holding.Capacity), state.holding.Slots
		}
		engines = append(engines, e)
	}
	return engines
}
