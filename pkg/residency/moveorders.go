package residency

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// pollInterval is how often the directory and the running requests are read while a move waits.
	pollInterval = 20 * time.Millisecond
	// listLag is how long the platform's list may lag behind an engine before the engine is asked.
	listLag = 1500 * time.Millisecond
	// drainTime is how long the runs of withdrawn models are waited for before the unload is ordered:
	// an engine that is ordered to unload a model waits for its runs and takes no other order
	// meanwhile.
	drainTime = 3 * time.Second
)

// awaitDrained waits until no box has requests of the models running on the engine, for drainTime at
// most.
func (e *engine) awaitDrained(ctx context.Context, models []string) {
	end := time.Now().Add(drainTime)
	for time.Now().Before(end) {
		running := 0
		for _, model := range models {
			running += e.controller.runningModel(e.id, model)
		}
		if running == 0 || pause.For(ctx, pollInterval) != nil {
			return
		}
	}
}

// unloadModel unloads a model and reports whether the engine no longer holds it.
func (e *engine) unloadModel(ctx context.Context, model string) bool {
	e.mu.Lock()
	e.move.unloading = model
	e.mu.Unlock()
	// Each sending is logged with its error.
	result, _ := e.giveOrder(ctx, Order{Operation: Unload, Model: model}, nil)
	if result != Accepted && result != Already {
		return false
	}
	if result == Accepted && !e.awaitOrderEnd(ctx, Unload, model, 0) {
		return false
	}
	e.update(func() {
		e.move.unloading = ""
		e.models.noteUnloaded(model, e.listRevision())
		for key, state := range e.adapters {
			if key.model == model && state.phase != phaseLoading {
				delete(e.adapters, key)
			}
		}
	})
	return true
}

// loadModel loads a move's model and reports whether the engine holds it.
func (e *engine) loadModel(ctx context.Context, service *routes.Service, move Move) bool {
	model := service.Model(move.Model)
	fits := func() bool { return e.fitsModel(service, move.Model) }
	// Each sending is logged with its error.
	result, _ := e.giveOrder(ctx, Order{Operation: Load, Model: model.Name}, fits)
	if result != Accepted && result != Already {
		return false
	}
	if result == Accepted && !e.awaitOrderEnd(ctx, Load, model.Name, move.LoadTime) {
		return false
	}
	e.mu.Lock()
	e.models.noteLoaded(model.Name, time.Now(), e.listRevision())
	e.mu.Unlock()
	return true
}

// listRevision is that of the engine's entry in the platform's list; 0 without one.
func (e *engine) listRevision() int64 {
	if state := e.controller.Directory.Get(e.id); state != nil {
		return state.Revision
	}
	return 0
}

// awaitOrderEnd waits until the platform's list shows that a model's load or unload is done. From
// listLag after the expected time on, the engine is asked too; it is false if the engine reports
// that nothing is under way and the order is not done.
//
// A list that shows the end from the beginning is older than the order, as after trouble of the store: it
// counts only once it has shown the order under way. Otherwise a load under way takes no room in the next
// plan, and the engine is ordered to load more than it holds.
func (e *engine) awaitOrderEnd(ctx context.Context, operation Operation, model string, expected time.Duration) bool {
	done := func(held bool) bool { return held == (operation == Load) }
	ask := time.Now().Add(expected + listLag)
	current := false
	for {
		state := e.controller.Directory.Get(e.id)
		if state == nil {
			return false
		}
		ended := done(holds(state.Models, model))
		if ended && current {
			return true
		}
		current = current || !ended
		if time.Now().After(ask) {
			report, err := e.askReport(ctx, state.Upstream)
			if err == nil && !report.Busy {
				return done(holds(report.Models, model))
			}
			// Without an answer, or while the engine is busy, it is asked again.
			ask = time.Now().Add(listLag)
		}
		if pause.For(ctx, pollInterval) != nil {
			return false
		}
	}
}
