// Package pause waits for a time that may be cut short.
package pause

import (
	"context"
	"time"
)

// For waits for span, or returns the context's error as soon as it ends. A span of 0 or less
// does not wait.
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
