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
	x.hasRetryToken = x.sentAttempts > 0
	return failure.NotRun(failure.StepSend, server.ID, exclusion.Code(), exclusion.String()).WithRetryAfter(p.retryAfter(x))
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
		spread := time.Duration(p.balancer.random(int(retryAfterSpread.Milliseconds()))) * time.Millisecond
		return failure.NotRun(failure.StepQueue, x.Service, failure.CodeOverloaded,
			"this entry's connection quota is used up for all servers").WithRetryAfter(minRetryAfter + spread)
	default:
		return failure.NotRun(failure.StepRoute, x.Service, failure.CodeNoServer,
			"no server of the service is available").WithRetryAfter(noServerRetryAfter)
	}
}

// minRetryAfter and maxRetryAfter bound the randomized retry hint, which keeps refused
// callers from returning all at once.
const (
	minRetryAfter = 700 * time.Millisecond
	maxRetryAfter = 2200 * time.Millisecond
)

// retryAfterSpread is the range over which callers refused for the same reason are spread.
const retryAfterSpread = maxRetryAfter - minRetryAfter

// retryAfter returns the retry hint for a request that servers refused: short if any server of
// the service is eligible, or else until one is.
func (p *Pipeline) retryAfter(x *exchange) time.Duration {
	if retryAfter, _ := p.earliestRetryAfter(x); retryAfter > 0 {
		return retryAfter
	}
	return noServerRetryAfter
}

// earliestRetryAfter returns a randomized retry hint while no server is eligible for a
// request: 0 if one is, or if none will be. limited is set if any server that isn't resting is
// rate-limited.
func (p *Pipeline) earliestRetryAfter(x *exchange) (retryAfter time.Duration, limited bool) {
	servers, _ := p.fleet.Allowed(x.Service, x.request.Customer)
	earliest := p.chooser.EarliestEligible(p.now(), servers, x.request)
	if earliest == 0 {
		return 0, false
	}
	spread := p.spreadRetryAfter(earliest)
	if retryAfter := p.balancer.recordLimitRefusal(servers, x.request, p.now()); retryAfter > 0 {
		return retryAfter, true
	}
	return spread, false
}

// spreadRetryAfter returns a randomized retry hint of at least earliest, the time until the
// first server becomes eligible.
func (p *Pipeline) spreadRetryAfter(earliest time.Duration) time.Duration {
	spread := time.Duration(p.balancer.random(int(retryAfterSpread.Milliseconds()))) * time.Millisecond
	return max(earliest+spread, noServerRetryAfter)
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
func (b *Balancer) EarliestEligible(now time.Time, servers []*fleet.Server, r *Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var exclusions eligibility.Exclusions
	for _, server := range servers {
		if !server.Leaving {
			exclusions.Add(b.exclusionOf(server, r, now))
		}
	}
	return exclusions.EarliestEnd()
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
