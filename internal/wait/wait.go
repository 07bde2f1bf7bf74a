// Package wait pauses until a time is over or a context ends.
package wait

import (
	"context"
	"time"
)

// For pauses for a duration. It returns false when the context ended first.
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
