package dispatch

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/sirupsen/logrus"
)

// countFirstByte enters the time to a stream's first event.
func countFirstByte(x *exchange, now time.Time) {
	metrics.GetOrCreateHistogram(`crowbridge_first_byte_seconds{route_kind="` + kindName(x.route) + `"}`).
		Update(now.Sub(x.request.ReceivedAt).Seconds())
}

// countEnd enters a request's end.
func countEnd(x *exchange, outcome failure.Outcome, code failure.Code, now time.Time) {
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

// record counts a request's end and writes its one line.
func (p *Pipeline) record(x *exchange, f *failure.Error) {
	now := p.now()
	fields := logrus.Fields{
		"request": x.request.ID, "took_ms": now.Sub(x.request.ReceivedAt).Milliseconds(),
		"sent": x.sent, "server": x.server,
	}
	if x.picked.Server != nil {
		fields["load"], fields["load_age_ms"] = x.picked.Load, loadAge(x.picked)
		fields["occupied"] = math.Round(x.picked.Utilization*100) / 100
		if x.picked.Unresponsive > 0 {
			fields["silent_servers"] = x.picked.Unresponsive
		}
	}
	if x.limit != nil {
		fields["limit"], fields["limit_age_ms"] = x.limit.PerSecond, x.limit.Age.Milliseconds()
		fields["limit_tokens"] = math.Round(x.limit.Tokens*100) / 100
	}
	if x.picked.Limited > 0 {
		fields["limited"] = x.picked.Limited
	}
	if x.picked.Full > 0 {
		fields["full"] = x.picked.Full
	}
	if x.picked.Excluded > 0 {
		fields["barred"] = x.picked.Excluded
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
	if f == nil {
		countEnd(x, failure.OutcomeAnswered, "", now)
		fields["status"] = x.status
		p.log.WithFields(fields).Info("request answered")
		return
	}
	countEnd(x, f.Outcome, f.Code, now)
	fields["outcome"], fields["code"], fields["step"], fields["peer"] = f.Outcome, f.Code, f.Step, f.Peer
	fields["cause"], fields["begun"], fields["last_event"] = f.Detail, x.begun, x.lastEvent
	fields["retry_after_ms"], fields["digest"] = f.RetryAfter.Milliseconds(), x.request.digest()
	p.log.WithFields(fields).Warn("request failed")
}

// loadAge is the age of the report behind a choice in milliseconds, or -1 when
// there was none.
func loadAge(c Choice) int64 {
	if c.LoadAge > neverReported {
		return -1
	}
	return c.LoadAge.Milliseconds()
}

// neverReported is an age that only a missing report has.
const neverReported = 24 * time.Hour

// countCutOff enters an attempt that its server, or the way there, cut off.
func countCutOff(x *exchange) {
	metrics.GetOrCreateCounter(`crowbridge_attempts_cut_off_total{service="` + x.Service + `"}`).Inc()
}

// logAttempt writes why an attempt failed and whether another follows.
func (p *Pipeline) logAttempt(x *exchange, server *fleet.Server, f *failure.Error, again bool) {
	p.log.WithFields(logrus.Fields{
		"request": x.request.ID, "digest": x.request.digest(), "server": server.ID, "address": server.Address,
		"step": f.Step, "outcome": f.Outcome, "cut_off": x.cutOff,
		"code": f.Code, "cause": f.Detail, "sent": x.sent, "begun": x.begun, "last_event": x.lastEvent,
		"left_ms": x.Deadline.Sub(p.now()).Milliseconds(), "again": again, "load": x.picked.Load, "load_age_ms": loadAge(x.picked),
		"failures": x.picked.Failures, "avoided": x.picked.BackingOff, "barred": x.picked.Excluded, "limited": x.picked.Limited,
	}).Info("attempt failed")
}
