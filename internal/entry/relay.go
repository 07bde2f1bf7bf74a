package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/pkg/errors"
)

// disconnectPollInterval is the time between checks whether a waiting caller disconnected.
const disconnectPollInterval = 100 * time.Millisecond

// execute passes the request to the pipeline and writes the response.
func (e *Entry) execute(x *exchange) {
	ctx, cancel := context.WithCancelCause(context.Background())
	e.register(x, cancel)
	request, target := e.newRequest(x), e.newTarget(x)
	r := &relay{entry: e, x: x, cancel: func() { cancel(nil) }, started: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer e.release(x)
		r.finish(e.pipeline.ServeTarget(ctx, request, target, r))
	}()
	r.wait(x)
}

func (e *Entry) register(x *exchange, cancel context.CancelCauseFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels[requestRef{customer: x.customer.Name, requestID: x.id}] = cancel
}

// exchangeOf returns the exchange that a request of this entry belongs to.
func exchangeOf(r *dispatch.Request) *exchange { return r.FrontendState.(*exchange) }

func (e *Entry) newRequest(x *exchange) *dispatch.Request {
	r := &dispatch.Request{
		ID: x.id, Method: string(x.ctx.Method()), URI: string(x.ctx.RequestURI()), Header: http.Header{}, Body: x.body,
		ReceivedAt: e.now(), Customer: x.customer.Name, FrontendState: x, Hold: callerConn(x.ctx).Hold,
	}
	for name, value := range x.ctx.Request.Header.All() {
		r.Header.Add(string(name), string(value))
	}
	r.LastEventID, r.Resume = httpapi.ParseEventID(r.Header.Get(headers.LastEventID))
	// The API key is not forwarded, and the server gets its own host.
	r.Header.Del("Authorization")
	r.Header.Del("Host")
	r.Header.Del("Connection")
	return r
}

func (e *Entry) newTarget(x *exchange) dispatch.Target {
	target := dispatch.Target{
		Version: x.snapshot.index.ConfigOffset(), Service: x.route.Spec.Service, Deadline: x.deadline, HasEndEvent: true,
		Route: &fleet.Route{Name: x.route.Name, Kind: kindOf(x), Resumable: x.intent.Idempotent, MaxAttempts: len(x.snapshot.servers)},
	}
	if x.tracked() {
		target.Homes = x.snapshot.keyHomes(x)
	}
	return target
}

func kindOf(x *exchange) fleet.Kind {
	switch {
	case x.stream:
		return fleet.KindStreaming
	case x.intent.Idempotent:
		return fleet.KindIdempotent
	default:
		return fleet.KindNonIdempotent
	}
}

// relay passes the pipeline's response to fasthttp, through a pipe if it is sent as a stream. It
// implements dispatch.ResponseWriter.
type relay struct {
	entry  *Entry
	x      *exchange
	cancel context.CancelFunc

	// started is closed when a stream starts, done when the pipeline has finished. status,
	// header, reader and writer are written before either, body and failure before done.
	started, done chan struct{}
	status        int
	header        http.Header
	body          []byte
	reader        *io.PipeReader
	writer        *io.PipeWriter
	failure       *failure.Error
}

// errResponseTooLarge reports a buffered response that exceeds Options.MaxResponse.
var errResponseTooLarge = errors.New("response exceeds the entry's size limit")

// Start implements dispatch.ResponseWriter.
func (r *relay) Start(status int, header http.Header, _ int64) {
	r.status, r.header = status, header
	// HTTP/1.0 has no chunks to show that a stream broke off: it is buffered.
	if isEventStream(header) && r.x.ctx.Request.Header.IsHTTP11() {
		r.reader, r.writer = io.Pipe()
		close(r.started)
	}
}

// Write implements dispatch.ResponseWriter.
func (r *relay) Write(data []byte) error {
	if r.writer != nil {
		_, err := r.writer.Write(data)
		return err
	}
	if int64(len(r.body)+len(data)) > r.entry.options.MaxResponse {
		return errResponseTooLarge
	}
	body, err := callerConn(r.x.ctx).Append(r.body, data)
	if err != nil {
		return err
	}
	r.body = body
	return nil
}

// finish records the pipeline's result. A stream that broke off ends with an error event.
func (r *relay) finish(result dispatch.Result) {
	defer r.cancel()
	r.failure = result.Failure
	if r.writer != nil {
		if r.failure != nil {
			_, _ = r.writer.Write(failureEvent(r.x, r.failure)) // fails only if the caller disconnected
		}
		_ = r.writer.Close() // never fails for a pipe
	}
	close(r.done)
}

// wait writes the response once a stream has started or the pipeline has finished. It cancels
// the request if the caller disconnects meanwhile.
func (r *relay) wait(x *exchange) {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.started:
			r.writeStream(x)
			return
		case <-r.done:
			r.writeResponse(x)
			return
		case <-ticker.C:
			if callerDisconnected(x.ctx.Conn()) {
				r.cancel()
			}
		}
	}
}

func (r *relay) writeResponse(x *exchange) {
	if r.failure != nil {
		writeFailure(x, r.failure)
		return
	}
	copyResponseHeaders(x, r.header)
	x.ctx.SetStatusCode(r.status)
	x.ctx.Response.Header.Set(headers.Outcome, string(failure.OutcomeAnswered))
	x.ctx.Response.SetBodyRaw(r.body)
}

// writeStream responds with a stream, which fasthttp reads after the handler has returned.
// The pipe applies the caller's back pressure to the server.
func (r *relay) writeStream(x *exchange) {
	copyResponseHeaders(x, r.header)
	x.ctx.SetStatusCode(r.status)
	x.ctx.Response.Header.Set("Cache-Control", "no-cache")
	const unknownLength = -1
	x.ctx.SetBodyStream(&streamBody{PipeReader: r.reader, cancel: r.cancel}, unknownLength)
}

// streamBody is a response body that cancels its request when closed.
type streamBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer. fasthttp calls it at the end of the stream and when the
// caller disconnects.
func (b *streamBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

func isEventStream(header http.Header) bool {
	return httpapi.IsEventStream(header.Get("Content-Type"))
}

// failureEvent returns the last event of a stream that broke off. The outcome is unknown,
// since the server has run a part of the request.
func failureEvent(x *exchange, f *failure.Error) []byte {
	f = &failure.Error{
		Step: f.Step, Peer: f.Peer, Code: f.Code, Outcome: failure.OutcomeUnknown,
		RetryAfter: f.RetryAfter, Detail: f.Detail,
	}
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", httpapi.EncodeFailure(f, x.id))
}
