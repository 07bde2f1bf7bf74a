package dispatch

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/deadline"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/wait"
)

// budgetAt returns the time that the caller still has.
func (x *exchange) budgetAt(now time.Time) deadline.Budget {
	b := deadline.Budget{Whole: x.Deadline.Sub(now)}
	b.First = b.Whole
	if x.route.Kind != fleet.KindStreaming || x.route.AbandonGap <= 0 {
		return b
	}
	lastEventAt := x.request.ReceivedAt
	if x.caller.started {
		lastEventAt = x.lastEventAt
	}
	b.First = min(b.First, lastEventAt.Add(x.route.AbandonGap).Sub(now))
	return b
}

// decide returns what becomes of a request that can begin after a wait.
func (p *Pipeline) decide(x *exchange, untilBegin time.Duration) deadline.Decision {
	now := p.now()
	f, budget := deadline.Forecast{Wait: untilBegin}, x.budgetAt(now)
	if x.engine != nil {
		f.Least = x.engine.ReadTime(x.request.PromptTokens)
	}
	if untilBegin <= 0 {
		return budget.Decide(f)
	}
	f.First, f.Whole = x.forecast.First, x.forecast.Whole
	if x.forecast.Wait == 0 { // not looked up yet
		f.First, _ = p.firstBytes.Completed(x.route.Name, now)
		_, f.Whole = p.responses.Completed(x.route.Name, now)
		f.First, f.Whole = max(f.First, f.Least), max(f.Whole, f.Least)
	}
	x.forecast, x.budget = f, budget
	return budget.Decide(f)
}

// heeded returns the longest retry hint that the caller follows.
func (x *exchange) heeded(now time.Time) time.Duration {
	return x.Deadline.Sub(now) / retryAfterDivisor
}

// retryAfterWait returns the retry hint of a request with a prospect that its caller's time doesn't suffice for: when it
// almost certainly can begin, behind those that were told before. Who comes back too early loses one of few tries.
func (p *Pipeline) retryAfterWait(x *exchange, found prospect) time.Duration {
	now := p.now()
	if found.latest == deadline.Unknown {
		return p.retryAfterUnknown(x.Deadline.Sub(now))
	}
	slots, allFree := found.choice.Slots, found.choice.Server == nil
	if allFree { // a group that recovers is empty
		slots = p.slots(x)
	}
	return p.balancer.nextTurn(x.Service, slots, found.latest, x.heeded(now), allFree, now)
}

// retryAfterUnknown returns the retry hint of a request of which nobody knows when it can be served: late in the time
// that the caller heeds, since it tries a few times only, and spread. left is the time that the caller has, or 0 if
// unknown.
func (p *Pipeline) retryAfterUnknown(left time.Duration) time.Duration {
	if left <= 0 {
		return p.retryAfterElsewhere()
	}
	half := left / retryAfterDivisor / 2
	return half + p.randomDuration(half)
}

// retryAfterElsewhere returns the retry hint of a request that another process may serve at once.
func (p *Pipeline) retryAfterElsewhere() time.Duration {
	return LeavingRetryAfter + p.randomDuration(LeavingRetryAfter)
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

// recordFirstByte records how long an attempt took to its first byte, recordDuration how long to the end of a whole
// response, and for how long it held a slot. Attempts that found no free slot tell of the work only from their first byte on.
func (p *Pipeline) recordFirstByte(x *exchange) {
	now := p.now()
	x.firstByteAt = now
	if x.choice.hasFreeSlot() {
		p.firstBytes.Record(x.route.Name, now, now.Sub(x.sentAt))
	}
}

func (p *Pipeline) recordDuration(x *exchange) {
	now := p.now()
	switch {
	case x.part.resumption:
	case x.choice.hasFreeSlot():
		p.responses.Record(x.route.Name, now, now.Sub(x.sentAt))
		p.balancer.recordSlotTime(x.Service, now.Sub(x.sentAt))
	case x.route.Kind == fleet.KindStreaming:
		p.balancer.recordSlotTime(x.Service, now.Sub(x.firstByteAt))
	}
}
