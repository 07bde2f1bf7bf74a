// Package wait provides context-aware pauses.
package wait

import (
	"context"
	"time"
)

// For waits for a duration or until ctx ends. It reports whether the duration has passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
