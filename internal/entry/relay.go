package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/crowbridge/crowbridge/internal/wire"
	"github.com/pkg/errors"
)

// departureCheck is how often a waiting request looks whether its caller left.
const departureCheck = 100 * time.Millisecond

// execute hands the request to the pipeline and answers.
func (e *Entry) execute(x *exchange) {
	ctx, cancel := context.WithCancelCause(context.Background())
	e.register(x, cancel)
	request, target := e.newRequest(x), e.newTarget(x)
	r := &relay{entry: e, x: x, cancel: func() { cancel(nil) }, begun: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer e.leave(x)
		r.end(e.pipeline.ServeTarget(ctx, request, target, r))
	}()
	r.await(x)
}

func (e *Entry) register(x *exchange, cancel context.CancelCauseFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels[requestRef{customer: x.customer.Name, requestID: x.id}] = cancel
}

// exchangeOf returns the exchange of one of this entry's requests.
func exchangeOf(r *dispatch.Request) *exchange { return r.FrontendState.(*exchange) }

func (e *Entry) newRequest(x *exchange) *dispatch.Request {
	r := &dispatch.Request{
		ID: x.id, Method: string(x.ctx.Method()), URI: string(x.ctx.RequestURI()), Header: http.Header{}, Body: x.body,
		ReceivedAt: e.now(), Customer: x.customer.Name, LastEventID: -1, FrontendState: x,
	}
	for name, value := range x.ctx.Request.Header.All() {
		r.Header.Add(string(name), string(value))
	}
	// The API key is ours, and the host is the server's own.
	r.Header.Del("Authorization")
	r.Header.Del("Host")
	r.Header.Del("Connection")
	return r
}

func (e *Entry) newTarget(x *exchange) dispatch.Target {
	target := dispatch.Target{
		Version: x.compiled.index.ConfigOffset(), Service: x.route.Spec.Service, Deadline: x.deadline, HasEndEvent: true,
		Route: &fleet.Route{Name: x.route.Name, Kind: kindOf(x), Resumable: x.intent.Idempotent, MaxAttempts: len(x.compiled.servers)},
	}
	if x.tracked() {
		target.Homes = x.compiled.homes(x)
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

// relay takes the answer from the pipeline and gives it to fasthttp, which reads
// streams from it. It implements dispatch.Caller.
type relay struct {
	entry  *Entry
	x      *exchange
	cancel context.CancelFunc

	// begun is closed when a stream begins, ended when the pipeline is done; what
	// follows was written before.
	begun, ended chan struct{}
	status       int
	header       http.Header
	body         bytes.Buffer
	reader       *io.PipeReader
	writer       *io.PipeWriter
	failure      *failure.Error
}

// errTooLarge says that an unstreamed answer is over the entry's limit.
var errTooLarge = errors.New("answer over the entry's limit")

// Start implements dispatch.Caller.
func (r *relay) Start(status int, header http.Header, _ int64) {
	r.status, r.header = status, header
	if isEventStream(header) {
		r.reader, r.writer = io.Pipe()
		close(r.begun)
	}
}

// Write implements dispatch.Caller.
func (r *relay) Write(data []byte) error {
	if r.writer != nil {
		_, err := r.writer.Write(data)
		return err
	}
	if int64(r.body.Len()+len(data)) > r.entry.options.MaxResponse {
		return errTooLarge
	}
	r.body.Write(data)
	return nil
}

// end takes the pipeline's result. A stream that was cut ends with an event that
// says so, never silently.
func (r *relay) end(result dispatch.Result) {
	defer r.cancel()
	r.failure = result.Failure
	if r.writer != nil {
		if r.failure != nil {
			_, _ = r.writer.Write(failureEvent(r.x, r.failure)) // a caller that left reads nothing
		}
		_ = r.writer.Close() // a pipe's never fails
	}
	close(r.ended)
}

// await waits until there is something to answer, and ends the work when the
// caller leaves.
func (r *relay) await(x *exchange) {
	ticker := time.NewTicker(departureCheck)
	defer ticker.Stop()
	for {
		select {
		case <-r.begun:
			r.writeStream(x)
			return
		case <-r.ended:
			r.writeAnswer(x)
			return
		case <-ticker.C:
			if callerGone(x.ctx.Conn()) {
				r.cancel()
			}
		}
	}
}

func (r *relay) writeAnswer(x *exchange) {
	if r.failure != nil {
		writeFailure(x, r.failure)
		return
	}
	copyAnswerHeaders(x, r.header)
	x.ctx.SetStatusCode(r.status)
	x.ctx.Response.Header.Set(wire.HeaderOutcome, string(failure.OutcomeAnswered))
	x.ctx.SetBody(r.body.Bytes())
}

// writeStream answers with a stream. fasthttp reads it after the handler returned;
// when the caller is slow, nothing is read from the server.
func (r *relay) writeStream(x *exchange) {
	copyAnswerHeaders(x, r.header)
	x.ctx.SetStatusCode(r.status)
	x.ctx.Response.Header.Set("Cache-Control", "no-cache")
	const unknownLength = -1
	x.ctx.SetBodyStream(&streamBody{PipeReader: r.reader, cancel: r.cancel}, unknownLength)
}

// streamBody is what fasthttp reads of a stream.
type streamBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer: the stream was written, or its caller left.
func (b *streamBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// failureEvent is the last event of a cut stream.
func failureEvent(x *exchange, f *failure.Error) []byte {
	f = &failure.Error{
		Step: f.Step, Peer: f.Peer, Code: f.Code, Outcome: failure.OutcomeUnknown,
		RetryAfter: f.RetryAfter, Detail: f.Detail,
	}
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", httpapi.EncodeFailure(f, x.id))
}
