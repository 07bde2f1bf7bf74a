package ratelimit

import (
	"math"
	"time"
)

const (
	// leastRate is the least that a server is sent, in requests a second, all daemons
	// together: only in an answer can it say that it takes more.
	leastRate = 1.0 / 30
	// mostRate stands for all that bounds nothing here.
	mostRate = 1e6
	// safety is the part of a limit that is used: the rest is for requests of daemons
	// that nobody hears.
	safety = 0.95
	// leastBurst is how many tokens a bucket holds besides what the waits and the rate ask
	// for, burstTime the time for which it fills: requests don't come evenly.
	leastBurst = 2.6
	burstTime  = 100 * time.Millisecond
	// mostDebt and mostDebtTime bound what a bucket owes: a count that can't be true, in a
	// damaged message, shouldn't shut a server off for good.
	mostDebt     = 30.0
	mostDebtTime = 10 * time.Second
	// onTheirWay is the debt with which a limit begins, for requests that were sent before
	// its word was heard.
	onTheirWay = 1
	// nearerBy is how far a bucket moves towards another daemon's at each message.
	nearerBy = 0.1
	// mostGap is what no two buckets are apart.
	mostGap = 1e6
)

// bucket holds the tokens of one server: all daemons' requests take from it. Below 0 it's in
// debt.
type bucket struct {
	tokens float64
	at     time.Time
}

// fill brings the bucket up to date.
func (b *bucket) fill(rate, spread float64, now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens += rate * elapsed
		b.at = now
	}
	b.tokens = min(b.tokens, leastBurst+spread+rate*burstTime.Seconds())
	b.tokens = max(b.tokens, -max(mostDebt, rate*mostDebtTime.Seconds()))
}

// untilHolds is how long it takes until the bucket holds some tokens; 0 if it does.
func (b *bucket) untilHolds(tokens, rate float64) time.Duration {
	if b.tokens >= tokens {
		return 0
	}
	return time.Duration(math.Ceil((tokens - b.tokens) / rate * float64(time.Second)))
}

// fell takes in that the rate has fallen: what was saved up, or owed, at a higher one would count
// for much longer now. One token is a request at any rate.
func (b *bucket) fell() { b.tokens = min(max(b.tokens, 0), 1) }

// nearer takes in what another daemon's bucket of the same server holds. They drift apart as
// messages come late and daemons join; a daemon whose bucket held less than all others' would
// never have its turn.
func (b *bucket) nearer(tokens float64) {
	if gap := tokens - b.tokens; math.Abs(gap) < mostGap {
		b.tokens += nearerBy * gap
	}
}
