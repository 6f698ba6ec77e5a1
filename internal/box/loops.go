package box

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// run starts loops that end with ctx; the group is done when all have returned.
func run(ctx context.Context, loops ...func(context.Context)) *sync.WaitGroup {
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
	return &running
}

// newSignal returns a channel that wakes one loop; signals that come before the loop takes the first are one.
func newSignal() chan struct{} { return make(chan struct{}, 1) }

// wake signals a loop without waiting for it.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// pause waits, and reports whether ctx is still on.
func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter spreads a pause evenly over 7/8 to 9/8 of it, so that boxes do not act in step.
func jitter(wait time.Duration) time.Duration {
	return wait - wait/8 + rand.N(wait/4)
}
