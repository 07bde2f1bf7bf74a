// Package drain bounds what a stopping process does with requests. It has no I/O and no clock.
package drain

import (
	"sync"
	"time"
)

// Window is the grace period of a planned stop, for all parts of the process that pass requests on.
// The zero value belongs to a process that isn't stopping. Safe for concurrent use.
type Window struct {
	mu       sync.Mutex // leaf lock: guards the fields below
	stopping bool
	// beganAt is when the stop was requested. Requests still in flight at cutAt are canceled.
	beganAt, cutAt time.Time
}

// Begin begins a planned stop.
func (w *Window) Begin(now, cutAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopping {
		w.stopping, w.beganAt, w.cutAt = true, now, cutAt
	}
}

// Progress returns how long ago the planned stop began and how long its grace period still lasts. It
// reports false if none has begun.
func (w *Window) Progress(now time.Time) (elapsed, left time.Duration, stopping bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.beganAt), w.cutAt.Sub(now), w.stopping
}
