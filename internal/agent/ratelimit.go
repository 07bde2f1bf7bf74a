package agent

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/admission"
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
	"github.com/crowbridge/crowbridge/internal/wire"
	"github.com/sirupsen/logrus"
)

// newLimits returns a table for the one server of an agent: no other daemon sends to it.
func newLimits() *ratelimit.Table { return ratelimit.New(rand.Uint64()|1, rand.Float64) }

// wantOf is what decides about a customer's request when little of the limit is left.
func wantOf(customer string, class config.Class) ratelimit.Request {
	return ratelimit.Request{Customer: customer, PriorityGap: enginePriority(class)}
}

// hearLimit takes in what the server says of the requests that it takes a second, in the answer
// to a request that was sent after a time.
func (a *Agent) hearLimit(response *http.Response, asked time.Time) {
	limit, named, odd := httpapi.ReadLimit(response.Header, wire.HeaderServerLimit)
	if odd != "" {
		a.log.WithField("said", odd).Warn("server names a limit that can't be read: what it said before holds")
	}
	if !named && (odd != "" || response.StatusCode >= http.StatusInternalServerError) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	word := ratelimit.Limit{Present: named, PerSecond: limit, RequestedAt: asked, ReceivedAt: a.elapsed()}
	if before, changed := a.limits.UpdateLimit(a.options.Server, word); changed {
		a.log.WithFields(logrus.Fields{
			"limit": limit, "named": named, "before": before.PerSecond, "before_named": before.Present,
		}).Info("server names another limit")
	}
}

// overLimit refuses a request at once that the server's limit leaves no room for now, or
// returns nil. The caller holds mu.
func (a *Agent) overLimit(r admission.Request) *failure.Error {
	want, now := wantOf(r.Customer, r.Class), a.elapsed()
	if a.limits.Wait(a.options.Server, want, now) == 0 {
		return nil
	}
	return failure.NotRun(failure.StepQueue, a.options.Server, failure.CodeLimited,
		"the server's limit allows no request now").After(a.limits.RecordRefusal([]string{a.options.Server}, want, now))
}
