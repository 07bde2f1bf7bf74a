package ratelimit

import "time"

// Limit is what is known of a server's limit.
type Status struct {
	// PerSecond is what the server named, Age how long ago.
	PerSecond float64
	Age       time.Duration
	// Rate is what daemons send it now, Tokens what this one's bucket holds.
	Rate, Tokens float64
	// Part is the part of limits that the daemons in touch use.
	Share float64
}

// Limit returns what is known of a server's limit, or nil.
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
	part, heard := t.peers.part(now)
	s.bucket.fill(s.rate(part), spread(heard), now)
	return &Status{PerSecond: s.word.PerSecond, Age: now.Sub(s.word.ReceivedAt), Rate: s.rate(part), Tokens: s.bucket.tokens, Share: part}
}

// Part returns which part of limits this daemon and those that it hears use, and how many they
// are.
func (t *Table) Share(now time.Time) (part float64, heard int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.part(now)
}
