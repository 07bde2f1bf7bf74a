// Package storelog orders what lies in the platform's store, whose log may come back from
// an older copy.
package storelog

import "sync"

// NoEra is the era of a store that names none.
const NoEra int64 = 0

// EraTracker is the newest era that a daemon has heard of. A store's era rises each time that it
// comes back from an older copy: records that it had acknowledged may be gone then, and
// their offsets are given out again. The zero value has heard of none. Safe for concurrent
// use; its lock is a leaf.
type EraTracker struct {
	mu        sync.Mutex
	newest    int64
	known     bool
	onAdvance []func(before, now int64)
}

// OnAdvance calls f whenever the store turns out to have come back. Call it before the first Note.
func (e *EraTracker) OnAdvance(f func(before, now int64)) { e.onAdvance = append(e.onAdvance, f) }

// Observe takes in an era that the store or another daemon has named.
func (e *EraTracker) Observe(era int64) {
	e.mu.Lock()
	before, risen := e.newest, e.known && era > e.newest
	if era >= e.newest {
		e.newest, e.known = era, true
	}
	e.mu.Unlock()
	if !risen {
		return
	}
	for _, f := range e.onAdvance {
		f(before, era)
	}
}

// Newest returns the newest era heard of.
func (e *EraTracker) Newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}
