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

// errSilent ends an attempt at a VM that has fallen silent.
var errSilent = errors.New("the server's VM has fallen silent while others of its group have not")

// stallWatch ends the attempt of a stream that stalls alone. A group stalls with
// all its streams at once, so that no other rank would do better. Before its first
// event, a stream may wait for a place: then it stalls only if its server's VM has
// fallen silent, too. A nil watch does nothing.
type stallWatch struct {
	pipeline *Pipeline
	exchange *exchange // isn't changed while the attempt lasts, as far as the watch reads it
	server   *fleet.Server
	end      context.CancelCauseFunc

	mu        sync.Mutex // taken before the board's
	lastEvent time.Time
	timer     *time.Timer
	// begun is set with the first event, stopped once the attempt has ended.
	begun, stopped bool
}

// newStallWatch returns the watch of an attempt that end ends, or nil when the
// stream couldn't go on elsewhere.
func (p *Pipeline) newStallWatch(x *exchange, server *fleet.Server, end context.CancelCauseFunc) *stallWatch {
	if server.Rank == nil || !x.route.Idempotent() || x.sent+1 >= x.route.MaxAttempts {
		return nil
	}
	w := &stallWatch{pipeline: p, exchange: x, server: server, end: end, lastEvent: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(p.streamStall, w.check)
	return w
}

// sawEvent notes that an event came.
func (w *stallWatch) sawEvent() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEvent, w.begun = time.Now(), true
}

// stop ends the watch.
func (w *stallWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check ends the attempt, or looks again later.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return // it was due as the attempt ended
	}
	stall := w.pipeline.streamStall
	if silent := time.Since(w.lastEvent); silent < stall {
		w.timer.Reset(stall - silent)
		return
	}
	cause := w.cause(w.pipeline.now())
	if cause == nil {
		w.timer.Reset(stall / stallChecks)
		return
	}
	w.end(cause)
}

// cause says why the attempt has to end, if it has to. The watch's lock is held.
func (w *stallWatch) cause(now time.Time) error {
	board := w.pipeline.board
	switch {
	case !board.flowing(w.server.Rank.Group, now) || !w.pipeline.anotherTakes(w.exchange, w.server):
		return nil
	case w.begun:
		return errStalled
	case board.fellSilent(now, w.server):
		return errSilent
	default:
		return nil
	}
}
