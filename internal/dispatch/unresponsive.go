package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

const (
	// silentAfter is how long the agent of a rank has told nothing when its VM counts as
	// silent, groupHeard how lately any other of its group must have told something:
	// agents tell their load each 120 to 400 ms. A request at a VM that stands still isn't
	// begun before its caller has left, 2 s later: of the 4 s that such a VM stood still,
	// its twelfth of the requests was lost, and some were begun after their callers had left.
	silentAfter = time.Second
	groupHeard  = 500 * time.Millisecond
)

// silent tells whether a rank's agent has fallen silent while others of its group
// tell their load. The lock is held.
func (b *Balancer) silent(now time.Time, server *fleet.Server) bool {
	if server.Rank == nil {
		return false
	}
	r := b.rows[server.Key()]
	if r == nil || r.reportedAt.IsZero() || now.Sub(r.reportedAt) < silentAfter {
		return false
	}
	g := b.groups[server.Rank.Group]
	return g != nil && now.Sub(g.heardAt) < groupHeard
}

// fellSilent tells whether a rank is silent.
func (b *Balancer) fellSilent(now time.Time, server *fleet.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent(now, server)
}

// silentOnes returns those of some servers that are passed over because they are silent:
// none when too many are for the others to take their work over. The lock is held.
func (b *Balancer) silentOnes(now time.Time, servers []*fleet.Server) map[string]bool {
	var silent map[string]bool
	for _, server := range servers {
		if b.silent(now, server) {
			if silent == nil {
				silent = map[string]bool{}
			}
			silent[server.Key()] = true
		}
	}
	if float64(len(silent)) > mostSlow*float64(len(servers)) {
		return nil
	}
	return silent
}
