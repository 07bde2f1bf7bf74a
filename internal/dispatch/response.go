package dispatch

import (
	"context"
	"net/http"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/httpapi"
)

// validateResponse returns why a response can't be relayed, or nil.
func (p *Pipeline) validateResponse(ctx context.Context, x *exchange, server *fleet.Server, response *Response) *failure.Error {
	if f := response.Info.Failure; f != nil {
		x.mayHaveRun = x.mayHaveRun || f.Outcome != failure.OutcomeNotRun
		if (f.Code == failure.CodeResting || f.Code == failure.CodeLimited) && x.Homes == nil {
			x.needsHint = true
		}
		if f.Code == failure.CodeServerLost && f.Outcome == failure.OutcomeUnknown {
			p.recordConnectionLoss(ctx, x, server, f)
		}
		return f
	}
	if response.Info.NotRun && !response.Info.isOfAnother(x.request) {
		return p.handleRefusal(x, server, response)
	}
	x.mayHaveRun = true
	if reason := x.invalidReason(response); reason != "" {
		p.chooser.RecordFailure(server.Key(), p.now())
		return failure.Unknown(failure.StepRun, server.ID, failure.CodeServerLost, reason)
	}
	if isUnexpectedSuccess(x, response) { // the caller may have asked for the rest of another stream
		return failure.Unknown(failure.StepRun, server.ID, failure.CodeNotResumed, "the response isn't the rest of an event stream")
	}
	return nil
}

// rejectResponse returns the failure of a response that the caller's response didn't accept.
func (p *Pipeline) rejectResponse(server *fleet.Server, response *Response, err error) *failure.Error {
	if response.Status >= http.StatusInternalServerError && !response.Info.Trusted {
		p.chooser.RecordFailure(server.Key(), p.now())
	}
	return failure.Unknown(failure.StepRun, server.ID, failure.CodeServerLost, err.Error())
}

// invalidReason returns why a response that ran can't be relayed, or "".
func (x *exchange) invalidReason(response *Response) string {
	if response.Info.Trusted {
		return ""
	}
	switch {
	case response.Info.RequestID != x.request.ID:
		return "the response belongs to another request"
	case response.Info.Encoded:
		return "the response body was transformed on the way from the server"
	case response.Status < http.StatusMultipleChoices && !response.Info.Signed:
		return "the response isn't signed by a server"
	case isStream(x, response) && hasOtherType(response):
		return "the response to a streaming route isn't an event stream"
	case impliesNotRun(response.Status):
		return "the server failed without reporting that it didn't run the request"
	case response.Status >= http.StatusInternalServerError && x.route.Idempotent() && x.sentAttempts < x.route.MaxAttempts:
		return "the server failed"
	default:
		return ""
	}
}

// isUnexpectedSuccess reports whether a successful response to a streaming request would look complete
// without being so: a document isn't the rest of a stream, and an agent's event stream has its end
// event looked for only with status 200. Status 204 says that there is no rest. Once a part has been
// sent, callerResponse decides.
func isUnexpectedSuccess(x *exchange, response *Response) bool {
	success := response.Status < http.StatusMultipleChoices && response.Status != http.StatusNoContent
	if x.route.Kind != fleet.KindStreaming || !success || x.caller.started || isStream(x, response) {
		return false
	}
	return x.request.Resume || response.Info.EventStream
}

// hasOtherType reports whether a response says that its body isn't an event stream.
func hasOtherType(response *Response) bool {
	contentType := response.Header.Get("Content-Type")
	return contentType != "" && !httpapi.IsEventStream(contentType)
}

// impliesNotRun reports whether callers take a status to mean that the request didn't run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// handleRefusal returns the failure for a response that reports that the request didn't run.
func (p *Pipeline) handleRefusal(x *exchange, server *fleet.Server, response *Response) *failure.Error {
	now := p.now()
	x.needsHint = true
	if response.Status == http.StatusMisdirectedRequest {
		p.chooser.RecordFailure(server.Key(), now)
		if p.quarantine != nil {
			p.quarantine.MarkExited(server.Key(), "another server uses its address")
		}
		return failure.NotRun(failure.StepSend, server.ID, failure.CodeWrongServer, "another server uses the address")
	}
	if server.Rank != nil && response.Info.FaultyServer != "" {
		p.balancer.markBroken(server, now)
		return failure.NotRun(failure.StepQueue, server.ID, failure.CodeNoServer,
			"the server's group is broken at "+response.Info.FaultyServer)
	}
	p.chooser.RecordFailure(server.Key(), now)
	return failure.NotRun(failure.StepQueue, server.ID, failure.CodeOverloaded, "the server refused the request")
}
