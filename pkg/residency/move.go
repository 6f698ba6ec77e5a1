package residency

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// withdrawalDelay is how long it takes until all boxes know that a model was withdrawn from an engine.
	withdrawalDelay = 250 * time.Millisecond
	// moveTimeout bounds a whole move.
	moveTimeout = 40 * time.Second
	// unloadTime is how long the last requests of withdrawn models and their unload usually take.
	unloadTime = 400 * time.Millisecond
	// moveCooldown is how long an engine gets no orders after a failed move.
	moveCooldown = listLag
)

// startMove starts a move in the background.
func (c *Controller) startMove(serviceName string, service *routes.Service, move Move) {
	key := ModelKey{serviceName, move.Model}
	c.mu.Lock()
	e := c.engine(move.Engine, serviceName)
	if !move.FromCopy {
		c.storeRate.planned++
	}
	c.loadEnds[key] = time.Now().Add(moveTime(move))
	c.mu.Unlock()
	c.logMove(move)
	e.update(func() {
		e.move.loading = move.Model
		e.move.withdrawn = move.Evictions
	})
	go e.runMove(service, move)
}

func (c *Controller) logMove(move Move) {
	c.Log.Info("move started",
		zap.String("engine", move.Engine),
		zap.String("model", move.Model),
		zap.Strings("evicted", move.Evictions),
		zap.Bool("fromCopy", move.FromCopy),
		zap.String("reason", move.Reason),
		zap.Strings("held", move.Held),
		zap.Float64("demand", move.Demand),
		zap.Int("copies", move.Replicas),
		zap.Float64("gain", move.Benefit))
}

// moveTime returns the expected duration of a move.
func moveTime(move Move) time.Duration {
	span := move.LoadTime
	if len(move.Evictions) > 0 {
		span += withdrawalDelay + unloadTime
	}
	return span
}

// moveResult is the outcome of a move.
type moveResult struct {
	// done reports that the model is loaded.
	done bool
	// storeLoadTaken reports that the move called takeStoreLoad for its planned load, whether it was allowed
	// or not.
	storeLoadTaken bool
}

// runMove makes room on the engine and loads the move's model.
func (e *engine) runMove(service *routes.Service, move Move) {
	ctx, cancel := context.WithTimeout(e.controller.backgroundContext(), moveTimeout)
	defer cancel()
	result := e.giveMoveOrders(ctx, service, move)
	if !move.FromCopy && !result.storeLoadTaken {
		e.controller.cancelStoreLoad(e.term)
	}
	e.update(func() {
		e.move = moveProgress{}
		if !result.done {
			e.orders.countKnown = false
			e.deferral.cooldownUntil = time.Now().Add(moveCooldown)
		}
	})
	// The log lines of the move's orders tell why it failed.
	e.controller.Log.Info("move ended", zap.String("engine", e.id), zap.String("model", move.Model), zap.Bool("done", result.done))
}

// giveMoveOrders waits until the evicted models have no running requests, and sends the orders of a move.
func (e *engine) giveMoveOrders(ctx context.Context, service *routes.Service, move Move) moveResult {
	if len(move.Evictions) > 0 && pause.For(ctx, withdrawalDelay) != nil {
		return moveResult{}
	}
	e.awaitDrained(ctx, move.Evictions)
	if e.lockOrders(ctx) != nil {
		return moveResult{}
	}
	defer e.unlockOrders()
	e.mu.Lock()
	e.move.sendingOrders = true
	e.mu.Unlock()
	if e.ensureOrderCount(ctx) != nil {
		return moveResult{}
	}
	for _, model := range move.Evictions {
		if !e.unloadModel(ctx, model) {
			return moveResult{}
		}
	}
	if move.FromCopy {
		return moveResult{done: e.loadModel(ctx, service, move)}
	}
	if !e.controller.takeStoreLoad(ctx, e.term) {
		return moveResult{storeLoadTaken: true}
	}
	return moveResult{storeLoadTaken: true, done: e.loadModel(ctx, service, move)}
}
