package agent

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/crowbridge/crowbridge/internal/wire"
	"github.com/sirupsen/logrus"
)

const (
	// endLook is the time between looks whether a server that leaves has ended: so long at
	// most does its next start wait for requests.
	endLook = time.Second
	// longestLeaving is for how long a server that has said it leaves gets nothing while
	// it goes on listening: a start that took less than endLook isn't told from the one
	// before.
	longestLeaving = 10 * time.Minute
)

// hear takes in what the server says of itself in an answer. What waits for its turn is
// refused then, because other servers may take it: only what this agent starts reaches the
// server, so that its word is kept here, for all entries.
func (a *Agent) hear(response *http.Response) {
	leaving := httpapi.ReadFlag(response.Header, wire.HeaderServerLeaving)
	rest, odd := httpapi.ReadRest(response.StatusCode, response.Header)
	if odd != "" {
		a.log.WithField("said", odd).Warn("server asks for rest in words that can't be read: it isn't kept")
	}
	if !leaving && rest == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.elapsed()
	if leaving && a.notice.MarkLeaving(now) {
		a.log.Info("server says that it leaves")
	}
	if rest > 0 {
		left := a.notice.RecordRest(rest, now)
		a.log.WithFields(logrus.Fields{"asked_ms": rest.Milliseconds(), "left_ms": left.Milliseconds()}).Info("server asks for rest")
	}
	a.refuseWaiting(a.bar())
}

// bar returns why nothing may be started now, or nil. The caller holds mu.
func (a *Agent) bar() *eligibility.Exclusion {
	now := a.elapsed()
	bar := a.notice.Exclusion(now)
	if bar == nil || bar.Reason != eligibility.Leaving {
		return bar
	}
	if now.Sub(a.notice.ReportedAt()) >= longestLeaving {
		a.notice = eligibility.Report{}
		return nil
	}
	if now.Sub(a.lookedAt) >= endLook {
		a.lookedAt = now
		go a.lookForEnd()
	}
	return bar
}

// permit is asked just before a request's bytes go to the server.
func (a *Agent) permit(j *job) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if bar := a.bar(); bar != nil {
		return &eligibility.ExcludedError{Exclusion: bar}
	}
	if left := a.limits.Acquire(a.options.Server, wantOf(j.envelope.Customer, j.envelope.Class), a.elapsed()); left > 0 {
		return &eligibility.ExcludedError{Exclusion: &eligibility.Exclusion{Reason: eligibility.Limited, Remaining: left}}
	}
	return nil
}

// refuseWaiting refuses all that waits for its turn, unless bar is nil. The caller holds mu.
func (a *Agent) refuseWaiting(bar *eligibility.Exclusion) {
	if bar == nil {
		return
	}
	for id := range a.waiters {
		if a.queue.Withdraw(id) {
			a.take(id).refused <- a.barred(bar)
		}
	}
}

// barred is the refusal of a request that may not be started.
func (a *Agent) barred(bar *eligibility.Exclusion) *failure.Error {
	return failure.NotRun(failure.StepQueue, a.options.Server, bar.Code(), bar.String()).After(restLeft(bar))
}

// restLeft is for how long entries needn't ask an agent whose server is barred.
func restLeft(bar *eligibility.Exclusion) time.Duration {
	switch {
	case bar == nil:
		return 0
	case bar.Remaining == 0:
		return comeBack
	default:
		return bar.Remaining
	}
}

// restLeft is for how long entries needn't ask.
func (a *Agent) restLeft() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if bar := a.bar(); bar != nil {
		return restLeft(bar)
	}
	return a.limits.UntilAvailable(a.options.Server, a.elapsed())
}

// lookForEnd looks whether a server that leaves has ended: its next start has said nothing.
func (a *Agent) lookForEnd() {
	backend, err := url.Parse(a.options.Backend)
	if err != nil {
		return // no request has been sent there either
	}
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	if upstream.ProbeAddress(ctx, backend.Host) == crash.Exited {
		a.serverEnded()
	}
}

// serverEnded notes that nobody listens where the server did: what it said doesn't bind its
// next start.
func (a *Agent) serverEnded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if bar := a.notice.Exclusion(a.elapsed()); bar != nil {
		a.notice, a.limits = eligibility.Report{}, newLimits()
		a.log.WithField("said", bar.String()).Info("server has ended: its word doesn't bind its next start")
	}
}
