package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

const (
	// slowThreshold is the slowdown from which a rank slows its whole group, whose passes last
	// as long as the slowest rank's own part. A rank without requests has no such part.
	slowThreshold = 1.5
	// maxDegradedFraction is the fraction of a group's ranks that may be slow or unresponsive
	// for the others to take over their work.
	maxDegradedFraction = 0.25
	// slowPenalty ranks slow servers behind all others, but before those in backoff.
	slowPenalty = 500
)

// isSlow reports whether the server's last report is recent and shows that it is slow.
func (s *serverState) isSlow(now time.Time) bool {
	return s.reported.Slowdown >= slowThreshold && now.Sub(s.reportedAt) <= loadFreshness
}

// slowsGroup reports whether a rank is slow while most others of its service aren't.
func (b *Balancer) slowsGroup(now time.Time, server *fleet.Server, servers []*fleet.Server) bool {
	if server.Rank == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.state(server.Key()).isSlow(now) {
		return false
	}
	slow := 0
	for _, other := range servers {
		if b.state(other.Key()).isSlow(now) {
			slow++
		}
	}
	return float64(slow) <= maxDegradedFraction*float64(len(servers))
}

// migrateStream ends a stream's attempt at a rank that slows its group if the stream can
// resume at another server; otherwise it returns nil.
func (p *Pipeline) migrateStream(x *exchange, server *fleet.Server) *failure.Error {
	now := p.now()
	if !x.route.Idempotent() || !x.caller.resumable() || x.sentAttempts >= x.route.MaxAttempts ||
		!p.balancer.slowsGroup(now, server, p.candidates(x)) || !p.hasAlternative(x, server) || !p.chooser.AcquireRetry(x.Service, x.request.Customer, now) {
		return nil
	}
	x.hasRetryToken = true
	return failure.Unknown(failure.StepRelay, server.ID, failure.CodeSlow, "the server slows its group, resuming the stream at another")
}
