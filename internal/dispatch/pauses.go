package dispatch

import (
	"time"
)

// pauseEstimate follows the pauses between events.
type pauseEstimate struct {
	smoothed time.Duration
	at       time.Time
}

const (
	// pauseWeight is the weight of one pause: some twenty, of all own streams
	// together, make the estimate.
	pauseWeight = 0.05
	// pauseFresh is how long an estimate is used without news.
	pauseFresh = 500 * time.Millisecond
)

// sawPause notes the pause between two events of a stream that a group makes.
func (b *Board) sawPause(group string, pause time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.pauses[group]
	if e == nil || now.Sub(e.at) > pauseFresh {
		b.pauses[group] = &pauseEstimate{smoothed: pause, at: now}
		return
	}
	e.smoothed += time.Duration(pauseWeight * float64(pause-e.smoothed))
	e.at = now
}

// pause returns the smoothed pause between a group's events, or 0 when none is known.
func (b *Board) pause(group string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.pauses[group]; e != nil && now.Sub(e.at) <= pauseFresh {
		return e.smoothed
	}
	return 0
}

// flowing tells whether own streams of a group bring events.
func (b *Board) flowing(group string, now time.Time) bool { return b.pause(group, now) > 0 }
