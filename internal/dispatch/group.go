package dispatch

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/deadline"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// awaitOpenServers returns the candidates whose group can run requests. While no group can, a request
// waits if the group is expected back in its caller's time, and is refused otherwise.
func (p *Pipeline) awaitOpenServers(ctx context.Context, x *exchange, candidates []*fleet.Server) ([]*fleet.Server, *failure.Error) {
	for ; ; candidates = p.candidates(x) {
		open, broken := p.balancer.openServers(candidates, p.now())
		if broken == nil {
			return open, nil
		}
		remaining := p.groupRecovery(x, broken)
		if p.decide(x, remaining) == deadline.Refuse {
			return nil, failure.NotRun(failure.StepQueue, broken.group, failure.CodeNoServer,
				"the group has been broken for "+broken.duration.Round(time.Millisecond).String()).WithRetryAfter(p.retryAfterWait(x, remaining))
		}
		if !p.awaitChange(ctx, x) {
			return nil, failure.NotRun(failure.StepQueue, broken.group, failure.CodeCanceled, "canceled while waiting for the group")
		}
	}
}

// groupRecovery returns how much longer a broken group is expected to run no requests, or
// deadline.Unknown.
func (p *Pipeline) groupRecovery(x *exchange, broken *brokenGroup) time.Duration {
	formTime := time.Duration(0)
	if x.engine != nil {
		formTime = x.engine.FormTime
	}
	return p.balancer.groupRecovery(broken, p.fleet.Servers().OfService(x.Service), formTime, p.now())
}

// retryAfterBreak returns the retry hint of a request that a rank refused because its group is broken.
func (p *Pipeline) retryAfterBreak(x *exchange, server *fleet.Server) time.Duration {
	remaining := deadline.Unknown
	if _, broken := p.balancer.openServers([]*fleet.Server{server}, p.now()); broken != nil {
		remaining = p.groupRecovery(x, broken)
	}
	return p.retryAfterWait(x, remaining)
}
