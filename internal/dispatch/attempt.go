package dispatch

import (
	"context"
	"net/http"

	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/pkg/errors"
)

// attempt sends the request to one server and relays its response.
func (p *Pipeline) attempt(ctx context.Context, x *exchange, server *fleet.Server) *failure.Error {
	ctx, cancelAttempt := context.WithCancelCause(ctx)
	defer cancelAttempt(nil)
	detector := p.newStallDetector(x, server, cancelAttempt)
	defer detector.stop()
	startedAt := p.now()
	x.server, x.part, x.connectionLost, x.sentAt, x.retryTokenUnused = server.ID, nil, false, startedAt, false
	x.needsHint = false
	p.chooser.RequestSent(server.Key(), x.request, startedAt)
	defer p.chooser.RequestEnded(server.Key(), x.request)
	handOver := p.newHandOver(x, server, cancelAttempt)
	response, sendErr := p.backend.Send(ctx, x.request, p.newAttempt(x, server))
	x.hasRetryToken = handOver.answered() || x.hasRetryToken
	p.chooser.ResponseStarted(server.Key(), x.request)
	if sendErr != nil {
		return p.handleSendError(ctx, x, server, sendErr)
	}
	defer func() { _ = response.Body.Close() }() // read or abandoned
	x.sentAttempts++
	x.tryNextHome = response.Info.TryNextHome
	x.addPart(server, response)
	p.observeResponse(x, server, response)
	if response.Info.HasLoad && server.Rank == nil {
		p.balancer.UpdateLoad(server.Key(), response.Info.Load, p.now())
	}
	if f := p.validateResponse(ctx, x, server, response); f != nil {
		return f
	}
	p.recordResponse(x, server, response)
	stream := isStream(x, response)
	if err := x.caller.accept(response, stream); err != nil {
		return p.rejectResponse(server, response, err)
	}
	var f *failure.Error
	if stream {
		f = p.relayStream(ctx, x, server, detector)
	} else {
		p.recordFirstByte(x)
		f = p.relayResponse(ctx, x, server)
	}
	if f == nil {
		p.chooser.RecordSuccess(server.Key(), p.now().Sub(startedAt))
		p.recordSuccess(x)
		p.recordDuration(x)
	}
	return f
}

// isStream reports whether a response is relayed event by event.
func isStream(x *exchange, response *Response) bool {
	if response.Info.Trusted {
		return response.Info.EventStream && response.Status == http.StatusOK
	}
	return x.route.Kind == fleet.KindStreaming && response.Status == http.StatusOK
}

// newAttempt returns the parameters of an attempt.
func (p *Pipeline) newAttempt(x *exchange, server *fleet.Server) Attempt {
	a := Attempt{
		Server: server, Timeout: x.Deadline.Sub(p.now()), HasDeadline: true,
		Resume: x.caller.position.last >= 0, ResumeAfter: x.caller.position.last,
	}
	a.MaxConnections = p.balancer.ConnectionQuota(server.Key(), x.request)
	if x.Homes == nil { // a home's agent may have a recorded response, and applies exclusions itself
		a.SendCheck = func() error { return p.checkSend(x, server) }
	}
	return a
}

// handleSendError returns the failure of an attempt without a response.
func (p *Pipeline) handleSendError(ctx context.Context, x *exchange, server *fleet.Server, e *SendError) *failure.Error {
	var excluded *eligibility.ExcludedError
	if errors.As(e, &excluded) {
		return p.handleExclusion(x, server, excluded.Exclusion)
	}
	step, code, outcome := failure.StepSend, failure.CodeServerLost, failure.OutcomeNotRun
	detail := e.Error()
	if x.Homes != nil {
		// The home may have run it for an earlier attempt through another entry.
		outcome = failure.OutcomeUnknown
		detail = "the key's home can't be reached and may have run the request earlier, retry with the same key: " + detail
	}
	if e.Sent {
		x.sentAttempts++
		x.mayHaveRun = true
		step, outcome = failure.StepRun, failure.OutcomeUnknown
		p.recordConnectionLoss(ctx, x, server, e)
	}
	if !e.Sent {
		p.recordConnectionRefused(server, e)
	}
	if cause := context.Cause(ctx); errors.Is(cause, errUnresponsive) || errors.Is(cause, errUnanswered) {
		code, detail = failure.CodeSlow, cause.Error()
	}
	if ctx.Err() == nil || !e.Sent {
		p.chooser.RecordFailure(server.Key(), p.now())
	}
	x.needsHint = true
	return &failure.Error{Step: step, Peer: server.ID, Code: code, Outcome: outcome, Detail: detail}
}
