package admission

import "time"

// LimitOptions bound the adaptive concurrency limit.
type LimitOptions struct {
	// Min and Max bound the limit.
	Min, Max int
}

// Limit adapts how many requests run at once to the latency per unit of cost.
// It starts low, so that the best latency is measured before there is an
// overload, and doubles per limit's worth of answers until the first sign of
// one. From then on, while latency stays near the best seen, a limit in full use
// grows by one per limit's worth of answers; when latency doubles, or the server fails, it
// shrinks by a tenth, at most once per limit's worth of answers.
//
// The best latency is forgotten only while it can be measured afresh: at the
// minimal limit or with less than half of it in use. Were it forgotten under
// load, the latency of an overload would slowly become the best, and the limit
// would creep up without end.
type Limit struct {
	options LimitOptions
	limit   float64
	probing bool    // doubling, until the first overload
	best    float64 // least smoothed seconds per cost, forgotten slowly
	recent  float64 // smoothed seconds per cost
	latency float64 // smoothed seconds per request
	since   int     // answers since the last change
}

const (
	latencyWeight  = 0.1   // weight of one answer in the smoothed latency
	bestDrift      = 1.001 // how fast the best latency is forgotten, per answer
	slowFactor     = 1.12  // latency over the best that counts as overload
	shrinkFactor   = 0.9
	growthAnswers  = 1 // limit's worths of answers per growth by one
	fullUsePercent = 80
	startLimit     = 4
)

// NewLimit returns a limit at its starting value.
func NewLimit(options LimitOptions) *Limit {
	l := &Limit{options: options, probing: true}
	l.set(startLimit)
	return l
}

// SetMax changes the upper bound.
func (l *Limit) SetMax(most int) {
	l.options.Max = most
	l.limit = min(l.limit, float64(most))
}

// Current is the limit now.
func (l *Limit) Current() int { return int(l.limit) }

// Expect returns how long a request of a cost will probably run; 0 when nothing
// is known yet.
func (l *Limit) EstimateDuration(cost float64) time.Duration {
	return time.Duration(l.recent * cost * float64(time.Second))
}

// Latency is the smoothed time from start to end of a request.
func (l *Limit) Latency() time.Duration { return time.Duration(l.latency * float64(time.Second)) }

// Observe learns from one ended request: how long it ran, what it cost, how many
// ran beside it, and whether others were held back by the limit.
func (l *Limit) Observe(took time.Duration, cost float64, inFlight int, heldBack, ok bool) {
	perCost := took.Seconds() / cost
	l.smooth(perCost, took.Seconds())
	if l.Current() <= l.options.Min || 2*inFlight < l.Current() {
		l.best *= bestDrift
	}
	l.since++
	if l.since < growthAnswers*l.Current() {
		return
	}
	switch {
	case !ok || l.recent > slowFactor*l.best:
		l.probing = false
		l.set(l.limit * shrinkFactor)
	case heldBack || inFlight*100 >= fullUsePercent*l.Current():
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
	if l.recent == 0 {
		l.recent, l.best, l.latency = perCost, perCost, seconds
		return
	}
	l.recent += latencyWeight * (perCost - l.recent)
	l.latency += latencyWeight * (seconds - l.latency)
	l.best = min(l.best, l.recent)
}

func (l *Limit) set(limit float64) {
	l.limit = min(max(limit, float64(l.options.Min)), float64(l.options.Max))
	l.since = 0
}
