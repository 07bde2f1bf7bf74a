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
	// silentAfter is how long the agent of a rank has told nothing when its VM counts as
	// silent, groupHeard how lately any other of its group must have told something:
	// agents tell their load each 120 to 400 ms. A request at a VM that stands still isn't
	// begun before its caller has left, 2 s later: of the 4 s that such a VM stood still,
	// its twelfth of the requests was lost, and some were begun after their callers had left.
	silentAfter = time.Second
	groupHeard  = 500 * time.Millisecond
	// slowPenalty puts slow ranks behind all others, but before those that failed.
	slowPenalty = 500
)

// slow tells whether a row's server says that it's slow.
func (r *row) slow(now time.Time) bool {
	return r.reported.Pace >= slowPace && now.Sub(r.reportedAt) <= freshLoad
}

// silent tells whether a rank's agent has fallen silent while others of its group
// tell their load. The lock is held.
func (b *Board) silent(now time.Time, server *fleet.Server) bool {
	if server.Rank == nil {
		return false
	}
	r := b.rows[server.ID]
	if r == nil || r.reportedAt.IsZero() || now.Sub(r.reportedAt) < silentAfter {
		return false
	}
	g := b.groups[server.Rank.Group]
	return g != nil && now.Sub(g.heardAt) < groupHeard
}

// fellSilent tells whether a rank is silent.
func (b *Board) fellSilent(now time.Time, server *fleet.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent(now, server)
}

// silentOnes returns those of some servers that are passed over because they are silent:
// none when too many are for the others to take their work over. The lock is held.
func (b *Board) silentOnes(now time.Time, servers []*fleet.Server) map[string]bool {
	var silent map[string]bool
	for _, server := range servers {
		if b.silent(now, server) {
			if silent == nil {
				silent = map[string]bool{}
			}
			silent[server.ID] = true
		}
	}
	if float64(len(silent)) > mostSlow*float64(len(servers)) {
		return nil
	}
	return silent
}

// holdsBack tells whether a rank is slow while most others of its service aren't.
func (b *Board) holdsBack(now time.Time, server *fleet.Server, servers []*fleet.Server) bool {
	if server.Rank == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.row(server.ID).slow(now) {
		return false
	}
	slow := 0
	for _, other := range servers {
		if b.row(other.ID).slow(now) {
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
		!p.board.holdsBack(now, server, p.candidates(x)) || !p.chooser.MayRepeat(x.Service, x.request.Customer, now) {
		return nil
	}
	x.paid = true
	return failure.Unknown(failure.StepRelay, server.ID, failure.CodeSlow, "the server is slow and holds its group back: the stream goes on at another")
}
