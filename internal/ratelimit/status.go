package ratelimit

import "time"

// Status describes a server's limit.
type Status struct {
	// PerSecond is the limit that the server reported, Age the time since then.
	PerSecond float64
	Age       time.Duration
	// Rate is the total request rate of all reachable daemons, Tokens the content of the local
	// bucket.
	Rate, Tokens float64
	// Share is the fraction of each limit that the reachable daemons use.
	Share float64
}

// Status returns the state of a server's limit, or nil if the server has none.
func (t *Table) Status(key string, now time.Time) *Status {
	if !t.Any() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limitedServer(key)
	if s == nil {
		return nil
	}
	share, reachable := t.peers.share(now)
	s.bucket.refill(s.rate(share), jitterRange(reachable), now)
	return &Status{PerSecond: s.limit.PerSecond, Age: now.Sub(s.limit.ReceivedAt), Rate: s.rate(share), Tokens: s.bucket.tokens, Share: share}
}

// Share returns the fraction of each limit that this daemon and its reachable peers use, and
// the number of these daemons.
func (t *Table) Share(now time.Time) (share float64, reachable int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.share(now)
}
