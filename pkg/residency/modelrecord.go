package residency

import (
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// modelRecord corrects the platform's list of an engine's models by newer information: the ends of orders
// and the engine's reports. It also holds when models were loaded. The engine's lock guards it.
type modelRecord struct {
	// loaded models are held, although the list does not contain them yet.
	loaded []string
	// dropped models are no longer held, although the list still contains them.
	dropped []string
	// revision is that of the engine's entry in the list at the latest correction.
	revision int64
	// loadedAt is when each model was loaded by an order.
	loadedAt map[string]time.Time
}

// recordLoaded records that a load has ended.
func (r *modelRecord) recordLoaded(model string, now time.Time, revision int64) {
	r.revision = revision
	r.loadedAt[model] = now
	r.loaded = append(without(r.loaded, model), model)
	r.dropped = without(r.dropped, model)
}

// recordUnloaded records that an unload has ended.
func (r *modelRecord) recordUnloaded(model string, revision int64) {
	r.revision = revision
	r.loaded = without(r.loaded, model)
	r.dropped = append(without(r.dropped, model), model)
}

// applyReport records where an engine's report differs from the list.
func (r *modelRecord) applyReport(report Report, listed []fleet.Holding, revision int64) {
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

// reconcile drops the corrections that the list now contains. An entry that is not newer than the
// corrections does not confirm them: it may be older, and the list may still show a different state before it
// shows the corrected one.
func (r *modelRecord) reconcile(listed []fleet.Holding, revision int64) {
	if revision <= r.revision {
		return
	}
	r.loaded = slices.DeleteFunc(r.loaded, func(model string) bool { return holds(listed, model) })
	r.dropped = slices.DeleteFunc(r.dropped, func(model string) bool { return !holds(listed, model) })
}

// held returns the models that the engine holds.
func (r *modelRecord) held(listed []fleet.Holding) []string {
	held := slices.Clone(r.loaded)
	for _, holding := range listed {
		if !slices.Contains(r.dropped, holding.Model) && !slices.Contains(held, holding.Model) {
			held = append(held, holding.Model)
		}
	}
	return held
}

// freshTime is the minimum time that a loaded model stays on an engine.
const freshTime = 6 * time.Second

// fresh returns the models that were loaded within freshTime.
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
