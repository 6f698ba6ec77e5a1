package residency

import (
	"context"
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/routes"
)

const (
	// hedgeDelay is after how long an adapter's load is begun on another engine too. It is
	// some seven times adapterTime (docs/design/platform.md).
	hedgeDelay = 80 * time.Millisecond
	// maxHedgedLoads bounds on how many engines an adapter is loaded for one request.
	maxHedgedLoads = 3
)

// adapterLoad is an adapter's load on one engine.
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

// ensureAdapter has an adapter loaded and returns the engine that has it first. Where one engine
// takes longer than hedgeDelay, another one is tried beside it. It fails with ErrNoPlace if no
// engine can take the adapter, with ErrFailed if all loads failed.
func (c *Controller) ensureAdapter(ctx context.Context, engines *routes.Engines, want *Want) (*engine, error) {
	var tried []string
	var pending []adapterLoad
	failure := error(ErrNoPlace)
	for {
		begun := false
		if len(tried) < maxHedgedLoads {
			if next, ok := c.placeAdapter(engines, want, slices.Concat(want.Avoid, tried)); ok {
				tried = append(tried, next.engine.id)
				pending = append(pending, next)
				begun = true
			}
		}
		if len(pending) == 0 {
			return nil, failure
		}
		ended, err := awaitFirst(ctx, pending, begun && len(tried) < maxHedgedLoads)
		if err != nil {
			return nil, err
		}
		if ended < 0 {
			continue // All take longer than hedgeDelay.
		}
		if pending[ended].loaded() {
			return pending[ended].engine, nil
		}
		failure = ErrFailed
		pending = slices.Delete(pending, ended, ended+1)
	}
}

// awaitFirst waits for the first load to end and returns its index; -1 if hedge is set and none
// ends within hedgeDelay.
func awaitFirst(ctx context.Context, pending []adapterLoad, hedge bool) (int, error) {
	var ready [maxHedgedLoads]chan struct{}
	for i, load := range pending {
		ready[i] = load.state.ready
	}
	var late <-chan time.Time
	if hedge {
		timer := time.NewTimer(hedgeDelay)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-ready[0]:
		return 0, nil
	case <-ready[1]:
		return 1, nil
	case <-ready[2]:
		return 2, nil
	case <-late:
		return -1, nil
	case <-ctx.Done():
		return -1, ctx.Err()
	}
}
