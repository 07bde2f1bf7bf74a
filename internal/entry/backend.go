package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/pkg/errors"
)

// agentBackend sends attempts to servers through their agents, which report the outcome.
// It implements dispatch.Backend.
type agentBackend struct{ entry *Entry }

// Send implements dispatch.Backend.
func (b agentBackend) Send(ctx context.Context, r *dispatch.Request, a dispatch.Attempt) (*dispatch.Response, *dispatch.SendError) {
	e := b.entry
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	ctx, check := upstream.WithSendCheck(ctx, a.SendCheck)
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.Server.Address+r.URI, nonRewindableBody(r.Body))
	if err != nil {
		return nil, &dispatch.SendError{Err: err}
	}
	out.ContentLength = int64(len(r.Body))
	out.Header = r.Header.Clone()
	x := exchangeOf(r)
	envelope := x.envelope()
	envelope.Server, envelope.Budget = a.Server.ID, a.Timeout
	envelope.Write(out.Header)
	out.Header.Set(headers.DaemonKey, e.options.DaemonKey)
	if a.Resume && a.ResumeAfter > 0 {
		out.Header.Set(headers.LastEventID, strconv.FormatInt(a.ResumeAfter, 10))
	}
	response, err := e.client.Do(out)
	if checkErr := check.Err(); err != nil && checkErr != nil {
		return nil, &dispatch.SendError{Err: errors.Wrap(checkErr, a.Server.ID)}
	}
	if err != nil {
		return nil, &dispatch.SendError{Sent: connected.Load() && !isDialError(err), Err: errors.Wrap(err, a.Server.ID)}
	}
	return e.readResponse(r.ID, a.Server.ID, response), nil
}

// readResponse converts an agent's response and records the load and failure it carries.
func (e *Entry) readResponse(requestID, server string, response *http.Response) *dispatch.Response {
	header := response.Header
	e.recordLoad(server, header)
	f := headers.ReadFailure(header, server)
	if f != nil {
		e.recordServerFailure(server, f)
	}
	return &dispatch.Response{
		Status: response.StatusCode, Header: header, Length: response.ContentLength,
		Framing: dispatch.FramingOf(response), Body: response.Body,
		Info: dispatch.ResponseInfo{
			RequestID: requestID, Signed: true, Trusted: true, Failure: f, EventStream: isEventStream(header), TryNextHome: header.Get(headers.KeyClosed) != "",
			RetryAfter: headers.ReadRest(header),
		},
	}
}

// keepRedirect makes a client return redirects instead of following them: they are the server's
// response to the caller.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// nonRewindableBody hides the body's type, so that the HTTP transport can't rewind it and
// never resends a request on its own.
func nonRewindableBody(body []byte) io.Reader {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}
