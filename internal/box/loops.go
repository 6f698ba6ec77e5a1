package box

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// startLoops runs each loop in a goroutine until ctx ends. The group is done when all of them have returned.
func startLoops(ctx context.Context, loops ...func(context.Context)) *sync.WaitGroup {
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
	return &running
}

// newSignal returns a channel that wakes one loop. Signals that are sent before the loop receives one are merged.
func newSignal() chan struct{} { return make(chan struct{}, 1) }

// wake signals a loop without blocking.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// pause waits for the given time and reports true, or false if ctx ends first.
func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a random pause of 7/8 to 9/8 of wait, so that boxes do not act in step.
func jitter(wait time.Duration) time.Duration {
	return wait - wait/8 + rand.N(wait/4)
}
