package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/deadline"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// brokenGroupFailure returns the failure of a request that isn't kept waiting for its broken group.
func brokenGroupFailure(broken *brokenGroup) *failure.Error {
	return failure.NotRun(failure.StepQueue, broken.group, failure.CodeNoServer,
		"the group has been broken for "+broken.duration.Round(time.Millisecond).String())
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
	found := prospect{wait: deadline.Unknown}
	if _, broken := p.balancer.openServers([]*fleet.Server{server}, p.now()); broken != nil {
		found.wait = p.groupRecovery(x, broken)
	}
	return p.retryAfterWait(x, found)
}
