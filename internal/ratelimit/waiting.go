package ratelimit

import (
	"math"
	"time"
)

// longestHint bounds the time to come back that callers are told: few wait longer.
const longestHint = 30 * time.Second

// waitingNow is how many callers are waiting to come back.
func (s *server) waitingNow(rate float64, now time.Time) float64 {
	if elapsed := now.Sub(s.waitingAt).Seconds(); elapsed > 0 {
		s.waiting = max(s.waiting-rate*elapsed, 0)
		s.waitingAt = now
	}
	return s.waiting
}

// Refuse notes that a caller is refused because none of some servers may get its request,
// and returns when it should come back: when the first of them may, after those that were
// told before it. 0 when none of them has a limit.
func (t *Table) RecordRefusal(keys []string, want Request, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	part, _ := t.peers.part(now)
	first, rate, waiting := time.Duration(math.MaxInt64), 0.0, 0.0
	var soonest *server
	for _, k := range keys {
		s := t.limitedServer(k)
		if s == nil {
			continue
		}
		rate += s.rate(part)
		waiting += s.waitingNow(s.rate(part), now)
		if left := t.left(s, want, now); left < first {
			first, soonest = left, s
		}
	}
	if soonest == nil {
		return 0
	}
	hint := first + time.Duration((waiting+t.random())/rate*float64(time.Second))
	soonest.own.refused++
	soonest.toldOnce = true // with what is told again: there may be many of these
	soonest.waiting = min(soonest.waiting+1, rate*longestHint.Seconds())
	if hint > longestHint { // more wait than will be served by then: they don't come together
		hint = longestHint - time.Duration(t.random()*float64(longestHint/2))
	}
	return hint
}
