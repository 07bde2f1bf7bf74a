// Package storelog defines positions in the platform's store and tracks the store's eras.
package storelog

import "sync"

// NoEra is the era of a store that doesn't report eras.
const NoEra int64 = 0

// EraTracker records the newest known era of the store. The era increases each time the store is
// restored from an older copy: acknowledged records may then be missing and their offsets reused.
// The zero value knows no era. It is safe for concurrent use; no other lock is acquired while its
// lock is held.
type EraTracker struct {
	mu        sync.Mutex
	newest    int64
	known     bool
	onAdvance []func(before, now int64)
}

// OnAdvance registers a callback that runs in Observe each time the era advances. It must be called
// before the first Observe.
func (e *EraTracker) OnAdvance(f func(before, now int64)) { e.onAdvance = append(e.onAdvance, f) }

// Observe records an era that the store or a peer reported. The first one doesn't count as an
// advance.
func (e *EraTracker) Observe(era int64) {
	e.mu.Lock()
	before, advanced := e.newest, e.known && era > e.newest
	if era >= e.newest {
		e.newest, e.known = era, true
	}
	e.mu.Unlock()
	if !advanced {
		return
	}
	for _, f := range e.onAdvance {
		f(before, era)
	}
}

// Newest returns the newest known era.
func (e *EraTracker) Newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}
