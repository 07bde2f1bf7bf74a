package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/failure"
)

// LeavingRetryAfter is the shortest retry hint of a request that another process can serve at once, as when this one
// stops, and the range over which these hints are spread.
const LeavingRetryAfter = 50 * time.Millisecond

// BeginStop begins a planned stop, at whose end the frontend cancels the requests in flight.
func (p *Pipeline) BeginStop(cutAt time.Time) { p.stop.Begin(p.now(), cutAt) }

// ListenerClosed admits only requests that end in time for certain, from then on.
func (p *Pipeline) ListenerClosed() { p.stop.AdmitCertain() }

// checkStop refuses a request that has not been passed on and might not end within the grace period
// of a planned stop.
func (p *Pipeline) checkStop(x *exchange) *failure.Error {
	now := p.now()
	if _, _, stopping := p.stop.Progress(now); !stopping || x.sentAttempts > 0 {
		return nil
	}
	recent := p.durations.Recent(x.route.Name, now)
	recent.Modeled = p.modeledDuration(x)
	if p.stop.Admits(now, x.Deadline, recent) {
		return nil
	}
	metrics.GetOrCreateCounter(`crowbridge_stop_refusals_total{service="` + x.Service + `"}`).Inc()
	return failure.NotRun(failure.StepQueue, "", failure.CodeLeaving,
		"this process is stopping, and the request might not end in time: retry on a new connection").WithRetryAfter(p.retryAfterElsewhere())
}

// modeledDuration returns how long a generation takes if its server is full, or 0 if unknown.
func (p *Pipeline) modeledDuration(x *exchange) time.Duration {
	if x.engine == nil || x.request.MaxOutputTokens == 0 {
		return 0
	}
	batch := 0
	for _, server := range p.fleet.Servers().OfService(x.Service) {
		batch = max(batch, server.Capacity)
	}
	return x.engine.ReadTime(x.request.PromptTokens) + x.engine.GenerationTime(x.request.MaxOutputTokens, batch)
}
