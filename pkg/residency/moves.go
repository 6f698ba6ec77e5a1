package residency

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// noticeTime is how long a withdrawal takes to be known on all machines.
	noticeTime = 250 * time.Millisecond
	// pollInterval is how often the directory is looked at for an order's end.
	pollInterval = 20 * time.Millisecond
	// listLag is how long the directory may lag behind an engine before the engine is asked.
	listLag = 1500 * time.Millisecond
	// moveTimeout bounds a whole move.
	moveTimeout = 40 * time.Second
)

// start begins a move in the background.
func (c *Controller) start(service string, described *routes.Service, move Move) {
	key := ModelKey{service, move.Model}
	c.mu.Lock()
	e := c.engine(move.Engine, service)
	if !move.FromDisk {
		c.planned++
	}
	c.coming[key] = time.Now().Add(moveTime(described.Model(move.Model), move))
	c.mu.Unlock()
	c.Log.Info("move",
		zap.String("engine", move.Engine),
		zap.String("model", move.Model),
		zap.Strings("evicted", move.Evict),
		zap.Bool("fromDisk", move.FromDisk),
		zap.String("reason", move.Reason),
		zap.Strings("held", move.Held),
		zap.Float64("demand", move.Demand),
		zap.Int("copies", move.Replicas),
		zap.Float64("gain", move.Benefit))
	e.change(func() {
		e.loading = move.Model
		e.withdrawn = move.Evict
	})
	go e.move(described, move)
}

// moveTime is how long a move will probably take.
func moveTime(model *routes.Model, move Move) time.Duration {
	span := loadTime(model, move.FromDisk)
	if len(move.Evict) > 0 {
		span += noticeTime + unloadTime
	}
	return span
}

// unloadTime is how long the last runs of withdrawn models and their unload usually take.
const unloadTime = 400 * time.Millisecond

// loadTime is how long a load takes that goes undisturbed.
func loadTime(model *routes.Model, fromDisk bool) time.Duration {
	if fromDisk && model.DiskLoadTime > 0 {
		return model.DiskLoadTime
	}
	return model.LoadTime
}

// move makes room on the engine and loads a model.
func (e *engine) move(described *routes.Service, move Move) {
	ctx, cancel := context.WithTimeout(e.controller.jobs(), moveTimeout)
	defer cancel()
	spent := move.FromDisk
	done := e.carryOut(ctx, described, move, &spent)
	if !spent {
		e.controller.unplan(e.term)
	}
	e.change(func() {
		e.loading, e.unloading, e.withdrawn, e.ordering = "", "", nil, false
		if !done {
			e.known = false
			e.coolUntil = time.Now().Add(listLag)
		}
	})
	e.controller.Log.Info("move over", zap.String("engine", e.id), zap.String("model", move.Model), zap.Bool("done", done))
}

// carryOut gives a move's orders; spent is set when the weight store's rate was drawn upon.
func (e *engine) carryOut(ctx context.Context, described *routes.Service, move Move, spent *bool) bool {
	if len(move.Evict) > 0 && pause.For(ctx, noticeTime) != nil {
		return false
	}
	e.awaitIdle(ctx, move.Evict)
	if e.acquire(ctx) != nil {
		return false
	}
	defer e.release()
	e.mu.Lock()
	e.ordering = true
	e.mu.Unlock()
	if e.sync(ctx) != nil {
		return false
	}
	for _, model := range move.Evict {
		if !e.unloadModel(ctx, model) {
			return false
		}
	}
	if !*spent {
		*spent = true
		if !e.controller.spendLoad(ctx, e.term) {
			return false
		}
	}
	return e.loadModel(ctx, described, move)
}

// drainTime is how long the runs of withdrawn models are waited for before the unload is
// ordered: the engine takes no other order while it waits itself.
const drainTime = 3 * time.Second

// awaitIdle waits until no machine has requests of the models running on the engine.
func (e *engine) awaitIdle(ctx context.Context, models []string) {
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

func (e *engine) unloadModel(ctx context.Context, model string) bool {
	e.mu.Lock()
	e.unloading = model
	e.mu.Unlock()
	result, _ := e.order(ctx, Order{Operation: Unload, Model: model}, nil)
	if result != Accepted && result != Already {
		return false
	}
	if result == Accepted && !e.await(ctx, 0, func(held bool) bool { return !held }, model) {
		return false
	}
	e.change(func() {
		e.unloading = ""
		e.loaded = without(e.loaded, model)
		e.dropped = append(without(e.dropped, model), model)
		for key, state := range e.adapters {
			if key.model == model && state.phase != phaseLoading {
				delete(e.adapters, key)
			}
		}
	})
	return true
}

// fitsModel tells whether the engine has room for a model now.
func (e *engine) fitsModel(described *routes.Service, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := e.modelMegabytes() + e.adapterMegabytes(described)
	return used+described.Model(model).Megabytes <= described.Engines.Megabytes
}

func (e *engine) loadModel(ctx context.Context, described *routes.Service, move Move) bool {
	model := described.Model(move.Model)
	fits := func() bool { return e.fitsModel(described, move.Model) }
	result, _ := e.order(ctx, Order{Operation: Load, Model: model.Name}, fits)
	if result != Accepted && result != Already {
		return false
	}
	expected := loadTime(model, move.FromDisk)
	if result == Accepted && !e.await(ctx, expected, func(held bool) bool { return held }, model.Name) {
		return false
	}
	e.mu.Lock()
	e.seen[model.Name] = time.Now()
	e.loadedAt[model.Name] = time.Now()
	e.loaded = append(without(e.loaded, model.Name), model.Name)
	e.dropped = without(e.dropped, model.Name)
	e.mu.Unlock()
	return true
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(entry string) bool { return entry == name })
}

// await waits until the directory, or the engine itself, tells that an order is done.
func (e *engine) await(ctx context.Context, expected time.Duration, done func(held bool) bool, model string) bool {
	ask := time.Now().Add(expected + listLag)
	for {
		state := e.controller.Directory.Get(e.id)
		if state == nil {
			return false
		}
		if done(holds(state.Models, model)) {
			return true
		}
		if time.Now().After(ask) {
			report, err := e.ask(ctx, state.Upstream)
			if err == nil && !report.Busy && done(holds(report.Models, model)) {
				return true
			}
			if err == nil && !report.Busy {
				return false
			}
			ask = time.Now().Add(listLag)
		}
		if pause.For(ctx, pollInterval) != nil {
			return false
		}
	}
}

func (e *engine) ask(ctx context.Context, of fleet.Upstream) (Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return e.controller.Engines.Report(callCtx, of)
}

func holds(list []fleet.Holding, model string) bool {
	for _, holding := range list {
		if holding.Model == model {
			return true
		}
	}
	return false
}
