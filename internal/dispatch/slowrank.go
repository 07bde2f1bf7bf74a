package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

const (
	// slowPace is the pace from which on a rank holds its whole group back: every
	// pass lasts as long as the slowest rank's own part, which an idle rank doesn't have.
	slowPace = 1.5
	// mostSlow is the part of a group's ranks that may be slow, or silent, for the others
	// to take their work over.
	mostSlow = 0.25
	// slowPenalty puts slow ranks behind all others, but before those that failed.
	slowPenalty = 500
)

// slow tells whether a row's server says that it's slow.
func (r *row) slow(now time.Time) bool {
	return r.reported.Slowdown >= slowPace && now.Sub(r.reportedAt) <= freshLoad
}

// holdsBack tells whether a rank is slow while most others of its service aren't.
func (b *Balancer) holdsBack(now time.Time, server *fleet.Server, servers []*fleet.Server) bool {
	if server.Rank == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.row(server.Key()).slow(now) {
		return false
	}
	slow := 0
	for _, other := range servers {
		if b.row(other.Key()).slow(now) {
			slow++
		}
	}
	return float64(slow) <= mostSlow*float64(len(servers))
}

// moveAway ends a stream's attempt at a rank that holds its group back, if the
// stream can go on at another one; otherwise it returns nil.
func (p *Pipeline) moveAway(x *exchange, server *fleet.Server) *failure.Error {
	now := p.now()
	if !x.route.Idempotent() || x.lastEvent < 0 || x.sent >= x.route.MaxAttempts ||
		!p.board.holdsBack(now, server, p.candidates(x)) || !p.anotherTakes(x, server) || !p.chooser.AcquireRetry(x.Service, x.request.Customer, now) {
		return nil
	}
	x.paid = true
	return failure.Unknown(failure.StepRelay, server.ID, failure.CodeSlow, "the server is slow and holds its group back: the stream goes on at another")
}
