package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

const (
	// unresponsiveAfter is the time without reports after which a rank's VM counts as
	// unresponsive, if another rank of the group has reported within groupReportWindow. Agents
	// report every 120 to 400 ms.
	unresponsiveAfter = time.Second
	groupReportWindow = 500 * time.Millisecond
)

// isUnresponsiveLocked reports whether a rank's agent has stopped reporting while others of
// its group still do. The caller holds b.mu.
func (b *Balancer) isUnresponsiveLocked(now time.Time, server *fleet.Server) bool {
	if server.Rank == nil {
		return false
	}
	s := b.states[server.Key()]
	if s == nil || s.reportedAt.IsZero() || now.Sub(s.reportedAt) < unresponsiveAfter {
		return false
	}
	g := b.groups[server.Rank.Group]
	return g != nil && now.Sub(g.reportedAt) < groupReportWindow
}

// isUnresponsive is isUnresponsiveLocked for callers that don't hold b.mu.
func (b *Balancer) isUnresponsive(now time.Time, server *fleet.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isUnresponsiveLocked(now, server)
}

// unresponsiveServers returns the keys of the unresponsive servers, or nil if they are too
// many for the others to take over their work. The caller holds b.mu.
func (b *Balancer) unresponsiveServers(now time.Time, servers []*fleet.Server) map[string]bool {
	var unresponsive map[string]bool
	for _, server := range servers {
		if b.isUnresponsiveLocked(now, server) {
			if unresponsive == nil {
				unresponsive = map[string]bool{}
			}
			unresponsive[server.Key()] = true
		}
	}
	if float64(len(unresponsive)) > maxDegradedFraction*float64(len(servers)) {
		return nil
	}
	return unresponsive
}
