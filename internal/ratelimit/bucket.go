package ratelimit

import (
	"math"
	"time"
)

const (
	// minRate is the lowest assumed limit, in requests per second over all daemons: a server
	// can raise its limit only in a response, so it must receive some requests.
	minRate = 1.0 / 30
	// maxRate caps limits that have no practical effect.
	maxRate = 1e6
	// safetyFactor is the fraction of a limit that is used; the rest covers requests from
	// daemons that are unreachable.
	safetyFactor = 0.95
	// minBurst is the bucket's base capacity in tokens, burstTime the refill time added to it.
	// Both absorb uneven arrivals.
	minBurst  = 2.6
	burstTime = 100 * time.Millisecond
	// maxDebt and maxDebtTime bound a bucket's debt, so that a corrupt count cannot block a
	// server permanently.
	maxDebt     = 30.0
	maxDebtTime = 10 * time.Second
	// initialDebt is the debt of a new bucket. It covers requests sent before the limit was
	// received.
	initialDebt = 1
	// convergenceFactor is the fraction of the gap to a peer's bucket that is closed per
	// message.
	convergenceFactor = 0.1
	// maxGap is the gap between two buckets, in tokens, from which a peer's count is ignored.
	maxGap = 1e6
)

// bucket is a token bucket for one server. Requests of all daemons take tokens from it; a
// negative count is debt.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens earned since the last update and clamps the count. jitter is the
// largest random wait in tokens.
func (b *bucket) refill(rate, jitter float64, now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.tokens += rate * elapsed
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, minBurst+jitter+rate*burstTime.Seconds())
	b.tokens = max(b.tokens, -max(maxDebt, rate*maxDebtTime.Seconds()))
}

// untilAvailable returns the time until the bucket holds the tokens, or 0 if it does now.
func (b *bucket) untilAvailable(tokens, rate float64) time.Duration {
	if b.tokens >= tokens {
		return 0
	}
	return time.Duration(math.Ceil((tokens - b.tokens) / rate * float64(time.Second)))
}

// clampAfterDecrease drops the debt, and all tokens but one, after the rate decreased: both
// would last much longer than intended at the lower rate. One token is one request at any rate.
func (b *bucket) clampAfterDecrease() { b.tokens = min(max(b.tokens, 0), 1) }

// convergeTo moves the bucket towards a peer's bucket for the same server. Buckets drift apart
// as messages are delayed and daemons join; a daemon whose bucket stays below all others would
// starve.
func (b *bucket) convergeTo(tokens float64) {
	if gap := tokens - b.tokens; math.Abs(gap) < maxGap {
		b.tokens += convergenceFactor * gap
	}
}
