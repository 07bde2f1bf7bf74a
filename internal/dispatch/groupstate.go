package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

// groupState is what is known of a group of ranks.
type groupState struct {
	// brokenAt is when a rank last said that the group can't run, with the epoch
	// that was known then; zero when nothing says so.
	brokenAt    time.Time
	brokenEpoch int64
	// heardAt is when an agent last told of the group, epoch the newest told.
	heardAt time.Time
	epoch   int64
}

func (b *Balancer) group(name string) *groupState {
	g := b.groups[name]
	if g == nil {
		g = &groupState{}
		b.groups[name] = g
	}
	return g
}

// UpdateGroup takes in what the agent of a rank says of its group.
func (b *Balancer) UpdateGroup(rank fleet.GroupRank, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(rank.Group)
	if at.Before(g.heardAt) || rank.Epoch < g.epoch {
		return
	}
	g.heardAt, g.epoch = at, rank.Epoch
	if rank.Open {
		if rank.Epoch > g.brokenEpoch || at.Sub(g.brokenAt) > reopenDelay {
			g.brokenAt = time.Time{}
		}
		return
	}
	if g.brokenAt.IsZero() {
		g.brokenAt = at
	}
	g.brokenEpoch = max(g.brokenEpoch, rank.Epoch)
}

// reopenDelay is how long a group that refused a request counts as broken when
// its epoch hasn't changed since: reports lag by some hundred milliseconds.
const reopenDelay = 400 * time.Millisecond

// markBroken notes that a rank refused a request for its group's sake.
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
	// since is how long it has been broken.
	since time.Duration
}

// open returns those of some servers that can run requests as far as their groups
// go. When only groups stand in the way, it returns the one that broke last instead.
func (b *Balancer) open(servers []*fleet.Server, now time.Time) ([]*fleet.Server, *brokenGroup) {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := make([]*fleet.Server, 0, len(servers))
	var last *brokenGroup
	for _, server := range servers {
		since, broken := b.brokenFor(server, now)
		switch {
		case !broken:
			open = append(open, server)
		case !server.Leaving && (last == nil || since < last.since):
			last = &brokenGroup{group: server.Rank.Group, since: since}
		}
	}
	if len(open) > 0 {
		return open, nil
	}
	return nil, last
}

// brokenFor tells how long a server's group has been broken. The lock is held.
func (b *Balancer) brokenFor(server *fleet.Server, now time.Time) (time.Duration, bool) {
	if server.Rank == nil {
		return 0, false
	}
	g := b.group(server.Rank.Group)
	rank := server.Rank
	if rank.Open && rank.Epoch > g.brokenEpoch {
		g.brokenAt = time.Time{}
	}
	if !rank.Open && rank.Epoch >= g.epoch && g.brokenAt.IsZero() {
		g.brokenAt, g.brokenEpoch = now, rank.Epoch
	}
	if g.brokenAt.IsZero() {
		return 0, false
	}
	return now.Sub(g.brokenAt), true
}
