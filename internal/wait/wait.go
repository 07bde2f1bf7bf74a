// Package wait provides context-aware pauses.
package wait

import (
	"context"
	"time"
)

// For waits for the duration and returns true, or returns false if ctx ends first.
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
