package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/pkg/errors"
)

// errUnanswered is the cancellation cause of an attempt that gives way to another server.
var errUnanswered = errors.New("no response for this attempt's part of the caller's time, and enough left for another server")

// handOver ends the attempt of an idempotent request that its server doesn't begin to answer, if another server
// can still answer in the caller's time. Its methods do nothing on a nil handOver.
type handOver struct {
	pipeline *Pipeline
	exchange *exchange // the fields read here don't change before the response
	server   *fleet.Server
	cancel   context.CancelCauseFunc

	mu    sync.Mutex // acquired before the balancer's
	timer *time.Timer
	// ended is set once the server has begun to answer or has failed, fired once the attempt was ended.
	ended, fired bool
}

// newHandOver returns the handOver of an attempt, or nil if the attempt keeps the request.
func (p *Pipeline) newHandOver(x *exchange, server *fleet.Server, cancel context.CancelCauseFunc) *handOver {
	if x.route.Kind != fleet.KindIdempotent || x.Homes != nil {
		return nil
	}
	now := p.now()
	usual, _ := p.firstBytes.Completed(x.route.Name, now)
	after := x.budgetAt(now).HandOver(usual, x.route.MaxAttempts-x.sentAttempts)
	if after <= 0 {
		return nil
	}
	h := &handOver{pipeline: p, exchange: x, server: server, cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(after, h.fire)
	return h
}

// fire ends the attempt if another server may get the request. A server that may be at work is given up only
// for a retry that the budget allows.
func (h *handOver) fire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, x := h.pipeline, h.exchange
	if h.ended || !p.hasAlternative(x, h.server) || !p.chooser.AcquireRetry(x.Service, x.request.Customer, p.now()) {
		return
	}
	h.fired = true
	h.cancel(errUnanswered)
}

// answered keeps the attempt from now on: its server has begun to answer, or has failed. It reports whether the
// attempt was ended before, with a retry acquired for the next one.
func (h *handOver) answered() (fired bool) {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.timer.Stop()
	return h.fired
}
