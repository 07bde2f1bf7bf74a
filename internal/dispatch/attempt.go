package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// attempt sends the request to one server and passes its answer on.
func (p *Pipeline) attempt(ctx context.Context, x *exchange, server *fleet.Server, caller Caller) *failure.Error {
	ctx, cancel := p.attemptContext(ctx, x)
	defer cancel()
	began := p.now()
	x.server = server.ID
	prompt := x.request.PromptTokens
	p.board.sent(server.ID, prompt, began)
	defer p.board.ended(server.ID)
	answer, sendErr := p.backend.Send(ctx, x.request, p.newAttempt(x, server))
	p.board.started(server.ID, prompt)
	if sendErr != nil {
		return p.unanswered(ctx, x, server, sendErr)
	}
	defer func() { _ = answer.Body.Close() }() // read, or given up
	x.sent++
	if answer.Info.HasLoad && server.Rank == nil {
		p.board.ReportLoad(server.ID, answer.Info.Load, p.now())
	}
	if f := p.judge(x, server, answer); f != nil {
		return f
	}
	var f *failure.Error
	if x.route.Kind == fleet.KindStreaming && answer.Status == http.StatusOK {
		f = p.relayStream(ctx, x, server, answer, caller)
	} else {
		f = p.relayAnswer(ctx, x, server, answer, caller)
	}
	if f == nil {
		p.board.succeeded(server.ID, p.now().Sub(began))
	}
	return f
}

// firstTryPart is the part of its objective after which an idempotent request
// that has another attempt left is given to another server.
const firstTryPart = 0.8

// attemptContext bounds an attempt that can be followed by another.
func (p *Pipeline) attemptContext(ctx context.Context, x *exchange) (context.Context, context.CancelFunc) {
	another := x.sent+1 < x.route.MaxAttempts
	if x.route.Kind != fleet.KindIdempotent || !another || x.route.Objective <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(firstTryPart*float64(x.route.Objective)))
}

func (p *Pipeline) newAttempt(x *exchange, server *fleet.Server) Attempt {
	a := Attempt{
		Server: server, Left: x.limit.Sub(p.now()), HasDeadline: true,
		Resume: x.request.Resumes, ResumeAfter: x.request.LastEventID,
	}
	if x.lastEvent >= 0 {
		a.Resume, a.ResumeAfter = true, x.lastEvent
	}
	return a
}

// unanswered explains an attempt without any answer.
func (p *Pipeline) unanswered(ctx context.Context, x *exchange, server *fleet.Server, e *SendError) *failure.Error {
	step, code, outcome := failure.StepSend, failure.CodeServerLost, failure.OutcomeNotRun
	if e.Sent {
		x.sent++
		x.mayHaveRun = true
		step, outcome = failure.StepRun, failure.OutcomeUnknown
	}
	if ctx.Err() == nil || !e.Sent {
		p.board.failed(server.ID, p.now())
	}
	return &failure.Error{
		Step: step, Peer: server.ID, Code: code, Outcome: outcome, Detail: e.Error(), RetryAfter: noServerRetry,
	}
}
