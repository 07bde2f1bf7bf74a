package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/quarantine"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Quarantine withholds requests that crash servers from further servers.
type Quarantine interface {
	// Empty reports whether no request is under suspicion.
	Empty() bool
	// Admit decides whether a request may be sent to a server. A healthy or suspect request
	// counts as in progress until Done.
	Admit(f quarantine.Fingerprint) quarantine.Decision
	// Done ends an attempt that Admit permitted.
	Done(d quarantine.Digest)
	// RecordConnectionLoss records that the connection to a server was lost during a request.
	RecordConnectionLoss(f quarantine.Fingerprint, server *fleet.Server)
	// MarkExited records that a server, given by its key, has exited.
	MarkExited(server, cause string)
	// HasExited reports whether a server has exited that wasn't known to be leaving, by a probe.
	HasExited(ctx context.Context, server *fleet.Server) bool
	// RecordResponse records that a server responded to an attempt that was sent at a time, and so
	// survived all connections that were lost before.
	RecordResponse(server *fleet.Server, sentAt time.Time)
	// RecordServed records that a service completed a request with a prompt. It is called for each,
	// so it must be cheap.
	RecordServed(service string, parts quarantine.PromptParts)
	// RecordSuccess records that a request completed successfully. Without parts, its prompt may not
	// have been run to its end.
	RecordSuccess(f quarantine.Fingerprint)
}

// SetQuarantine enables the quarantine. It must be called before the first request.
func (p *Pipeline) SetQuarantine(q Quarantine) { p.quarantine = q }

const (
	// pendingTimeout is how long a request waits for a pending decision: slightly longer than it
	// takes to probe whether a server that isn't a rank has exited.
	pendingTimeout = 250 * time.Millisecond
	// pendingPollInterval is how often a pending decision is checked.
	pendingPollInterval = 10 * time.Millisecond
	// pendingRetryAfter is the retry hint while the decision is pending.
	pendingRetryAfter = time.Second
)

// checkQuarantine admits a request, or refuses it because servers crash while they run it.
// Requests are identified by fingerprint, since a caller's retry has another ID.
func (p *Pipeline) checkQuarantine(ctx context.Context, x *exchange) *failure.Error {
	p.releaseQuarantine(x)
	x.request.Suspect = false
	if !p.quarantineActive() {
		return nil
	}
	giveUpAt := p.now().Add(pendingTimeout)
	for {
		decision := p.quarantine.Admit(x.fingerprint())
		switch decision.State {
		case quarantine.Healthy, quarantine.Suspect:
			x.admitted, x.request.Suspect = true, decision.State == quarantine.Suspect
			x.request.Isolation = decision.Isolation
			if x.request.Suspect {
				p.logSuspect(x, decision)
			}
			return nil
		case quarantine.Quarantined:
			return refuseUnsent(x, failure.StepQueue, x.Service, failure.CodeQuarantined,
				fmt.Sprintf("%d servers crashed while running %s (%s), quarantined for %s",
					len(decision.Servers), accused(decision), strings.Join(decision.Servers, ", "), decision.Until.Sub(p.now()).Round(time.Second))).WithRetryAfter(decision.Until.Sub(p.now()))
		case quarantine.Pending:
		}
		if !p.now().Before(giveUpAt) || !wait.For(ctx, pendingPollInterval) {
			return refuseUnsent(x, failure.StepQueue, x.Service, failure.CodeSuspect,
				"a server may have crashed while running this request, pending its probe or another attempt").WithRetryAfter(pendingRetryAfter)
		}
	}
}

// accused describes what a decision is about.
func accused(decision quarantine.Decision) string {
	if decision.Part != nil {
		return "requests with the prompt part " + decision.Part.ID
	}
	return "this request"
}

// logSuspect logs that a suspect request may run, and the evidence against it.
func (p *Pipeline) logSuspect(x *exchange, decision quarantine.Decision) {
	fields := logrus.Fields{"request": x.request.ID, "digest": x.digest(), "servers": decision.Servers, "found_here": decision.LocalExits, "index": decision.Isolation.Index}
	if decision.Part != nil {
		fields["part"] = decision.Part.ID
	}
	if !decision.Since.IsZero() {
		fields["since_ms"] = p.now().Sub(decision.Since).Milliseconds()
	}
	p.log.WithFields(fields).Info("suspect request admitted")
}

// quarantineActive reports whether digests are needed. Computing one hashes the whole body, so
// it is skipped while the quarantine is empty.
func (p *Pipeline) quarantineActive() bool { return p.quarantine != nil && !p.quarantine.Empty() }

// refuseUnsent returns the failure of a request that isn't sent to a server. A request with an
// idempotency key may have run for an earlier caller.
func refuseUnsent(x *exchange, step failure.Step, peer string, code failure.Code, detail string) *failure.Error {
	if x.Homes != nil {
		return failure.Unknown(step, peer, code, detail)
	}
	return failure.NotRun(step, peer, code, detail)
}

// releaseQuarantine reports to the quarantine that the request is no longer in progress.
func (p *Pipeline) releaseQuarantine(x *exchange) {
	if x.admitted {
		x.admitted = false
		p.quarantine.Done(x.digest())
	}
}

// recordConnectionLoss records that an attempt's connection was lost while the server may have
// been running the request, unless this entry or the caller closed it.
func (p *Pipeline) recordConnectionLoss(ctx context.Context, x *exchange, server *fleet.Server, err error) {
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		return
	}
	x.connectionLost = true
	countConnectionLoss(x)
	if p.quarantine != nil {
		p.quarantine.RecordConnectionLoss(x.fingerprint(), server)
	}
}

// recordResponse records that a rank responded. When a group breaks, connections to all of its ranks
// are lost, most of which survive. Agents don't tell a restarted server from the former one.
func (p *Pipeline) recordResponse(x *exchange, server *fleet.Server, response *Response) {
	if server.Rank != nil && !response.Info.Trusted && p.quarantineActive() {
		p.quarantine.RecordResponse(server, x.sentAt)
	}
}

// recordSuccess records that a response was relayed to its end.
func (p *Pipeline) recordSuccess(x *exchange) {
	if p.quarantine == nil {
		return
	}
	ran := x.provesPrompt()
	if ran && x.request.PromptParts != nil {
		p.quarantine.RecordServed(x.Service, x.request.PromptParts)
	}
	if !p.quarantineActive() {
		return
	}
	f := x.fingerprint()
	if !ran {
		f.Parts = nil
	}
	p.quarantine.RecordSuccess(f)
}

// provesPrompt reports whether the response shows that a server ran the prompt: a server may also
// refuse it, or have nothing to add to a stream.
func (x *exchange) provesPrompt() bool {
	return x.caller.status < http.StatusMultipleChoices && (!x.caller.stream || x.part.events > 0)
}

// recordConnectionRefused marks the server as exited if the error is a refused connection.
func (p *Pipeline) recordConnectionRefused(server *fleet.Server, err error) {
	if p.quarantine != nil && errors.Is(err, syscall.ECONNREFUSED) {
		p.quarantine.MarkExited(server.Key(), "connection refused")
	}
}
