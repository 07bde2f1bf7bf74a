package agent

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/admission"
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
	"github.com/sirupsen/logrus"
)

// newLimits returns the limit table of an agent, the only daemon that sends to its server.
func newLimits() *ratelimit.Table { return ratelimit.New(rand.Uint64()|1, rand.Float64) }

// limitRequest returns the properties of a request that its priority under the limit
// depends on.
func limitRequest(customer string, class config.Class) ratelimit.TokenRequest {
	return ratelimit.TokenRequest{Customer: customer, PriorityGap: enginePriority(class)}
}

// recordLimit records the rate limit in a response to a request that was sent after
// requestedAt.
func (a *Agent) recordLimit(response *http.Response, requestedAt time.Time) {
	limit, present, invalid := httpapi.ParseLimit(response.Header, headers.ServerLimit)
	if invalid != "" {
		a.log.WithField("said", invalid).Warn("server sent an invalid rate limit, keeping the previous one")
	}
	if !present && (invalid != "" || response.StatusCode >= http.StatusInternalServerError) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reported := ratelimit.Limit{Present: present, PerSecond: limit, RequestedAt: requestedAt, ReceivedAt: a.suspendAwareNow()}
	if before, changed := a.limits.UpdateLimit(a.options.Server, reported); changed {
		a.log.WithFields(logrus.Fields{
			"limit": limit, "named": present, "before": before.PerSecond, "before_named": before.Present,
		}).Info("server changed its rate limit")
	}
}

// overLimit returns the refusal of a request that exceeds the server's rate limit, or nil.
// The caller must hold mu.
func (a *Agent) overLimit(r admission.Request) *failure.Error {
	request, now := limitRequest(r.Customer, r.Class), a.suspendAwareNow()
	if a.limits.Wait(a.options.Server, request, now) == 0 {
		return nil
	}
	return failure.NotRun(failure.StepQueue, a.options.Server, failure.CodeLimited,
		"the server's rate limit is exhausted").WithRetryAfter(a.limits.RecordRefusal([]string{a.options.Server}, request, now))
}
