package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/deadline"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// groupState is the state of a group of ranks.
type groupState struct {
	// brokenAt is when the group was first reported broken in the current outage, or zero if it
	// isn't broken; brokenEpoch is the highest epoch reported broken.
	brokenAt    time.Time
	brokenEpoch int64
	// reportedAt is the time of the last agent report, epoch the highest epoch reported.
	reportedAt time.Time
	epoch      int64
	// outages are the earlier ones. ranks holds the incarnation of each rank, by its key, as of the last
	// time that the group was open, and returnedAt the time at which a new one of a lost rank completed
	// the broken group, or zero.
	outages    deadline.Outages
	ranks      map[int]string
	returnedAt time.Time
}

// reopen records that the group can run requests.
func (g *groupState) reopen(now time.Time) {
	if !g.brokenAt.IsZero() {
		g.outages.Record(now.Sub(g.brokenAt))
	}
	g.brokenAt, g.returnedAt = time.Time{}, time.Time{}
}

func (b *Balancer) group(name string) *groupState {
	g := b.groups[name]
	if g == nil {
		g = &groupState{ranks: map[int]string{}}
		b.groups[name] = g
	}
	return g
}

// UpdateGroup records the state of a group as reported by the agent of one of its ranks.
// Reports of an older time or epoch are ignored.
func (b *Balancer) UpdateGroup(rank fleet.GroupRank, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(rank.Group)
	if at.Before(g.reportedAt) || rank.Epoch < g.epoch {
		return
	}
	g.reportedAt, g.epoch = at, rank.Epoch
	if rank.Open {
		if rank.Epoch > g.brokenEpoch || at.Sub(g.brokenAt) > reopenDelay {
			g.reopen(at)
		}
		return
	}
	if g.brokenAt.IsZero() {
		g.brokenAt = at
	}
	g.brokenEpoch = max(g.brokenEpoch, rank.Epoch)
}

// reopenDelay is how long a group that refused a request counts as broken while its epoch is
// unchanged, since reports lag by some hundred milliseconds.
const reopenDelay = 400 * time.Millisecond

// markBroken records that a rank refused a request because its group is broken.
func (b *Balancer) markBroken(server *fleet.Server, now time.Time) {
	if server.Rank == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(server.Rank.Group)
	if g.brokenAt.IsZero() {
		g.brokenAt = now
	}
	g.brokenEpoch = max(g.brokenEpoch, server.Rank.Epoch, g.epoch)
}

// brokenGroup is a group that can't run requests.
type brokenGroup struct {
	group string
	// duration is how long it has been broken.
	duration time.Duration
}

// openServers returns the servers whose group can run requests. If there are none because of
// broken groups, it returns the group that broke last.
func (b *Balancer) openServers(servers []*fleet.Server, now time.Time) ([]*fleet.Server, *brokenGroup) {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := make([]*fleet.Server, 0, len(servers))
	var latest *brokenGroup
	for _, server := range servers {
		duration, broken := b.brokenFor(server, now)
		switch {
		case !broken:
			open = append(open, server)
		case !server.Leaving && (latest == nil || duration < latest.duration):
			latest = &brokenGroup{group: server.Rank.Group, duration: duration}
		}
	}
	if len(open) > 0 {
		return open, nil
	}
	return nil, latest
}

// brokenFor returns how long a server's group has been broken, if it is, after applying the
// server's registration to the group's state. The caller holds b.mu.
func (b *Balancer) brokenFor(server *fleet.Server, now time.Time) (time.Duration, bool) {
	if server.Rank == nil {
		return 0, false
	}
	g := b.group(server.Rank.Group)
	rank := server.Rank
	if rank.Open && rank.Epoch > g.brokenEpoch {
		g.reopen(now)
	}
	if !rank.Open && rank.Epoch >= g.epoch && g.brokenAt.IsZero() {
		g.brokenAt, g.brokenEpoch = now, rank.Epoch
	}
	if g.brokenAt.IsZero() {
		g.ranks[rank.Rank] = server.Key()
		return 0, false
	}
	return now.Sub(g.brokenAt), true
}

// groupRecovery returns how much longer a broken group is expected to run no requests, and at the latest, or
// deadline.Unknown. servers are all of its service; formTime is how long its engines take to open a
// group that is complete, or 0 if unknown.
func (b *Balancer) groupRecovery(broken *brokenGroup, servers []*fleet.Server, formTime time.Duration, now time.Time) (expected, latest time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(broken.group)
	if g.returnedAt.IsZero() && g.isComplete(broken.group, servers) {
		g.returnedAt = now
	}
	if g.returnedAt.IsZero() || formTime <= 0 {
		return g.outages.Remaining(broken.duration, formTime)
	}
	forming := now.Sub(g.returnedAt)
	if forming < formTime {
		return formTime - forming, formTime - forming
	}
	return max(forming-formTime, waitPollInterval), deadline.Unknown // late: as long again as it is late
}

// isComplete reports whether all ranks of a broken group are registered, a new incarnation of a lost one
// among them. The registrations of lost ranks remain for some time.
func (g *groupState) isComplete(group string, servers []*fleet.Server) bool {
	registered, renewed, size := map[int]bool{}, false, 0
	for _, server := range servers {
		if server.Rank == nil || server.Rank.Group != group || server.Leaving {
			continue
		}
		rank := server.Rank.Rank
		registered[rank], size = true, max(size, server.Rank.Size)
		if known, seen := g.ranks[rank]; seen && known != server.Key() {
			renewed = true
		}
	}
	return renewed && len(registered) >= size
}
