// Package pause waits for a time that the end of a context may cut short. Both ways use it:
// `ospreymoor node` in its loops, `ospreymoor serve` by pkg/kv.
package pause

import (
	"context"
	"time"
)

// For waits for span and returns nil, or returns the context's error as soon as the context ends. A
// span of 0 or less does not wait.
func For(ctx context.Context, span time.Duration) error {
	if span <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
