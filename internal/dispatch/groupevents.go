package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

// flowFresh is how long after an event a group counts as flowing: four of the longest
// pauses between events that callers take as prompt.
const flowFresh = 500 * time.Millisecond

// sawEvent notes an event of an own stream.
func (b *Balancer) sawEvent(server *fleet.Server, now time.Time) {
	if server.Rank == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.eventAt[server.Rank.Group] = now
}

// flowing tells whether own streams of a group bring events.
func (b *Balancer) flowing(group string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, seen := b.eventAt[group]
	return seen && now.Sub(at) <= flowFresh
}
