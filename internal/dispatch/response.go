package dispatch

import (
	"context"
	"net/http"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// judge returns why an answer can't be passed on, or nil.
func (p *Pipeline) judge(ctx context.Context, x *exchange, server *fleet.Server, a *Response) *failure.Error {
	if f := a.Info.Failure; f != nil {
		x.mayHaveRun = x.mayHaveRun || f.Outcome != failure.OutcomeNotRun
		if (f.Code == failure.CodeResting || f.Code == failure.CodeLimited) && x.Homes == nil {
			f.RetryAfter = p.comeBack(x)
		}
		if f.Code == failure.CodeServerLost && f.Outcome == failure.OutcomeUnknown {
			p.noteCutOff(ctx, x, server, f)
		}
		return f
	}
	if a.Info.NotRun {
		return p.refused(x, server, a)
	}
	x.mayHaveRun = true
	if a.Info.Trusted {
		return nil
	}
	garbled := ""
	switch {
	case a.Info.RequestID != x.request.ID:
		garbled = "the answer belongs to another request"
	case a.Info.Encoded:
		garbled = "the answer's body isn't the server's"
	case a.Status < http.StatusMultipleChoices && !a.Info.Signed:
		garbled = "the answer isn't signed by a server"
	case promisesNotRun(a.Status):
		garbled = "the server failed without saying that it didn't run the request"
	case a.Status >= http.StatusInternalServerError && x.route.Idempotent() && x.sent < x.route.MaxAttempts:
		garbled = "the server failed"
	}
	if garbled == "" {
		return nil
	}
	p.chooser.RecordFailure(server.Key(), p.now())
	f := failure.Unknown(failure.StepRun, server.ID, failure.CodeServerLost, garbled)
	x.status = a.Status
	return f
}

// promisesNotRun tells whether callers read a status as "not run".
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// refused explains an answer that says the request didn't run.
func (p *Pipeline) refused(x *exchange, server *fleet.Server, a *Response) *failure.Error {
	now := p.now()
	if a.Status == http.StatusMisdirectedRequest {
		p.chooser.RecordFailure(server.Key(), now)
		if p.quarantine != nil {
			p.quarantine.MarkExited(server.Key(), "another server has its address")
		}
		return failure.NotRun(failure.StepSend, server.ID, failure.CodeWrongServer, "another server has the address").After(noServerRetry)
	}
	if server.Rank != nil && a.Info.FaultyServer != "" {
		p.board.markBroken(server, now)
		return failure.NotRun(failure.StepQueue, server.ID, failure.CodeNoServer,
			"the server's group is broken at "+a.Info.FaultyServer).After(groupRetry)
	}
	p.chooser.RecordFailure(server.Key(), now)
	return failure.NotRun(failure.StepQueue, server.ID, failure.CodeOverloaded, "the server refused the request").After(p.comeBack(x))
}
