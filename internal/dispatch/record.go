package dispatch

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/deadline"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/sirupsen/logrus"
)

// observeFirstEvent records the time to a stream's first event.
func observeFirstEvent(x *exchange, now time.Time) {
	metrics.GetOrCreateHistogram(`crowbridge_first_byte_seconds{route_kind="` + kindName(x.route) + `"}`).
		Update(now.Sub(x.request.ReceivedAt).Seconds())
}

// observeResult records the outcome and duration of a request.
func observeResult(x *exchange, outcome failure.Outcome, code failure.Code, now time.Time) {
	metrics.GetOrCreateCounter(`crowbridge_requests_total{outcome="` + string(outcome) + `",code="` + string(code) + `"}`).Inc()
	if x.route != nil {
		metrics.GetOrCreateHistogram(`crowbridge_request_seconds{route_kind="` + kindName(x.route) + `"}`).
			Update(now.Sub(x.request.ReceivedAt).Seconds())
	}
}

func kindName(route *fleet.Route) string {
	switch route.Kind {
	case fleet.KindIdempotent:
		return "idempotent"
	case fleet.KindNonIdempotent:
		return "non-idempotent"
	case fleet.KindStreaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// recordResult records the outcome of a request in metrics and the log.
func (p *Pipeline) recordResult(x *exchange, f *failure.Error) {
	now := p.now()
	fields := logrus.Fields{
		"request": x.request.ID, "took_ms": now.Sub(x.request.ReceivedAt).Milliseconds(),
		"sent": x.sentAttempts, "server": x.server,
	}
	if !x.request.BeganAt.IsZero() {
		fields["read_ms"] = x.request.ReceivedAt.Sub(x.request.BeganAt).Milliseconds()
	}
	p.addStopFields(fields, x, now)
	if x.choice.Server != nil {
		fields["load"], fields["load_age_ms"] = x.choice.Load, loadAge(x.choice)
		fields["occupied"] = math.Round(x.choice.Utilization*100) / 100
		if x.choice.Unresponsive > 0 {
			fields["silent_servers"] = x.choice.Unresponsive
		}
	}
	x.addForecastFields(fields)
	if x.limit != nil {
		fields["limit"], fields["limit_age_ms"] = x.limit.PerSecond, x.limit.Age.Milliseconds()
		fields["limit_tokens"] = math.Round(x.limit.Tokens*100) / 100
	}
	if x.choice.Limited > 0 {
		fields["limited"] = x.choice.Limited
	}
	if x.choice.Full > 0 {
		fields["full"] = x.choice.Full
	}
	if x.choice.Excluded > 0 {
		fields["barred"] = x.choice.Excluded
	}
	if x.Version != 0 {
		fields["config"] = x.Version
	}
	if x.route != nil {
		fields["route"] = x.route.Name
	}
	if x.rule != "" {
		fields["rule"] = x.rule
	}
	if x.caller.started && x.route.Kind == fleet.KindStreaming {
		fields["parts"] = formatParts(x.parts)
		if x.caller.position.gaps.after >= 0 {
			fields["gap_after"] = x.caller.position.gaps.after
		}
	}
	if f == nil {
		observeResult(x, failure.OutcomeAnswered, "", now)
		fields["status"] = x.caller.status
		p.log.WithFields(fields).Info("request served")
		return
	}
	observeResult(x, f.Outcome, f.Code, now)
	fields["outcome"], fields["code"], fields["step"], fields["peer"] = f.Outcome, f.Code, f.Step, f.Peer
	fields["cause"], fields["begun"], fields["last_event"] = f.Detail, x.caller.started, x.caller.position.last
	fields["retry_after_ms"], fields["digest"] = f.RetryAfter.Milliseconds(), x.digest()
	p.log.WithFields(fields).Warn("request failed")
}

// addForecastFields adds how long a request that could not begin at once has waited, for how much longer it was
// last expected to (-1 if nothing was known), what the work was expected to take, and the time that its caller had then.
func (x *exchange) addForecastFields(fields logrus.Fields) {
	if x.forecast.Wait <= 0 && x.waited <= 0 {
		return
	}
	expected := int64(-1)
	if x.forecast.Wait != deadline.Unknown {
		expected = x.forecast.Wait.Milliseconds()
	}
	fields["waited_ms"], fields["expected_wait_ms"] = x.waited.Milliseconds(), expected
	fields["usual_first_ms"], fields["typical_ms"] = x.forecast.First.Milliseconds(), x.forecast.Whole.Milliseconds()
	fields["budget_first_ms"], fields["budget_ms"] = x.budget.First.Milliseconds(), x.budget.Whole.Milliseconds()
}

// addStopFields adds when, in a planned stop, a request had been read and how much of the grace period
// is left.
func (p *Pipeline) addStopFields(fields logrus.Fields, x *exchange, now time.Time) {
	elapsed, left, stopping := p.stop.Progress(now)
	if !stopping {
		return
	}
	fields["stop_ms"], fields["stop_left_ms"] = elapsed.Milliseconds(), left.Milliseconds()
	fields["read_stop_ms"] = (elapsed - now.Sub(x.request.ReceivedAt)).Milliseconds()
	fields["body_bytes"], fields["max_output_tokens"] = len(x.request.Body), x.request.MaxOutputTokens
}

// loadAge returns the age of the load report behind a choice in milliseconds, or -1 if there
// was none.
func loadAge(c Choice) int64 {
	if c.LoadAge > maxLoadAge {
		return -1
	}
	return c.LoadAge.Milliseconds()
}

// maxLoadAge is exceeded only when there was no report.
const maxLoadAge = 24 * time.Hour

// countConnectionLoss counts an attempt whose connection was lost.
func countConnectionLoss(x *exchange) {
	metrics.GetOrCreateCounter(`crowbridge_attempts_cut_off_total{service="` + x.Service + `"}`).Inc()
}

// logFailedAttempt logs why an attempt failed and whether it is retried.
func (p *Pipeline) logFailedAttempt(x *exchange, server *fleet.Server, f *failure.Error, retrying bool) {
	fields := logrus.Fields{
		"request": x.request.ID, "digest": x.digest(), "server": server.ID, "address": server.Address,
		"step": f.Step, "outcome": f.Outcome, "cut_off": x.connectionLost,
		"code": f.Code, "cause": f.Detail, "sent": x.sentAttempts, "begun": x.caller.started, "last_event": x.caller.position.last,
		"left_ms": x.Deadline.Sub(p.now()).Milliseconds(), "again": retrying, "load": x.choice.Load, "load_age_ms": loadAge(x.choice),
		"failures": x.choice.Failures, "avoided": x.choice.BackingOff, "barred": x.choice.Excluded, "limited": x.choice.Limited,
	}
	if x.part != nil {
		fields["part"] = x.part.String()
	}
	if x.connectionLost {
		fields["prompt_parts"] = x.request.sharedParts()
	}
	p.log.WithFields(fields).Info("attempt failed")
}
