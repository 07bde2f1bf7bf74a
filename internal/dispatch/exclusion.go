package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// hear takes in what a server says of itself in an answer, whoever's request it answers.
// Passed on as a hint to that one caller only, the word is forgotten, and the next request
// goes where none is wanted.
func (p *Pipeline) hear(x *exchange, server *fleet.Server, answer *Response) {
	info := answer.Info
	log := p.log.WithFields(logrus.Fields{"server": server.ID, "start": server.Key(), "request": x.request.ID})
	if info.InvalidRetryAfter != "" {
		log.WithField("said", info.InvalidRetryAfter).Warn("server asks for rest in words that can't be read: it isn't kept")
	}
	p.hearLimit(x, server, answer)
	left, leaves := p.chooser.ObserveResponse(server.Key(), info, p.now())
	if leaves {
		countWord(x.Service, eligibility.Leaving)
		log.Info("server says that it leaves")
	}
	if info.RetryAfter > 0 {
		countWord(x.Service, eligibility.Resting)
		log.WithFields(logrus.Fields{"asked_ms": info.RetryAfter.Milliseconds(), "left_ms": left.Milliseconds()}).Info("server asks for rest")
	}
}

// countWord enters a word of a server.
func countWord(service string, reason eligibility.Reason) {
	metrics.GetOrCreateCounter(`crowbridge_server_words_total{service="` + service + `",word="` + string(reason) + `"}`).Inc()
}

// permit returns why nothing may be sent to a server now, or nil: the request counts as sent
// then.
func (p *Pipeline) permit(x *exchange, server *fleet.Server) error {
	now := p.now()
	if bar := p.chooser.Exclusion(server.Key(), now); bar != nil {
		return &eligibility.ExcludedError{Exclusion: bar}
	}
	if left := p.chooser.AcquireToken(server.Key(), x.request, now); left > 0 {
		return &eligibility.ExcludedError{Exclusion: &eligibility.Exclusion{Reason: eligibility.Limited, Remaining: left}}
	}
	return nil
}

// barred explains an attempt that ended before anything was sent, because its server had
// spoken since it was chosen. What was taken from the retry budget for it is used by the next.
func (p *Pipeline) barred(x *exchange, server *fleet.Server, bar *eligibility.Exclusion) *failure.Error {
	x.paid = x.sent > 0
	return failure.NotRun(failure.StepSend, server.ID, bar.Code(), bar.String()).After(p.comeBack(x))
}

// noneTakes refuses a request that no server may get. If all rest or have a limit, it's refused
// at once and told when the first of them takes requests again: it would only wait here, and the
// time that its caller has is better spent elsewhere.
func (p *Pipeline) noneTakes(x *exchange) *failure.Error {
	hint, limited := p.whenOneTakes(x)
	switch {
	case limited:
		countLimitRefusal(x.Service)
		return failure.NotRun(failure.StepQueue, x.Service, failure.CodeLimited,
			"the limits of all servers that may run it allow no request now").After(hint)
	case hint > 0:
		return failure.NotRun(failure.StepQueue, x.Service, failure.CodeResting,
			"all servers that may run it want no requests, or have a limit").After(hint)
	case x.picked.Full > 0:
		spread := time.Duration(p.board.random(int(restSpread.Milliseconds()))) * time.Millisecond
		return failure.NotRun(failure.StepQueue, x.Service, failure.CodeOverloaded,
			"this entry has its part of all servers' connections in use").After(comeBackLeast + spread)
	default:
		return failure.NotRun(failure.StepRoute, x.Service, failure.CodeNoServer,
			"no server of the service can take the request").After(noServerRetry)
	}
}

// restSpread is over how long callers come back after a rest that all waited for: as long
// as those that are refused because places are full.
const restSpread = comeBackMost - comeBackLeast

// comeBack is the hint for a request that servers refused: soon, if any server of the
// service takes requests, or else when one does.
func (p *Pipeline) comeBack(x *exchange) time.Duration {
	if hint, _ := p.whenOneTakes(x); hint > 0 {
		return hint
	}
	return noServerRetry
}

// whenOneTakes is the hint to come back while no server that may run a request takes any: not
// for all callers the same. It's 0 if one does now, or none will by itself. limited is set
// when it's the limits of servers that end first.
func (p *Pipeline) whenOneTakes(x *exchange) (hint time.Duration, limited bool) {
	servers, _ := p.fleet.Allowed(x.Service, x.request.Customer)
	first := p.chooser.EarliestEligible(p.now(), servers, x.request)
	if first == 0 {
		return 0, false
	}
	rested := p.afterRest(first)
	if hint := p.board.refuseLimited(servers, x.request, p.now()); hint > 0 {
		return hint, true
	}
	return rested, false
}

// afterRest is the hint while all servers rest, the first of them for a time still.
func (p *Pipeline) afterRest(first time.Duration) time.Duration {
	spread := time.Duration(p.board.random(int(restSpread.Milliseconds()))) * time.Millisecond
	return max(first+spread, noServerRetry)
}

// anotherTakes tells whether another server than one that has the request may get it: an
// attempt isn't given up for one that doesn't exist.
func (p *Pipeline) anotherTakes(x *exchange, server *fleet.Server) bool {
	now := p.now()
	servers, _ := p.fleet.Allowed(x.Service, x.request.Customer)
	open, _ := p.board.open(servers, now)
	return p.board.anyTakes(open, append([]string{server.Key()}, x.tried...), x.request, now)
}

// ObserveResponse implements Chooser.
func (b *Balancer) ObserveResponse(server string, info ResponseInfo, now time.Time) (rest time.Duration, leaves bool) {
	if info.RetryAfter <= 0 && !info.Leaving {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	notice := &b.row(server).notice
	if info.Leaving {
		leaves = notice.MarkLeaving(now)
	}
	return notice.RecordRest(info.RetryAfter, now), leaves
}

// Exclusion implements Chooser.
func (b *Balancer) Exclusion(server string, now time.Time) *eligibility.Exclusion {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.rows[server]; r != nil {
		return r.notice.Exclusion(now)
	}
	return nil
}

// EarliestEligible implements Chooser.
func (b *Balancer) EarliestEligible(now time.Time, servers []*fleet.Server, r *Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var bars eligibility.Exclusions
	for _, server := range servers {
		if !server.Leaving {
			bars.Add(b.barOrLimit(server, r, now))
		}
	}
	return bars.EarliestEnd()
}

// barOrLimit is why a request may not go to a server now, or nil. The lock is held.
func (b *Balancer) barOrLimit(server *fleet.Server, r *Request, now time.Time) *eligibility.Exclusion {
	if bar := b.row(server.Key()).notice.Exclusion(now); bar != nil {
		return bar
	}
	if left := b.limits.Wait(server.Key(), r.want(), now); left > 0 {
		return &eligibility.Exclusion{Reason: eligibility.Limited, Remaining: left}
	}
	return nil
}

// takes tells whether a server may get a request now. The lock is held.
func (b *Balancer) takes(server *fleet.Server, r *Request, now time.Time) bool {
	return b.barOrLimit(server, r, now) == nil && b.hasConnection(server.Key(), b.row(server.Key()), r.connections)
}

// anyTakes tells whether one of some servers may get a request, but for those in tried.
func (b *Balancer) anyTakes(servers []*fleet.Server, tried []string, r *Request, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, server := range servers {
		if !server.Leaving && !contains(tried, server.Key()) && b.takes(server, r, now) {
			return true
		}
	}
	return false
}
