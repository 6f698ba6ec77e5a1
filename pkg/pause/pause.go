// Package pause waits for a duration or until a context ends. Both modes use it: `ospreymoor node` in
// its loops, `ospreymoor serve` through pkg/kv.
package pause

import (
	"context"
	"time"
)

// For waits for duration and returns nil, or returns the context's error as soon as the context ends.
// With a duration of 0 or less, it does not wait and returns the context's error, if any.
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
