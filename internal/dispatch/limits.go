package dispatch

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
)

// tokenRequest returns the properties by which a rate limit admits the request.
func (r *Request) tokenRequest() ratelimit.TokenRequest {
	return ratelimit.TokenRequest{Customer: r.Customer, PriorityGap: r.priorityGap}
}

// observeLimit records the rate limit that a server reports for all VMs together. Limits are
// shared with the other entries, since the sum of what all entries send has to stay within
// them.
func (p *Pipeline) observeLimit(x *exchange, server *fleet.Server, response *Response) {
	reported := response.Info.Limit
	x.limit = p.balancer.limits.Status(server.Key(), p.now())
	fields := logrus.Fields{"server": server.ID, "start": server.Key(), "request": x.request.ID}
	if reported.Invalid != "" {
		p.log.WithFields(fields).WithField("said", reported.Invalid).Warn("server sent an invalid rate limit, keeping the previous one")
	}
	if !reported.Present && !impliesNoLimit(x, response) {
		return
	}
	previous, changed := p.balancer.limits.UpdateLimit(server.Key(), ratelimit.Limit{
		Present: reported.Present, PerSecond: reported.PerSecond, RequestedAt: x.sentAt, ReceivedAt: p.now(),
	})
	if !changed {
		return
	}
	countServerReport(x.Service, "limited")
	p.log.WithFields(fields).WithFields(logrus.Fields{
		"limit": reported.PerSecond, "named": reported.Present, "before": previous.PerSecond, "before_named": previous.Present,
	}).Info("server changed its rate limit")
}

// impliesNoLimit reports whether a response without a limit means that the server has none.
// That holds only for the server's own response to this request, unless it is a server error.
func impliesNoLimit(x *exchange, response *Response) bool {
	info := response.Info
	return info.Limit.Authoritative && info.Limit.Invalid == "" && info.Signed && info.RequestID == x.request.ID &&
		response.Status < http.StatusInternalServerError
}

// AcquireToken implements Chooser.
func (b *Balancer) AcquireToken(server string, r *Request, now time.Time) time.Duration {
	return b.limits.Acquire(server, r.tokenRequest(), now)
}

// recordLimitRefusal records that a caller is refused by the rate limits of the servers that are
// neither resting nor leaving, and returns its retry hint; 0 if none of them has a limit.
func (b *Balancer) recordLimitRefusal(servers []*fleet.Server, r *Request, now time.Time) time.Duration {
	if !b.limits.Any() {
		return 0
	}
	keys := make([]string, 0, len(servers))
	for _, server := range servers {
		if !server.Leaving && b.Exclusion(server.Key(), now) == nil {
			keys = append(keys, server.Key())
		}
	}
	return b.limits.RecordRefusal(keys, r.tokenRequest(), now)
}

// countLimitRefusal counts a request that was refused because of the limits of all its
// servers.
func countLimitRefusal(service string) {
	metrics.GetOrCreateCounter(`crowbridge_limit_refusals_total{service="` + service + `"}`).Inc()
}
