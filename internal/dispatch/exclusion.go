package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// observeResponse records the availability that a server reports in any response. It applies
// to all later requests, not only to the caller of this one.
func (p *Pipeline) observeResponse(x *exchange, server *fleet.Server, response *Response) {
	info := response.Info
	log := p.log.WithFields(logrus.Fields{"server": server.ID, "start": server.Key(), "request": x.request.ID})
	if info.InvalidRetryAfter != "" {
		log.WithField("said", info.InvalidRetryAfter).Warn("server sent an invalid Retry-After, ignored")
	}
	p.observeLimit(x, server, response)
	remaining, newlyLeaving := p.chooser.ObserveResponse(server.Key(), info, p.now())
	if newlyLeaving {
		countServerReport(x.Service, eligibility.Leaving)
		log.Info("server is leaving")
	}
	if info.RetryAfter > 0 {
		countServerReport(x.Service, eligibility.Resting)
		log.WithFields(logrus.Fields{"asked_ms": info.RetryAfter.Milliseconds(), "left_ms": remaining.Milliseconds()}).Info("server is resting")
	}
}

// countServerReport counts a self-report of a server.
func countServerReport(service string, reason eligibility.Reason) {
	metrics.GetOrCreateCounter(`crowbridge_server_words_total{service="` + service + `",word="` + string(reason) + `"}`).Inc()
}

// checkSend returns why nothing may be sent to a server now, or nil; the request then counts
// against the server's limit.
func (p *Pipeline) checkSend(x *exchange, server *fleet.Server) error {
	now := p.now()
	if exclusion := p.chooser.Exclusion(server.Key(), now); exclusion != nil {
		return &eligibility.ExcludedError{Exclusion: exclusion}
	}
	if remaining := p.chooser.AcquireToken(server.Key(), x.request, now); remaining > 0 {
		return &eligibility.ExcludedError{Exclusion: &eligibility.Exclusion{Reason: eligibility.Limited, Remaining: remaining}}
	}
	return nil
}

// handleExclusion returns the failure of an attempt that ended before anything was sent,
// because its server was excluded after it had been chosen. A retry acquired for the attempt
// is kept for the next one.
func (p *Pipeline) handleExclusion(x *exchange, server *fleet.Server, exclusion *eligibility.Exclusion) *failure.Error {
	x.hasRetryToken, x.needsHint = x.sentAttempts > 0, true
	return failure.NotRun(failure.StepSend, server.ID, exclusion.Code(), exclusion.String())
}

// refuseNoServer refuses a request for which no server is eligible. If all are resting or
// rate-limited, the caller retries when the first becomes eligible, instead of waiting here: its
// remaining time is better spent elsewhere.
func (p *Pipeline) refuseNoServer(x *exchange) *failure.Error {
	retryAfter, limited := p.earliestRetryAfter(x)
	switch {
	case limited:
		countLimitRefusal(x.Service)
		return failure.NotRun(failure.StepQueue, x.Service, failure.CodeLimited,
			"all servers that aren't resting or leaving are rate-limited").WithRetryAfter(retryAfter)
	case retryAfter > 0:
		return failure.NotRun(failure.StepQueue, x.Service, failure.CodeResting,
			"all allowed servers are resting, leaving or rate-limited").WithRetryAfter(retryAfter)
	case x.choice.Full > 0:
		return failure.NotRun(failure.StepQueue, x.Service, failure.CodeOverloaded,
			"this entry's connection quota is used up for all servers").WithRetryAfter(p.retryAfterElsewhere())
	default:
		return failure.NotRun(failure.StepRoute, x.Service, failure.CodeNoServer,
			"no server of the service is available").WithRetryAfter(p.retryAfterUnknown(x.Deadline.Sub(p.now())))
	}
}

// retryAfterAttempt returns the retry hint for a request whose last attempt failed at a server: when its group is
// expected back if that is broken; if any server of the service is eligible, when a slot gets free, or else when
// one is.
func (p *Pipeline) retryAfterAttempt(x *exchange, server *fleet.Server) time.Duration {
	if _, broken := p.balancer.openServers([]*fleet.Server{server}, p.now()); broken != nil {
		return p.retryAfterWait(x, p.awaitGroup(x, broken))
	}
	if retryAfter, _ := p.earliestRetryAfter(x); retryAfter > 0 {
		return retryAfter
	}
	now, slots := p.now(), p.slots(x)
	if held := p.balancer.slotTime(x.Service); held > 0 && slots > 0 {
		freed := held / time.Duration(slots)
		return max(p.balancer.nextTurn(x.Service, slots, freed, x.heeded(now), false, now), LeavingRetryAfter)
	}
	return p.retryAfterElsewhere()
}

// slots returns the number of slots of the servers that a request may use, or 0 if unknown.
func (p *Pipeline) slots(x *exchange) int {
	slots := 0
	for _, server := range p.candidates(x) {
		if !server.Leaving {
			slots += server.Capacity
		}
	}
	return slots
}

// earliestRetryAfter returns a randomized retry hint while no server is eligible for a
// request: 0 if one is, or if none will be. limited is set if any server that isn't resting is
// rate-limited.
func (p *Pipeline) earliestRetryAfter(x *exchange) (retryAfter time.Duration, limited bool) {
	servers, _ := p.fleet.Allowed(x.Service, x.request.Customer)
	remaining, lasted := p.chooser.EarliestEligible(p.now(), servers, x.request)
	if remaining == 0 {
		return 0, false
	}
	if retryAfter := p.balancer.recordLimitRefusal(servers, x.request, p.now()); retryAfter > 0 {
		return retryAfter, true
	}
	return remaining + p.randomDuration(min(lasted, remaining)), false
}

// hasAlternative reports whether a server other than the given one is eligible for the
// request. An attempt is abandoned only if there is one.
func (p *Pipeline) hasAlternative(x *exchange, server *fleet.Server) bool {
	now := p.now()
	servers, _ := p.fleet.Allowed(x.Service, x.request.Customer)
	open, _ := p.balancer.openServers(servers, now)
	return p.balancer.anyEligible(open, append([]string{server.Key()}, x.tried...), x.request, now)
}

// ObserveResponse implements Chooser.
func (b *Balancer) ObserveResponse(server string, info ResponseInfo, now time.Time) (rest time.Duration, newlyLeaving bool) {
	if info.RetryAfter <= 0 && !info.Leaving {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	report := &b.state(server).report
	if info.Leaving {
		newlyLeaving = report.MarkLeaving(now)
	}
	return report.RecordRest(info.RetryAfter, now), newlyLeaving
}

// Exclusion implements Chooser.
func (b *Balancer) Exclusion(server string, now time.Time) *eligibility.Exclusion {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.states[server]; s != nil {
		return s.report.Exclusion(now)
	}
	return nil
}

// EarliestEligible implements Chooser.
func (b *Balancer) EarliestEligible(now time.Time, servers []*fleet.Server, r *Request) (remaining, lasted time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var exclusions eligibility.Exclusions
	for _, server := range servers {
		if !server.Leaving {
			exclusions.Add(b.exclusionOf(server, r, now))
		}
	}
	return exclusions.EarliestEnd(), exclusions.EarliestLasted()
}

// exclusionOf returns the reason why a request may not be sent to a server now, including its
// rate limit, or nil. The caller holds b.mu.
func (b *Balancer) exclusionOf(server *fleet.Server, r *Request, now time.Time) *eligibility.Exclusion {
	if exclusion := b.state(server.Key()).report.Exclusion(now); exclusion != nil {
		return exclusion
	}
	if remaining := b.limits.Wait(server.Key(), r.tokenRequest(), now); remaining > 0 {
		return &eligibility.Exclusion{Reason: eligibility.Limited, Remaining: remaining}
	}
	return nil
}

// isEligible reports whether a server may get a request now. The caller holds b.mu.
func (b *Balancer) isEligible(server *fleet.Server, r *Request, now time.Time) bool {
	return b.exclusionOf(server, r, now) == nil && b.hasFreeConnection(server.Key(), b.state(server.Key()), r.maxConnections)
}

// anyEligible reports whether any of the servers, except those in tried, may get a request.
func (b *Balancer) anyEligible(servers []*fleet.Server, tried []string, r *Request, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, server := range servers {
		if !server.Leaving && !contains(tried, server.Key()) && b.isEligible(server, r, now) {
			return true
		}
	}
	return false
}
