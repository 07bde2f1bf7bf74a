package agent

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/sirupsen/logrus"
)

const (
	// exitCheckInterval is the minimum time between checks whether a leaving server has exited.
	// Requests trigger them. It bounds how long a server that has restarted waits for requests.
	exitCheckInterval = time.Second
	// maxLeaving is how long a leaving server that keeps listening is excluded: a restart
	// faster than exitCheckInterval can't be detected.
	maxLeaving = 10 * time.Minute
)

// recordReport records a rest or leaving notice in a response and refuses the queued
// requests, which other servers may accept. The agent enforces the notice for all entries,
// since all requests to the server pass it.
func (a *Agent) recordReport(response *http.Response) {
	leaving := httpapi.ParseFlag(response.Header, headers.ServerLeaving)
	rest, invalid := httpapi.ParseRetryAfter(response.StatusCode, response.Header)
	if invalid != "" {
		a.log.WithField("said", invalid).Warn("server sent an invalid Retry-After, ignored")
	}
	if !leaving && rest == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.suspendAwareNow()
	if leaving && a.serverReport.MarkLeaving(now) {
		a.log.Info("server is leaving")
	}
	if rest > 0 {
		left := a.serverReport.RecordRest(rest, now)
		a.log.WithFields(logrus.Fields{"asked_ms": rest.Milliseconds(), "left_ms": left.Milliseconds()}).Info("server is resting")
	}
	a.refuseWaiting(a.exclusion())
}

// exclusion returns the server's rest or leaving notice while it is in force, or nil. It starts
// a check whether a leaving server has exited if one is due. The caller must hold mu.
func (a *Agent) exclusion() *eligibility.Exclusion {
	now := a.suspendAwareNow()
	exclusion := a.serverReport.Exclusion(now)
	if exclusion == nil || exclusion.Reason != eligibility.Leaving {
		return exclusion
	}
	if now.Sub(a.serverReport.ReportedAt()) >= maxLeaving {
		a.serverReport = eligibility.Report{}
		return nil
	}
	if now.Sub(a.exitCheckedAt) >= exitCheckInterval {
		a.exitCheckedAt = now
		go a.checkExit()
	}
	return exclusion
}

// checkSend returns an error if the request may not be sent, or else takes a token of the
// server's rate limit. It is called when a connection
// to the server is ready, right before the first byte is written.
func (a *Agent) checkSend(j *job) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if exclusion := a.exclusion(); exclusion != nil {
		return &eligibility.ExcludedError{Exclusion: exclusion}
	}
	if left := a.limits.Acquire(a.options.Server, limitRequest(j.envelope.Customer, j.envelope.Class), a.suspendAwareNow()); left > 0 {
		return &eligibility.ExcludedError{Exclusion: &eligibility.Exclusion{Reason: eligibility.Limited, Remaining: left}}
	}
	return nil
}

// refuseWaiting refuses all queued requests unless exclusion is nil. The caller must hold mu.
func (a *Agent) refuseWaiting(exclusion *eligibility.Exclusion) {
	if exclusion == nil {
		return
	}
	for id := range a.waiters {
		if a.queue.Withdraw(id) {
			a.removeWaiter(id).refused <- a.excludedFailure(exclusion)
		}
	}
}

// excludedFailure returns the refusal of a request while the server is excluded.
func (a *Agent) excludedFailure(exclusion *eligibility.Exclusion) *failure.Error {
	return failure.NotRun(failure.StepQueue, a.options.Server, exclusion.Code(), exclusion.String()).WithRetryAfter(retryAfter(exclusion))
}

// retryAfter returns how long entries should send nothing because of an exclusion.
func retryAfter(exclusion *eligibility.Exclusion) time.Duration {
	switch {
	case exclusion == nil:
		return 0
	case exclusion.Remaining == 0:
		return retryHint
	default:
		return exclusion.Remaining
	}
}

// retryAfter returns how long entries should send nothing.
func (a *Agent) retryAfter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if exclusion := a.exclusion(); exclusion != nil {
		return retryAfter(exclusion)
	}
	return a.limits.UntilAvailable(a.options.Server, a.suspendAwareNow())
}

// checkExit clears the leaving notice if the server has exited.
func (a *Agent) checkExit() {
	backend, err := url.Parse(a.options.Backend)
	if err != nil {
		return // no request can have been sent to an invalid URL
	}
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	if upstream.ProbeAddress(ctx, backend.Host) == crash.Exited {
		a.markServerExited()
	}
}

// markServerExited clears what the exited server reported, which doesn't apply to its next
// process.
func (a *Agent) markServerExited() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if exclusion := a.serverReport.Exclusion(a.suspendAwareNow()); exclusion != nil {
		if exclusion.Reason == eligibility.Leaving {
			a.leftAt = a.suspendAwareNow()
		}
		a.serverReport, a.limits = eligibility.Report{}, newLimits()
		a.log.WithField("said", exclusion.String()).Info("server exited: its reported exclusion is cleared")
	}
}

// hasServerExited reports whether the server that received a request has exited without notice, by a
// probe. A server that is leaving stops listening before its last responses end.
func (a *Agent) hasServerExited(ctx context.Context, requestedAt time.Time) bool {
	if a.wasLeaving(requestedAt) {
		return false
	}
	backend, err := url.Parse(a.options.Backend)
	return err == nil && upstream.ProbeAddress(ctx, backend.Host) == crash.Exited
}

// wasLeaving reports whether the server that received a request at a time is known to be stopped in
// an orderly way.
func (a *Agent) wasLeaving(requestedAt time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	exclusion := a.serverReport.Exclusion(a.suspendAwareNow())
	reported := exclusion != nil && exclusion.Reason == eligibility.Leaving
	return a.leaving || a.draining || reported || requestedAt.Before(a.leftAt)
}
