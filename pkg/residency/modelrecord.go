package residency

import (
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// modelRecord corrects and dates the platform's list of an engine's models by the orders' ends and
// the engine's reports, which are newer. The engine's lock guards it.
type modelRecord struct {
	// loaded models are held, though the list does not have them yet.
	loaded []string
	// dropped models are no longer held, though the list still has them.
	dropped []string
	// revision of the entry that the list had at the latest correction.
	revision int64
	// loadedAt is when each model was loaded by order.
	loadedAt map[string]time.Time
}

// noteLoaded notes the end of a load.
func (r *modelRecord) noteLoaded(model string, now time.Time, revision int64) {
	r.revision = revision
	r.loadedAt[model] = now
	r.loaded = append(without(r.loaded, model), model)
	r.dropped = without(r.dropped, model)
}

// noteUnloaded notes the end of an unload.
func (r *modelRecord) noteUnloaded(model string, revision int64) {
	r.revision = revision
	r.loaded = without(r.loaded, model)
	r.dropped = append(without(r.dropped, model), model)
}

// adopt notes where an engine's report differs from the list.
func (r *modelRecord) adopt(report Report, listed []fleet.Holding, revision int64) {
	r.revision = revision
	r.loaded, r.dropped = nil, nil
	for _, holding := range report.Models {
		if !holds(listed, holding.Model) {
			r.loaded = append(r.loaded, holding.Model)
		}
	}
	for _, holding := range listed {
		if !holds(report.Models, holding.Model) {
			r.dropped = append(r.dropped, holding.Model)
		}
	}
}

// reconcile forgets the corrections that the list has caught up with. An entry that is as old as they are
// has not: what it shows may have been so before, and change once more before it is so again.
func (r *modelRecord) reconcile(listed []fleet.Holding, revision int64) {
	if revision <= r.revision {
		return
	}
	r.loaded = slices.DeleteFunc(r.loaded, func(model string) bool { return holds(listed, model) })
	r.dropped = slices.DeleteFunc(r.dropped, func(model string) bool { return !holds(listed, model) })
}

// held lists the models that the engine has.
func (r *modelRecord) held(listed []fleet.Holding) []string {
	held := slices.Clone(r.loaded)
	for _, holding := range listed {
		if !slices.Contains(r.dropped, holding.Model) && !slices.Contains(held, holding.Model) {
			held = append(held, holding.Model)
		}
	}
	return held
}

// freshTime is how long a loaded model stays on an engine at least.
const freshTime = 6 * time.Second

// fresh lists the models that were loaded within freshTime.
func (r *modelRecord) fresh(now time.Time) map[string]bool {
	fresh := map[string]bool{}
	for model, at := range r.loadedAt {
		if now.Sub(at) < freshTime {
			fresh[model] = true
		}
	}
	return fresh
}

func holds(list []fleet.Holding, model string) bool {
	return slices.ContainsFunc(list, func(holding fleet.Holding) bool { return holding.Model == model })
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(entry string) bool { return entry == name })
}
