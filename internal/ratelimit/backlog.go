package ratelimit

import (
	"math"
	"time"
)

// maxRetryAfter bounds the retry hints of callers, few of which wait longer.
const maxRetryAfter = 30 * time.Second

// currentBacklog returns the estimated number of refused callers that have yet to retry.
func (s *server) currentBacklog(rate float64, now time.Time) float64 {
	if elapsed := now.Sub(s.backlogAt).Seconds(); elapsed > 0 {
		s.backlog = max(s.backlog-rate*elapsed, 0)
		s.backlogAt = now
	}
	return s.backlog
}

// RecordRefusal records that a caller is refused because none of the servers may receive its
// request. It returns the caller's retry hint, at most maxRetryAfter: the time until the first
// server becomes available and has served the callers that were refused earlier. It returns 0
// when none of the servers has a limit.
func (t *Table) RecordRefusal(keys []string, r TokenRequest, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	share, _ := t.peers.share(now)
	first, rate, waiting := time.Duration(math.MaxInt64), 0.0, 0.0
	var soonest *server
	for _, k := range keys {
		s := t.limitedServer(k)
		if s == nil {
			continue
		}
		rate += s.rate(share)
		waiting += s.currentBacklog(s.rate(share), now)
		if wait := t.wait(s, r, now); wait < first {
			first, soonest = wait, s
		}
	}
	if soonest == nil {
		return 0
	}
	retryAfter := first + time.Duration((waiting+t.random())/rate*float64(time.Second))
	soonest.local.refused++
	soonest.resend = true // sent with the next refresh only: there may be many refusals
	soonest.backlog = min(soonest.backlog+1, rate*maxRetryAfter.Seconds())
	if retryAfter > maxRetryAfter { // more callers than can be served by then: spread them out
		retryAfter = maxRetryAfter - time.Duration(t.random()*float64(maxRetryAfter/2))
	}
	return retryAfter
}
