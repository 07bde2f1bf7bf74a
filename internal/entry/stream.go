package entry

import (
	"context"
	"fmt"
	"io"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/pkg/errors"
)

// stream is a relayed stream of events, as fasthttp reads it: one Read gives
// one event, or several that have arrived already, and is written to the caller
// at once. When the caller is slow, nothing is read from the server; memory stays
// at the reader's buffer.
type stream struct {
	entry   *Entry
	ctx     context.Context
	cancel  context.CancelFunc
	x       *exchange
	request *captured

	answer  *answer // of the server that streams now
	events  *httpapi.EventReader
	pending []byte // of an event, not read by fasthttp yet
	lastID  int64  // token offset of the last event passed on
	ended   bool
	outcome failure.Outcome
}

// writeStream answers with a stream. fasthttp reads and closes it after the
// handler returned.
func (e *Entry) writeStream(ctx context.Context, x *exchange, a *answer, request *captured, cancel context.CancelFunc) {
	copyAnswerHeaders(x, a.header)
	x.ctx.SetStatusCode(a.status)
	x.ctx.Response.Header.Set("Cache-Control", "no-cache")
	s := &stream{
		entry: e, ctx: ctx, cancel: cancel, x: x, request: request,
		// Until the last event is passed on, a caller that leaves can't know.
		outcome: failure.OutcomeUnknown,
	}
	s.switchTo(a)
	const unknownLength = -1
	x.ctx.SetBodyStream(s, unknownLength)
}

func (s *stream) switchTo(a *answer) {
	s.answer = a
	s.events = httpapi.NewEventReader(a.events.response.Body)
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		s.next()
	}
	n := s.take(p)
	for !s.ended && len(s.pending) == 0 && s.events.Ready() {
		s.next()
		n += s.take(p[n:])
	}
	return n, nil
}

func (s *stream) take(p []byte) int {
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n
}

// next makes the next event pending, from another server when this one is lost.
// Events up to the last one passed on are left out, so that a resumed stream
// repeats none.
func (s *stream) next() {
	event, err := s.events.Next()
	if err != nil {
		s.lost(err)
		return
	}
	if event.ID >= 0 && event.ID <= s.lastID {
		return
	}
	if event.ID >= 0 {
		s.lastID = event.ID
	}
	s.pending = event.Raw
	if event.Done {
		s.ended = true
		s.outcome = failure.OutcomeAnswered
	}
}

// lost goes on at another server, or ends the stream with a typed event, never
// silently.
func (s *stream) lost(err error) {
	if errors.Is(err, io.EOF) {
		err = errors.New("the stream ended without [DONE]")
	}
	f := failure.Unknown(failure.StepRelay, s.answer.server, failure.CodeServerLost, err.Error())
	s.entry.settle(s.answer.events)
	s.x.tried = append(s.x.tried, s.answer.server)
	next, last := s.resume(f)
	if next != nil {
		s.switchTo(next)
		return
	}
	s.entry.logEnd(s.x, s.answer.server, last)
	s.ended = true
	s.pending = failureEvent(s.x, last)
}

// resume continues an idempotent stream at another server, after the last token
// that the caller got.
func (s *stream) resume(f *failure.Error) (*answer, *failure.Error) {
	a := &answer{failure: f}
	for s.x.intent.Idempotent && s.entry.mayRetry(s.ctx, s.x, a, false) {
		server, none := s.entry.choose(s.x, nil)
		if none != nil {
			return nil, f
		}
		a = s.entry.attempt(s.ctx, s.x, s.request, server, s.lastID)
		if a.failure == nil && a.events != nil {
			return a, nil
		}
		s.x.tried = append(s.x.tried, server)
		if a.failure == nil {
			return nil, failure.Unknown(failure.StepRelay, server, failure.CodeServerLost, "answered a resumed stream without one")
		}
	}
	return nil, a.failure
}

// Close implements io.Closer: the stream was written, or its caller left.
func (s *stream) Close() error {
	s.ended = true
	s.cancel()
	s.entry.settle(s.answer.events)
	s.entry.leave(s.x, s.outcome)
	return nil
}

// failureEvent is the last event of a cut stream.
func failureEvent(x *exchange, f *failure.Error) []byte {
	f = &failure.Error{
		Step: f.Step, Peer: f.Peer, Code: f.Code, Outcome: failure.OutcomeUnknown,
		RetryAfter: f.RetryAfter, Detail: f.Detail,
	}
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", httpapi.EncodeFailure(f, x.id))
}
