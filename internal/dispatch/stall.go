package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/pkg/errors"
)

const (
	// stallsPerAbandonGap is the number of servers among which the gap is divided after which callers abandon a
	// stream: one that stalls, and another that has to send the next event in time.
	stallsPerAbandonGap = 2
	// checksPerStall is how many times per stall timeout a stalled stream checks whether others
	// receive events.
	checksPerStall = 10
)

// stallTimeoutOf returns how long a stream of a route may lack events, while others of its group receive them,
// before it resumes at another server: its connection may have gone silent for good. 0 if callers wait for as
// long as the request may take.
func (p *Pipeline) stallTimeoutOf(route *fleet.Route) time.Duration {
	if p.stallTimeout > 0 {
		return p.stallTimeout
	}
	return route.AbandonGap / stallsPerAbandonGap
}

// errStalled is the cancellation cause of an attempt whose stream stalled.
var errStalled = errors.New("stream stalled while others of its group received events")

// errUnresponsive is the cancellation cause of an attempt at an unresponsive VM.
var errUnresponsive = errors.New("VM unresponsive while others of its group responded")

// stallDetector cancels the attempt of a stream that stalls while others of its group don't.
// If a whole group stalls, no other rank would do better. Before its first event, a stream may
// be queued: it then counts as stalled only if its server's VM is unresponsive, too. recordEvent
// and stop do nothing on a nil detector.
type stallDetector struct {
	pipeline *Pipeline
	exchange *exchange // the fields read here don't change during the attempt
	server   *fleet.Server
	cancel   context.CancelCauseFunc

	mu          sync.Mutex // acquired before the balancer's
	lastEventAt time.Time
	timer       *time.Timer
	// started is set at the first event, stopped when the attempt has ended.
	started, stopped bool
}

// newStallDetector returns the detector for an attempt, or nil if the stream couldn't resume
// elsewhere. It calls cancel if the stream stalls.
func (p *Pipeline) newStallDetector(x *exchange, server *fleet.Server, cancel context.CancelCauseFunc) *stallDetector {
	timeout := p.stallTimeoutOf(x.route)
	if server.Rank == nil || !x.route.Idempotent() || x.sentAttempts+1 >= x.route.MaxAttempts || timeout <= 0 {
		return nil
	}
	d := &stallDetector{pipeline: p, exchange: x, server: server, cancel: cancel, lastEventAt: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(timeout, d.check)
	return d
}

// recordEvent records that an event arrived.
func (d *stallDetector) recordEvent() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastEventAt, d.started = time.Now(), true
}

// stop ends the monitoring; a check by a timer that has already fired does nothing.
func (d *stallDetector) stop() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}

// check cancels the attempt if it has stalled, and otherwise reschedules itself.
func (d *stallDetector) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return // the timer had already fired
	}
	timeout := d.pipeline.stallTimeoutOf(d.exchange.route)
	if idle := time.Since(d.lastEventAt); idle < timeout {
		d.timer.Reset(timeout - idle)
		return
	}
	cause := d.cause(d.pipeline.now())
	if cause == nil {
		d.timer.Reset(timeout / checksPerStall)
		return
	}
	d.cancel(cause)
}

// cause returns why the attempt has to end, or nil. The caller holds d.mu.
func (d *stallDetector) cause(now time.Time) error {
	balancer := d.pipeline.balancer
	switch {
	case !balancer.hasRecentEvents(d.server.Rank.Group, now) || !d.pipeline.hasAlternative(d.exchange, d.server):
		return nil
	case d.started:
		return errStalled
	case balancer.isUnresponsive(now, d.server):
		return errUnresponsive
	default:
		return nil
	}
}
