package dispatch

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/deadline"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/wait"
)

// Callers of the platform abandon a stream after a gap without events, also before the first one: the
// longest of minAbandonGap, abandonObjectives objectives and abandonEventGaps times the route's longest
// pause. The figures are those of the platform's protocol.
const (
	minAbandonGap     = 2 * time.Second
	abandonObjectives = 4
	abandonEventGaps  = 8
)

// abandonGap returns after how long without an event callers abandon a stream of the route.
func abandonGap(route *fleet.Route) time.Duration {
	return max(minAbandonGap, abandonObjectives*route.Objective, abandonEventGaps*route.MaxEventGap)
}

// budgetAt returns the time that the caller still has.
func (x *exchange) budgetAt(now time.Time) deadline.Budget {
	b := deadline.Budget{Whole: x.Deadline.Sub(now)}
	b.First = b.Whole
	if x.route.Kind != fleet.KindStreaming {
		return b
	}
	lastEventAt := x.request.ReceivedAt
	if x.caller.started {
		lastEventAt = x.lastEventAt
	}
	b.First = min(b.First, lastEventAt.Add(abandonGap(x.route)).Sub(now))
	return b
}

// decide returns what becomes of a request that can begin after a wait.
func (p *Pipeline) decide(x *exchange, untilBegin time.Duration) deadline.Decision {
	now := p.now()
	f := deadline.Forecast{Wait: untilBegin}
	if untilBegin > 0 {
		f.First, _ = p.firstBytes.Completed(x.route.Name, now)
		_, f.Whole = p.responses.Completed(x.route.Name, now)
	}
	x.forecast, x.budget = f, x.budgetAt(now)
	return x.budget.Decide(f)
}

// retryAfterWait returns the retry hint of a request that could begin after a wait. While nothing is known of
// the wait, callers are spread over the time that they heed.
func (p *Pipeline) retryAfterWait(x *exchange, untilBegin time.Duration) time.Duration {
	if untilBegin != deadline.Unknown {
		return untilBegin
	}
	heeded := x.Deadline.Sub(p.now()) / retryAfterDivisor
	return LeavingRetryAfter + p.randomDuration(heeded-LeavingRetryAfter)
}

// randomDuration returns a random duration below a bound, in whole milliseconds.
func (p *Pipeline) randomDuration(bound time.Duration) time.Duration {
	if bound < time.Millisecond {
		return 0
	}
	return time.Duration(p.balancer.random(int(bound.Milliseconds()))) * time.Millisecond
}

// awaitChange waits until what keeps a request from beginning may have changed. It reports whether the request
// is still wanted.
func (p *Pipeline) awaitChange(ctx context.Context, x *exchange) bool {
	began := p.now()
	waited := wait.For(ctx, waitPollInterval)
	x.waited += p.now().Sub(began)
	return waited
}

// waitPollInterval is how often a waiting request checks whether it can begin.
const waitPollInterval = 20 * time.Millisecond

// recordFirstByte records how long an attempt took to its first byte, recordDuration to the end of a whole
// response. Attempts that found no free slot tell more of the queue than of the work.
func (p *Pipeline) recordFirstByte(x *exchange) {
	if now := p.now(); x.choice.hasFreeSlot() {
		p.firstBytes.Record(x.route.Name, now, now.Sub(x.sentAt))
	}
}

func (p *Pipeline) recordDuration(x *exchange) {
	if now := p.now(); x.choice.hasFreeSlot() && !x.part.resumption {
		p.responses.Record(x.route.Name, now, now.Sub(x.sentAt))
	}
}
