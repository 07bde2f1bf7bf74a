package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/crowbridge/crowbridge/internal/wire"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// answerHeaders are crowbridge's own headers that callers get to see.
var answerHeaders = map[string]bool{
	wire.HeaderServer: true, wire.HeaderReplayed: true, wire.HeaderOutcome: true,
}

func (e *Entry) writeAnswer(x *exchange, a *answer) {
	if a.failure != nil {
		e.logEnd(x, a.server, a.failure)
		writeFailure(x, a.failure)
		e.leave(x, a.failure.Outcome)
		return
	}
	copyAnswerHeaders(x, a.header)
	x.ctx.SetStatusCode(a.status)
	x.ctx.Response.Header.Set(wire.HeaderOutcome, string(failure.OutcomeAnswered))
	x.ctx.SetBody(a.body)
	e.leave(x, failure.OutcomeAnswered)
}

func copyAnswerHeaders(x *exchange, from http.Header) {
	for name, values := range from {
		if strings.HasPrefix(name, "X-Crowbridge-") && !answerHeaders[name] {
			continue
		}
		switch name {
		case "Content-Length", "Connection", "Transfer-Encoding", "Date":
			continue
		}
		for i, value := range values {
			if i == 0 {
				x.ctx.Response.Header.Set(name, value)
			} else {
				x.ctx.Response.Header.Add(name, value)
			}
		}
	}
}

func (e *Entry) logEnd(x *exchange, server string, f *failure.Error) {
	e.log.WithFields(logrus.Fields{
		"request": x.id, "customer": x.customer.Name, "class": x.intent.Class, "peer": server,
		"step": f.Step, "code": f.Code, "outcome": f.Outcome,
	}).Info("request failed")
}

// streamState is what a relayed stream has got to.
type streamState struct {
	lastID int64
	done   bool
	gone   bool // the caller left
}

// writeStream relays events as they come. fasthttp runs the writer after the
// handler returned.
func (e *Entry) writeStream(ctx context.Context, x *exchange, a *answer, request *captured, cancel context.CancelFunc) {
	copyAnswerHeaders(x, a.header)
	x.ctx.SetStatusCode(a.status)
	x.ctx.Response.Header.Set("Cache-Control", "no-cache")
	x.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		e.leave(x, e.relayStream(ctx, x, a, request, w))
	})
}

// relayStream relays one stream, over several servers if need be, and returns
// its outcome.
func (e *Entry) relayStream(ctx context.Context, x *exchange, a *answer, request *captured, w *bufio.Writer) failure.Outcome {
	state := &streamState{}
	for {
		f := e.relayEvents(state, a.events, w)
		e.settle(a.events)
		if state.done {
			return failure.OutcomeAnswered
		}
		if state.gone {
			return failure.OutcomeUnknown
		}
		x.tried = append(x.tried, a.server)
		next, last := e.resume(ctx, x, request, state, f)
		if next == nil {
			e.logEnd(x, a.server, last)
			writeStreamFailure(w, x, last)
			return failure.OutcomeUnknown
		}
		a = next
	}
}

// relayEvents passes whole events on until the stream ends or is cut. Events up
// to the last one passed on are left out, so that a resumed stream repeats none.
func (e *Entry) relayEvents(state *streamState, r *reply, w *bufio.Writer) *failure.Error {
	events := httpapi.NewEventReader(r.response.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			err = errors.New("the stream ended without [DONE]")
		}
		if err != nil {
			return failure.Unknown(failure.StepRelay, r.server, failure.CodeServerLost, err.Error())
		}
		if event.ID >= 0 && event.ID <= state.lastID {
			continue
		}
		if event.ID >= 0 {
			state.lastID = event.ID
		}
		if !writeEvent(w, event.Raw) {
			state.gone = true
			return nil
		}
		if event.Done {
			state.done = true
			return nil
		}
	}
}

func writeEvent(w *bufio.Writer, raw []byte) bool {
	if _, err := w.Write(raw); err != nil {
		return false
	}
	return w.Flush() == nil
}

// resume continues an idempotent stream at another server, after the last token
// that the caller got.
func (e *Entry) resume(ctx context.Context, x *exchange, request *captured, state *streamState, f *failure.Error) (*answer, *failure.Error) {
	a := &answer{failure: f}
	for x.intent.Idempotent && e.mayRetry(ctx, x, a, false) {
		server, none := e.choose(x, nil)
		if none != nil {
			return nil, f
		}
		a = e.attempt(ctx, x, request, server, state.lastID)
		if a.failure == nil && a.events != nil {
			return a, nil
		}
		x.tried = append(x.tried, server)
		if a.failure == nil {
			return nil, failure.Unknown(failure.StepRelay, server, failure.CodeServerLost, "answered a resumed stream without one")
		}
	}
	return nil, a.failure
}

// writeStreamFailure ends a cut stream with a typed event, never silently.
func writeStreamFailure(w *bufio.Writer, x *exchange, f *failure.Error) {
	f = &failure.Error{
		Step: f.Step, Peer: f.Peer, Code: f.Code, Outcome: failure.OutcomeUnknown,
		RetryAfter: f.RetryAfter, Detail: f.Detail,
	}
	raw := fmt.Appendf(nil, "event: error\ndata: %s\n\n", httpapi.EncodeFailure(f, x.id))
	writeEvent(w, raw) // a caller that left can't be told
}
