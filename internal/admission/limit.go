package admission

import "time"

// LimitOptions bounds the adaptive concurrency limit.
type LimitOptions struct {
	Min, Max int
}

// Limit adapts the number of concurrent requests to the latency per unit of cost. It starts
// low, to measure the latency without overload, and doubles per round of responses until the
// first sign of overload; a round is as many responses as the limit. After that, a fully used
// limit grows by one per round while latency stays near the best seen. It shrinks by a tenth
// after a round if latency has increased or the last request of the round failed.
//
// The best latency decays only while it can be measured again: at the minimum limit, or with
// less than half of the limit in use. If it decayed under load, the latency under overload
// would become the baseline, and the limit would grow without bound.
type Limit struct {
	options       LimitOptions
	limit         float64
	probing       bool    // doubling until the first overload
	bestPerCost   float64 // lowest smoothed seconds per cost, with slow decay
	recentPerCost float64 // smoothed seconds per cost
	latency       float64 // smoothed seconds per request
	sinceChange   int     // responses since the last change
}

const (
	latencyWeight   = 0.1   // weight of one response in the smoothed latency
	bestDrift       = 1.001 // growth of the best latency per response
	overloadFactor  = 1.12  // ratio to the best latency that counts as overload
	shrinkFactor    = 0.9
	growthResponses = 1 // rounds of responses between two changes
	fullUsePercent  = 80
	startLimit      = 4
)

// NewLimit returns a limit with its initial value.
func NewLimit(options LimitOptions) *Limit {
	l := &Limit{options: options, probing: true}
	l.set(startLimit)
	return l
}

// SetMax sets the upper bound.
func (l *Limit) SetMax(maximum int) {
	l.options.Max = maximum
	l.limit = min(l.limit, float64(maximum))
}

// Current returns the current limit.
func (l *Limit) Current() int { return int(l.limit) }

// EstimateDuration returns the expected duration of a request with the cost; 0 if no request
// has ended yet.
func (l *Limit) EstimateDuration(cost float64) time.Duration {
	return time.Duration(l.recentPerCost * cost * float64(time.Second))
}

// Latency returns the smoothed duration of a request; 0 if none has ended yet.
func (l *Limit) Latency() time.Duration { return time.Duration(l.latency * float64(time.Second)) }

// Observe updates the limit from a finished request: its duration and cost, the number of
// concurrent requests, and whether other requests were waiting for the limit.
func (l *Limit) Observe(took time.Duration, cost float64, inFlight int, backlogged, ok bool) {
	perCost := took.Seconds() / cost
	l.smooth(perCost, took.Seconds())
	if l.Current() <= l.options.Min || 2*inFlight < l.Current() {
		l.bestPerCost *= bestDrift
	}
	l.sinceChange++
	if l.sinceChange < growthResponses*l.Current() {
		return
	}
	switch {
	case !ok || l.recentPerCost > overloadFactor*l.bestPerCost:
		l.probing = false
		l.set(l.limit * shrinkFactor)
	case backlogged || inFlight*100 >= fullUsePercent*l.Current():
		l.set(l.limit + l.growth())
	}
}

func (l *Limit) growth() float64 {
	if l.probing {
		return l.limit
	}
	return 1
}

func (l *Limit) smooth(perCost, seconds float64) {
	if l.recentPerCost == 0 {
		l.recentPerCost, l.bestPerCost, l.latency = perCost, perCost, seconds
		return
	}
	l.recentPerCost += latencyWeight * (perCost - l.recentPerCost)
	l.latency += latencyWeight * (seconds - l.latency)
	l.bestPerCost = min(l.bestPerCost, l.recentPerCost)
}

func (l *Limit) set(limit float64) {
	l.limit = min(max(limit, float64(l.options.Min)), float64(l.options.Max))
	l.sinceChange = 0
}
