// Package drain decides which requests a stopping process still passes on. It has no I/O and no clock.
//
// Invariant: a request that is passed on during a planned stop ends before its grace period does,
// unless it lasts longer than its kind usually does. Once callers are no longer sent here, only
// requests whose own time limit ends first are passed on. The others are refused at once and haven't
// run.
package drain

import (
	"sync"
	"time"
)

// marginPercent is added to the expected duration of a request.
const marginPercent = 25

// Window is the grace period of a planned stop, for all parts of the process that pass requests on.
// The zero value belongs to a process that isn't stopping. Safe for concurrent use.
type Window struct {
	mu       sync.Mutex // leaf lock: guards the fields below
	stopping bool
	// certain is set once expectations no longer count.
	certain bool
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

// AdmitCertain admits only requests that end in time for certain. It is called when the process no
// longer accepts connections: few requests follow, and their callers have to connect to another one
// in any case.
func (w *Window) AdmitCertain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.certain = true
}

// Progress returns how long ago the planned stop began and how long its grace period still lasts. It
// reports false if none has begun.
func (w *Window) Progress(now time.Time) (elapsed, left time.Duration, stopping bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.beganAt), w.cutAt.Sub(now), w.stopping
}

// Admits reports whether a request may be passed on now. It ends at the latest at latestEnd, and
// recent describes others of its kind.
func (w *Window) Admits(now, latestEnd time.Time, recent Recent) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopping || !latestEnd.After(w.cutAt) {
		return true
	}
	return !w.certain && recent.endsWithin(w.cutAt.Sub(now))
}

// endsWithin reports whether a request like the recent ones is expected to end within a time. Without a
// model of it, others must have been observed for long enough to have seen them end.
func (r Recent) endsWithin(left time.Duration) bool {
	if r.Modeled == 0 && r.ObservedFor < withMargin(r.Usual) {
		return false
	}
	expected := max(r.Usual, r.Modeled)
	return expected > 0 && withMargin(expected) <= left
}

func withMargin(d time.Duration) time.Duration {
	const percent = 100
	return d + d*marginPercent/percent
}
