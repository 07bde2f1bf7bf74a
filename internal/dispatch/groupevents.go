package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

// eventFreshness is how long after an event a group's streams count as active: several passes of a loaded group,
// each of which brings an event to every stream.
const eventFreshness = 500 * time.Millisecond

// recordEvent records an event on one of this entry's streams.
func (b *Balancer) recordEvent(server *fleet.Server, now time.Time) {
	if server.Rank == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastEventAt[server.Rank.Group] = now
}

// hasRecentEvents reports whether this entry's streams of a group are receiving events.
func (b *Balancer) hasRecentEvents(group string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, seen := b.lastEventAt[group]
	return seen && now.Sub(at) <= eventFreshness
}
