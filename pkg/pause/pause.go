// Package pause waits for a duration or until a context ends. Both modes use it: `ospreymoor node` in
// its loops, `ospreymoor serve` through pkg/kv.
package pause

import (
	"context"
	"time"
)

// For waits for duration and returns nil, or returns the context's error as soon as the context ends.
// With a duration of 0 or less, it does not wait and returns the context's error, if any. In specs, a receive from the
// channel of a timer that is due already crashes the race detector's runtime if the clock is a bubble's.
func For(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
