package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/quota"
)

// RetryBudgetPolicy bounds the sendings beyond each request's first.
type RetryBudgetPolicy struct {
	// Ratio is how many repeats the deployment may make for each request.
	Ratio float64
	// Extra is how many more it may make in each window, all entries together.
	Extra float64
	// Window is the span over which both are counted.
	Window time.Duration
	// Entries is how many entries are known; 0 when that isn't.
	Entries int
}

const (
	// budgetSlots divides the window.
	budgetSlots = 20
	// ratioSafety is the part of Ratio that an entry spends: repeats of one window
	// may belong to requests of the one before.
	ratioSafety = 0.6
	// extraShares is among how many entries Extra is divided at least: the most
	// entries of a small deployment (8) and its spare ones (3), rounded up.
	extraShares = 12
)

// extra is this entry's share of Extra.
func (p RetryBudgetPolicy) extra() float64 {
	return min(p.Extra/extraShares, quota.PerDaemon(p.Extra, p.Entries))
}

// retryBudget counts one service's requests and repeats at this entry. It needs
// nobody else's counts: each entry's part of the deployment's budget follows
// from its own requests and a fixed share of the rest. Not safe for concurrent use.
type retryBudget struct {
	policy   RetryBudgetPolicy
	requests [budgetSlots]int
	repeats  [budgetSlots]int
	slot     int64
}

func (b *retryBudget) advance(now time.Time) {
	slot := now.UnixNano() / int64(max(b.policy.Window/budgetSlots, time.Millisecond))
	for steps := min(slot-b.slot, budgetSlots); steps > 0; steps-- {
		at := (slot - steps + 1) % budgetSlots
		b.requests[at], b.repeats[at] = 0, 0
	}
	b.slot = max(slot, b.slot)
}

// request counts a request.
func (b *retryBudget) request(now time.Time) {
	b.advance(now)
	b.requests[b.slot%budgetSlots]++
}

// spend takes one repeat from the budget, or returns false.
func (b *retryBudget) spend(now time.Time) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range budgetSlots {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := b.policy.Ratio*ratioSafety*float64(requests) + b.policy.extra()
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats[b.slot%budgetSlots]++
	return true
}

// giveBack gives one repeat back that was spent and not made.
func (b *retryBudget) giveBack(now time.Time) {
	b.advance(now)
	for age := range int64(budgetSlots) {
		if at := (b.slot - age + budgetSlots) % budgetSlots; b.repeats[at] > 0 {
			b.repeats[at]--
			return
		}
	}
}
