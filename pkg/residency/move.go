package residency

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/pause"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// noticeTime is how long a withdrawal takes to be known on all boxes.
	noticeTime = 250 * time.Millisecond
	// moveTimeout bounds a whole move.
	moveTimeout = 40 * time.Second
	// unloadTime is how long the last runs of withdrawn models and their unload usually take.
	unloadTime = 400 * time.Millisecond
	// moveCooldown is how long an engine is left alone after a move failed.
	moveCooldown = listLag
)

// startMove begins a move in the background.
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

// moveTime is how long a move will probably take.
func moveTime(move Move) time.Duration {
	span := move.LoadTime
	if len(move.Evictions) > 0 {
		span += noticeTime + unloadTime
	}
	return span
}

// moveResult is how a move ended.
type moveResult struct {
	// done reports that the model is loaded.
	done bool
	// drawn reports that the move drew on the weight store's rate, whatever came of it.
	drawn bool
}

// runMove makes room on the engine and loads a model.
func (e *engine) runMove(service *routes.Service, move Move) {
	ctx, cancel := context.WithTimeout(e.controller.jobs(), moveTimeout)
	defer cancel()
	result := e.giveMoveOrders(ctx, service, move)
	if !move.FromCopy && !result.drawn {
		e.controller.cancelLoad(e.term)
	}
	e.update(func() {
		e.move = moveProgress{}
		if !result.done {
			e.orders.known = false
			e.backoff.cooldownUntil = time.Now().Add(moveCooldown)
		}
	})
	// Why a move failed is in the lines of its orders.
	e.controller.Log.Info("move ended", zap.String("engine", e.id), zap.String("model", move.Model), zap.Bool("done", result.done))
}

// giveMoveOrders waits until the evicted models have no requests, and gives a move's orders.
func (e *engine) giveMoveOrders(ctx context.Context, service *routes.Service, move Move) moveResult {
	if len(move.Evictions) > 0 && pause.For(ctx, noticeTime) != nil {
		return moveResult{}
	}
	e.awaitDrained(ctx, move.Evictions)
	if e.lockOrders(ctx) != nil {
		return moveResult{}
	}
	defer e.unlockOrders()
	e.mu.Lock()
	e.move.ordering = true
	e.mu.Unlock()
	if e.learnCount(ctx) != nil {
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
	if !e.controller.drawLoad(ctx, e.term) {
		return moveResult{drawn: true}
	}
	return moveResult{drawn: true, done: e.loadModel(ctx, service, move)}
}
