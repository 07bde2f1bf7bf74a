package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
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
