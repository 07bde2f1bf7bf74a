package dispatch

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/crowbridge/crowbridge/internal/deadline"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

const (
	// reservedPerLevel is the fraction of the slots that is left to more urgent requests, for each level of
	// priority below the most urgent of the service, for at most maxReservedLevels levels: streams hold slots
	// for seconds, and a more urgent request can't take one back. Less urgent work is never refused entirely.
	reservedPerLevel  = 0.05
	maxReservedLevels = 3
	// maxUtilizationPlain applies to all requests but streams at ranks, if the customer exceeds
	// its share: as many requests wait as run.
	maxUtilizationPlain = 2.0
)

// prospect is where and when a request can begin.
type prospect struct {
	choice Choice
	// wait is the time until it can begin at the chosen server, or deadline.Unknown.
	// latest is the time by which it almost certainly can, or deadline.Unknown.
	wait, latest time.Duration
	// queuesAtServer is set if the request waits in the server's queue, where it takes a free slot at once.
	queuesAtServer bool
	// refusal is the failure of a request that is refused.
	refusal *failure.Error
}

// selectServer returns the server for the next attempt, or a refusal. A request that can't begin yet waits if
// it can still be served in its caller's time.
func (p *Pipeline) selectServer(ctx context.Context, x *exchange) (*fleet.Server, *failure.Error) {
	if x.Homes != nil {
		return p.nextHome(x)
	}
	budget := x.budgetAt(p.now())
	x.place = &place{priorityGap: x.priorityGap, until: p.now().Add(min(budget.First, budget.Whole))}
	x.slotWaitSince, x.forecast = time.Time{}, deadline.Forecast{}
	defer p.balancer.leaveLine(x.Service, x.place)
	for {
		found := p.findServer(x)
		switch {
		case found.choice.Server == nil && found.wait == 0:
			return nil, found.refusal
		case found.wait == 0 && x.caller.started: // the rest of a stream isn't held up
			return p.begin(x, found.choice), nil
		}
		switch p.decide(x, found.wait) {
		case deadline.Refuse:
			return nil, p.refuse(x, found)
		case deadline.Wait:
			if found.queuesAtServer {
				return p.begin(x, found.choice), nil
			}
		case deadline.Begin:
			return p.begin(x, found.choice), nil
		}
		p.balancer.joinLine(x.Service, x.place)
		if !p.awaitChange(ctx, x) {
			return nil, failure.NotRun(failure.StepQueue, x.Service, failure.CodeCanceled, "canceled while waiting")
		}
	}
}

// refuse returns the failure of a request that can't be served in its caller's time.
func (p *Pipeline) refuse(x *exchange, found prospect) *failure.Error {
	if found.wait == 0 {
		return failure.NotRun(failure.StepQueue, x.Service, failure.CodeDeadline, "too little time left for a response")
	}
	return found.refusal.WithRetryAfter(p.retryAfterWait(x, found))
}

// findServer chooses a server for the next attempt and determines when the request can begin there. The prospect
// has neither a server nor a wait if none can be waited for.
func (p *Pipeline) findServer(x *exchange) prospect {
	choice, broken := p.chooseCandidate(x)
	if broken != nil {
		return p.awaitGroup(x, broken)
	}
	if choice.Server == nil {
		x.choice.Excluded, x.choice.Limited, x.choice.Full = choice.Excluded, choice.Limited, choice.Full
		return prospect{refusal: p.refuseNoServer(x)}
	}
	return p.awaitSlot(x, choice)
}

// begin counts the request as one of its customer's in progress, and returns its server.
func (p *Pipeline) begin(x *exchange, choice Choice) *fleet.Server {
	if !x.caller.started {
		p.acquireSlot(x)
	}
	x.choice = choice
	return choice.Server
}

// awaitSlot determines when the request gets a slot. The most urgent requests of customers within their
// share queue at their server; the others wait until a slot is free that isn't left to others.
func (p *Pipeline) awaitSlot(x *exchange, choice Choice) prospect {
	if x.caller.started || choice.Slots <= 0 {
		return prospect{choice: choice}
	}
	now := p.now()
	overShare := p.balancer.requestSlot(x.Service, x.request.Customer, now)
	limit := utilizationLimit(x, choice, overShare)
	ahead := float64(p.balancer.countAhead(x.Service, x.place, overShare))
	held := p.balancer.slotTime(x.Service)
	slots, inUse := float64(choice.Slots), choice.Utilization*float64(choice.Slots)
	found := prospect{choice: choice, queuesAtServer: math.IsInf(limit, 1)}
	if found.queuesAtServer {
		behind := (choice.Load + 1 - float64(choice.Server.Capacity)) / float64(choice.Server.Capacity)
		if ahead > 0 {
			behind = max(behind, (inUse+ahead+1-slots)/slots)
		}
		found.wait = time.Duration(max(behind, 0) * float64(held)) // none while unknown: the server decides
	} else if excess := inUse + ahead - limit*slots; excess >= 0 {
		found.wait = p.awaitFreeSlot(x, (excess+1)/slots, held, now)
	}
	found.latest = found.wait
	found.refusal = failure.NotRun(failure.StepQueue, x.Service, failure.CodeOverloaded,
		fmt.Sprintf("server utilization is %.2f, limit %.2f, customer over its share: %t", choice.Utilization, limit, overShare))
	return found
}

// awaitFreeSlot returns how long it takes until slots are free, given the fraction of all slots that has to get
// free first and how long requests hold one. Others may take them first, so it is at least as long again as
// the request has waited already.
func (p *Pipeline) awaitFreeSlot(x *exchange, fraction float64, held time.Duration, now time.Time) time.Duration {
	if x.slotWaitSince.IsZero() {
		x.slotWaitSince = now
	}
	if held <= 0 {
		return deadline.Unknown
	}
	return max(time.Duration(fraction*float64(held)), now.Sub(x.slotWaitSince))
}

// acquireSlot counts an admitted request as one of its customer's in progress, once.
func (p *Pipeline) acquireSlot(x *exchange) {
	if !x.hasSlot {
		x.hasSlot = true
		p.balancer.requestSlot(x.Service, x.request.Customer, p.now())
		p.balancer.acquireSlot(x.Service, x.request.Customer)
	}
}

// utilizationLimit returns the utilization from which the request may not take a slot, or infinity if it may
// queue for one at its server.
func utilizationLimit(x *exchange, choice Choice, overShare bool) float64 {
	stream := x.route.Kind == fleet.KindStreaming && choice.Server.Rank != nil
	switch {
	case stream && (overShare || x.priorityGap > 0):
		return 1 - reservedPerLevel*float64(min(x.priorityGap, maxReservedLevels))
	case overShare:
		return maxUtilizationPlain
	default:
		return math.Inf(1)
	}
}
