package residency

import (
	"context"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// hedgeDelay is the time after which a second engine also starts to load an adapter. It is about seven
	// times adapterLoadTime (docs/design/platform.md).
	hedgeDelay = 80 * time.Millisecond
	// maxHedgedLoads bounds the number of engines on which an adapter is loaded for one request.
	maxHedgedLoads = 3
)

// adapterLoad is the load of an adapter on one engine.
type adapterLoad struct {
	engine *engine
	state  *adapterState
}

// loaded reports whether the load succeeded.
func (l adapterLoad) loaded() bool {
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	return l.state.phase == phaseLoaded
}

// ensureAdapter makes sure that an adapter is loaded and returns the first engine that has it. If an engine
// takes longer than hedgeDelay, another one is tried in parallel. It returns ErrNoCapacity if no engine can
// take the adapter, and ErrFailed if all loads failed.
func (c *Controller) ensureAdapter(ctx context.Context, engines *routes.Engines, want *Want) (*engine, error) {
	var tried []string
	var pending []adapterLoad
	failure := error(ErrNoCapacity)
	for {
		started := false
		if len(tried) < maxHedgedLoads {
			if next, ok := c.placeAdapter(engines, want, slices.Concat(want.Avoid, tried)); ok {
				tried = append(tried, next.engine.id)
				pending = append(pending, next)
				started = true
			}
		}
		if len(pending) == 0 {
			return nil, failure
		}
		ended, err := awaitFirst(ctx, pending, started && len(tried) < maxHedgedLoads)
		if err != nil {
			return nil, err
		}
		if ended < 0 {
			continue // All loads take longer than hedgeDelay.
		}
		if pending[ended].loaded() {
			return pending[ended].engine, nil
		}
		failure = ErrFailed
		pending = slices.Delete(pending, ended, ended+1)
	}
}

// awaitFirst waits until the first load has ended and returns its index. If hedge is set and none ends
// within hedgeDelay, it returns -1.
func awaitFirst(ctx context.Context, pending []adapterLoad, hedge bool) (int, error) {
	var ready [maxHedgedLoads]chan struct{}
	for i, load := range pending {
		ready[i] = load.state.ready
	}
	var delayOver <-chan time.Time
	if hedge {
		timer := time.NewTimer(hedgeDelay)
		defer timer.Stop()
		delayOver = timer.C
	}
	select {
	case <-ready[0]:
		return 0, nil
	case <-ready[1]:
		return 1, nil
	case <-ready[2]:
		return 2, nil
	case <-delayOver:
		return -1, nil
	case <-ctx.Done():
		return -1, ctx.Err()
	}
}
