// Package deadline decides from the time that a caller has whether its request begins, waits or is
// refused, and when an attempt gives way to another server. It has no I/O and no clock.
//
// Invariant: the decision depends only on the time left and on what is known of the wait and the work.
package deadline

import (
	"math"
	"time"
)

// Unknown is the wait of a request of which nobody knows when it can begin.
const Unknown time.Duration = math.MaxInt64

// Budget is the time that a caller still has for a request.
type Budget struct {
	// First is the time until it must have the first byte of a response, or the next event of a stream.
	First time.Duration
	// Whole is the time until it must have the whole response.
	Whole time.Duration
}

// left returns the time after which nothing reaches the caller in time.
func (b Budget) left() time.Duration { return min(b.First, b.Whole) }

// Forecast is what is expected of a request. Durations that aren't known are 0.
type Forecast struct {
	// Wait is the time until the request can begin: 0 if it can now, or Unknown.
	Wait time.Duration
	// Least is the time from its beginning to the first byte at best.
	Least time.Duration
	// First is the time from its beginning to the first byte that nearly all requests of its kind
	// don't exceed, Whole the time to the end of the response that half of them don't exceed.
	First, Whole time.Duration
}

// Decision is what becomes of a request.
type Decision int

// The decisions.
const (
	// Begin sends the request to a server now.
	Begin Decision = iota
	// Wait keeps the request until it can begin.
	Wait
	// Refuse tells the caller at once that the request won't run.
	Refuse
)

// String returns the decision's name.
func (d Decision) String() string { return [...]string{"begin", "wait", "refuse"}[d] }

// Decide returns what becomes of a request. One that can begin now is refused only if it can't meet its
// budget for certain: if estimates that are too long refused it, nothing would correct them.
func (b Budget) Decide(f Forecast) Decision {
	switch {
	case b.left() <= 0 || f.Least > b.left():
		return Refuse
	case f.Wait <= 0:
		return Begin
	case f.Wait > b.First-f.First || f.Wait > b.Whole-f.Whole:
		return Refuse
	default:
		return Wait
	}
}

// marginPercent is added to what nearly all attempts take before one of them counts as held up.
const marginPercent = 25

// HandOver returns after which time an attempt that has not begun to answer gives way to another server,
// or 0 if it keeps the request. Each of the attempts that are left, this one included, gets an equal part of the
// budget, but no less than nearly all need: usual is the time to the first byte that they don't exceed, or 0 if
// unknown. An attempt keeps a request that would have too little time left for another.
func (b Budget) HandOver(usual time.Duration, attempts int) time.Duration {
	if attempts < 2 || b.left() <= 0 {
		return 0
	}
	const percent = 100
	after := max(b.left()/time.Duration(attempts), usual+usual*marginPercent/percent)
	if after+usual > b.left() {
		return 0
	}
	return after
}
