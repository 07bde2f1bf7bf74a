package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/pkg/errors"
)

// attempt sends the request to one server and passes its answer on.
func (p *Pipeline) attempt(ctx context.Context, x *exchange, server *fleet.Server, caller ResponseWriter) *failure.Error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	ctx, cancel := p.attemptContext(ctx, x, server)
	defer cancel()
	watch := p.newStallWatch(x, server, end)
	defer watch.stop()
	began := p.now()
	x.server, x.cutOff, x.askedAt, x.spent = server.ID, false, began, false
	p.chooser.RequestSent(server.Key(), x.request, began)
	defer p.chooser.RequestEnded(server.Key(), x.request)
	answer, sendErr := p.backend.Send(ctx, x.request, p.newAttempt(x, server))
	p.chooser.ResponseStarted(server.Key(), x.request)
	if sendErr != nil {
		return p.unanswered(ctx, x, server, sendErr)
	}
	defer func() { _ = answer.Body.Close() }() // read, or given up
	x.sent++
	x.movesOn = answer.Info.TryNextHome
	p.hear(x, server, answer)
	if answer.Info.HasLoad && server.Rank == nil {
		p.board.UpdateLoad(server.Key(), answer.Info.Load, p.now())
	}
	if f := p.judge(ctx, x, server, answer); f != nil {
		return f
	}
	var f *failure.Error
	if isStream(x, answer) {
		f = p.relayStream(ctx, x, server, answer, caller, watch)
	} else {
		f = p.relayAnswer(ctx, x, server, answer, caller)
	}
	if f == nil {
		p.chooser.RecordSuccess(server.Key(), p.now().Sub(began))
		if p.quarantines() {
			p.quarantine.MarkServed(x.request.digest())
		}
	}
	return f
}

// isStream tells whether an answer is passed on event by event.
func isStream(x *exchange, a *Response) bool {
	if a.Info.Trusted {
		return a.Info.EventStream
	}
	return x.route.Kind == fleet.KindStreaming && a.Status == http.StatusOK
}

// firstTryPart is the part of its objective after which an idempotent request
// that has another attempt left is given to another server.
const firstTryPart = 0.8

// attemptContext bounds an attempt that can be followed by another.
func (p *Pipeline) attemptContext(ctx context.Context, x *exchange, server *fleet.Server) (context.Context, context.CancelFunc) {
	another := x.sent+1 < x.route.MaxAttempts
	if x.route.Kind != fleet.KindIdempotent || !another || x.route.Objective <= 0 || !p.anotherTakes(x, server) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(firstTryPart*float64(x.route.Objective)))
}

func (p *Pipeline) newAttempt(x *exchange, server *fleet.Server) Attempt {
	a := Attempt{
		Server: server, Timeout: x.Deadline.Sub(p.now()), HasDeadline: true,
		Resume: x.request.Resume, ResumeAfter: x.request.LastEventID,
	}
	if x.lastEvent >= 0 {
		a.Resume, a.ResumeAfter = true, x.lastEvent
	}
	a.MaxConnections = p.board.ConnectionQuota(server.Key(), x.request)
	if x.Homes == nil { // a home's agent has recorded answers to give, and keeps its server's word
		a.SendCheck = func() error { return p.permit(x, server) }
	}
	return a
}

// unanswered explains an attempt without any answer.
func (p *Pipeline) unanswered(ctx context.Context, x *exchange, server *fleet.Server, e *SendError) *failure.Error {
	var barred *eligibility.ExcludedError
	if errors.As(e, &barred) {
		return p.barred(x, server, barred.Exclusion)
	}
	step, code, outcome := failure.StepSend, failure.CodeServerLost, failure.OutcomeNotRun
	detail := e.Error()
	if x.Homes != nil {
		// It may have run there earlier, for a caller who asked through another entry.
		outcome = failure.OutcomeUnknown
		detail = "the key's home can't be reached, and an earlier start there can't be ruled out: ask again with the same key: " + detail
	}
	if e.Sent {
		x.sent++
		x.mayHaveRun = true
		step, outcome = failure.StepRun, failure.OutcomeUnknown
		p.noteCutOff(ctx, x, server, e)
	}
	if !e.Sent {
		p.noteRefused(server, e)
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		code, detail = failure.CodeSlow, cause.Error()
	}
	if ctx.Err() == nil || !e.Sent {
		p.chooser.RecordFailure(server.Key(), p.now())
	}
	return &failure.Error{
		Step: step, Peer: server.ID, Code: code, Outcome: outcome, Detail: detail, RetryAfter: noServerRetry,
	}
}
