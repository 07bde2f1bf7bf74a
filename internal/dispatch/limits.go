package dispatch

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
)

// want is what decides about a request when little of a limit is left.
func (r *Request) want() ratelimit.Request {
	return ratelimit.Request{Customer: r.Customer, PriorityGap: r.behind, Retry: r.repeated}
}

// hearLimit takes in what a server says of the requests that it takes a second from all VMs
// together. Kept by each entry for itself, or not at all, the sum of all entries is many times
// what the server has room for: what this one hears and sends is told to the others.
func (p *Pipeline) hearLimit(x *exchange, server *fleet.Server, answer *Response) {
	word := answer.Info.Limit
	x.limit = p.board.limits.Status(server.Key(), p.now())
	about := logrus.Fields{"server": server.ID, "start": server.Key(), "request": x.request.ID}
	if word.Invalid != "" {
		p.log.WithFields(about).WithField("said", word.Invalid).Warn("server names a limit that can't be read: what it said before holds")
	}
	if !word.Present && !saysNoLimit(x, answer) {
		return
	}
	before, changed := p.board.limits.UpdateLimit(server.Key(), ratelimit.Limit{
		Present: word.Present, PerSecond: word.PerSecond, RequestedAt: x.askedAt, ReceivedAt: p.now(),
	})
	if !changed {
		return
	}
	countWord(x.Service, "limited")
	p.log.WithFields(about).WithFields(logrus.Fields{
		"limit": word.PerSecond, "named": word.Present, "before": before.PerSecond, "before_named": before.Present,
	}).Info("server names another limit")
}

// saysNoLimit tells whether an answer that names no limit says that there is none: a whole
// server's answer to this request does, what breaks or belongs to another one doesn't.
func saysNoLimit(x *exchange, answer *Response) bool {
	info := answer.Info
	return info.Limit.Authoritative && info.Limit.Invalid == "" && info.Signed && info.RequestID == x.request.ID &&
		answer.Status < http.StatusInternalServerError
}

// AcquireToken implements Chooser.
func (b *Balancer) AcquireToken(server string, r *Request, now time.Time) time.Duration {
	return b.limits.Acquire(server, r.want(), now)
}

// refuseLimited notes that a caller is refused, if limits are what stands in its way first, and
// returns when it should come back; 0 if they aren't.
func (b *Balancer) refuseLimited(servers []*fleet.Server, r *Request, now time.Time) time.Duration {
	if !b.limits.Any() {
		return 0
	}
	keys := make([]string, 0, len(servers))
	for _, server := range servers {
		if !server.Leaving && b.Exclusion(server.Key(), now) == nil {
			keys = append(keys, server.Key())
		}
	}
	return b.limits.RecordRefusal(keys, r.want(), now)
}

// countLimitRefusal enters a request that the limits of all its servers left no room for.
func countLimitRefusal(service string) {
	metrics.GetOrCreateCounter(`crowbridge_limit_refusals_total{service="` + service + `"}`).Inc()
}
