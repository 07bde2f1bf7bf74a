package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/quota"
)

// RetryBudgetPolicy bounds the retries of requests.
type RetryBudgetPolicy struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Extra is the number of further retries per window, for all entries together.
	Extra float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// Entries is the number of known entries, or 0 if unknown.
	Entries int
}

const (
	// budgetBuckets is the number of counters per window.
	budgetBuckets = 20
	// ratioMargin is the fraction of Ratio that an entry uses, because retries may belong to
	// requests of the previous window.
	ratioMargin = 0.6
	// minExtraShares is the minimum number of shares into which Extra is divided, so that this
	// many entries can't overspend even if they don't know each other. Small deployments have up
	// to eight entries and three spare ones.
	minExtraShares = 12
)

// extraPerEntry returns this entry's share of Extra.
func (p RetryBudgetPolicy) extraPerEntry() float64 {
	return min(p.Extra/minExtraShares, quota.PerDaemon(p.Extra, p.Entries))
}

// retryBudget counts the requests and retries of one service at this entry. It needs no counts
// of other entries: the entry's budget depends on its own requests and a fixed share of Extra.
// Not safe for concurrent use.
type retryBudget struct {
	policy   RetryBudgetPolicy
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
	bucket   int64
}

// advance clears the buckets that have left the window.
func (b *retryBudget) advance(now time.Time) {
	bucket := now.UnixNano() / int64(max(b.policy.Window/budgetBuckets, time.Millisecond))
	for steps := min(bucket-b.bucket, budgetBuckets); steps > 0; steps-- {
		i := (bucket - steps + 1) % budgetBuckets
		b.requests[i], b.retries[i] = 0, 0
	}
	b.bucket = max(bucket, b.bucket)
}

// recordRequest counts a request.
func (b *retryBudget) recordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.bucket%budgetBuckets]++
}

// acquire takes one retry from the budget and reports whether there was one.
func (b *retryBudget) acquire(now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := b.policy.Ratio*ratioMargin*float64(requests) + b.policy.extraPerEntry()
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.bucket%budgetBuckets]++
	return true
}

// release returns one unused retry.
func (b *retryBudget) release(now time.Time) {
	b.advance(now)
	for age := range int64(budgetBuckets) {
		if i := (b.bucket - age + budgetBuckets) % budgetBuckets; b.retries[i] > 0 {
			b.retries[i]--
			return
		}
	}
}
