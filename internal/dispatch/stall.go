package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/pkg/errors"
)

const (
	// streamStall is how long a stream may bring no event, while others of its group
	// do, before it goes on at another server: its connection may have fallen silent
	// for good. Ten of the longest pauses that the users' routes allow, so that a slow
	// server isn't taken for a silent one, and well before the two seconds after
	// which callers give a stream up.
	streamStall = 1200 * time.Millisecond
	// stallChecks is how often a stalled stream looks whether others go on, as a part
	// of streamStall.
	stallChecks = 10
)

// errStalled ends an attempt whose stream stalled.
var errStalled = errors.New("the stream brings no events while others of its group do")

// stallWatch ends the attempt of a stream that stalls alone. A group stalls with
// all its streams at once, so that no other rank would do better. A nil watch does
// nothing.
type stallWatch struct {
	pipeline *Pipeline
	group    string
	end      context.CancelCauseFunc

	mu        sync.Mutex // taken before the board's
	lastEvent time.Time
	timer     *time.Timer
}

// newStallWatch returns the watch of an attempt that end ends, or nil when the
// stream couldn't go on elsewhere. The watch begins with the first event.
func (p *Pipeline) newStallWatch(x *exchange, server *fleet.Server, end context.CancelCauseFunc) *stallWatch {
	if server.Rank == nil || !x.route.Idempotent() || x.sent >= x.route.MaxAttempts {
		return nil
	}
	return &stallWatch{pipeline: p, group: server.Rank.Group, end: end}
}

// sawEvent notes that an event came.
func (w *stallWatch) sawEvent() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEvent = time.Now()
	if w.timer == nil {
		w.timer = time.AfterFunc(w.pipeline.streamStall, w.check)
	}
}

// stop ends the watch.
func (w *stallWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// check ends the attempt, or looks again later.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	stall := w.pipeline.streamStall
	if silent := time.Since(w.lastEvent); silent < stall {
		w.timer.Reset(stall - silent)
		return
	}
	if !w.pipeline.board.flowing(w.group, w.pipeline.now()) {
		w.timer.Reset(stall / stallChecks)
		return
	}
	w.end(errStalled)
}
