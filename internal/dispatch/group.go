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

// awaitGroup determines when a broken group is expected to run requests again.
func (p *Pipeline) awaitGroup(x *exchange, broken *brokenGroup) prospect {
	formTime := time.Duration(0)
	if x.engine != nil {
		formTime = x.engine.FormTime
	}
	expected, latest := p.balancer.groupRecovery(broken, p.fleet.Servers().OfService(x.Service), formTime, p.now())
	return prospect{wait: expected, latest: latest, refusal: brokenGroupFailure(broken)}
}
