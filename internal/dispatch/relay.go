package dispatch

import (
	"context"
	"fmt"
	"io"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/pkg/errors"
)

// bufferedAnswer is the largest answer, in bytes, that is read whole before the
// caller gets any of it, so that one that breaks off can be asked for again.
const bufferedAnswer = 256 << 10

// errUnended says that a stream stopped without the event that ends it.
var errUnended = errors.New("the stream ended without its last event")

// errCaller says that the caller takes no more of its answer.
var errCaller = errors.New("the caller takes no more")

// callerError says why.
func callerError(err error) error { return fmt.Errorf("%w: %w", errCaller, err) }

// relayAnswer passes a plain answer on.
func (p *Pipeline) relayAnswer(ctx context.Context, x *exchange, server *fleet.Server, a *Response, caller ResponseWriter) *failure.Error {
	head, err := io.ReadAll(io.LimitReader(a.Body, bufferedAnswer))
	if err != nil {
		return p.brokenOff(ctx, x, server, err)
	}
	length := a.Length
	whole := len(head) < bufferedAnswer
	if whole {
		length = int64(len(head))
	}
	x.begun, x.status = true, a.Status
	caller.Start(a.Status, a.Header, length)
	if err := caller.Write(head); err != nil {
		return p.brokenOff(ctx, x, server, callerError(err))
	}
	if whole {
		return nil
	}
	return p.copyRest(ctx, x, server, a, caller)
}

func (p *Pipeline) copyRest(ctx context.Context, x *exchange, server *fleet.Server, a *Response, caller ResponseWriter) *failure.Error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if err := caller.Write(buffer[:n]); err != nil {
				return p.brokenOff(ctx, x, server, callerError(err))
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return p.brokenOff(ctx, x, server, err)
		}
	}
}

// brokenOff explains an answer that ended too early.
func (p *Pipeline) brokenOff(ctx context.Context, x *exchange, server *fleet.Server, err error) *failure.Error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) || errors.Is(cause, errSilent) {
		return failure.Unknown(failure.StepRelay, server.ID, failure.CodeSlow, cause.Error())
	}
	p.noteCutOff(ctx, x, server, err)
	if ctx.Err() == nil && !errors.Is(err, errCaller) {
		p.chooser.RecordFailure(server.Key(), p.now())
	}
	return failure.Unknown(failure.StepRelay, server.ID, failure.CodeServerLost, err.Error())
}

// relayStream passes whole events on as they come. Nothing reaches the caller
// before the first one, so that a stream without any can be asked for again.
func (p *Pipeline) relayStream(ctx context.Context, x *exchange, server *fleet.Server, a *Response, caller ResponseWriter, watch *stallWatch) *failure.Error {
	reader := httpapi.NewEventReader(a.Body)
	var pending []byte
	begun := false
	for {
		event, err := reader.Next()
		if err == nil {
			if begun { // a first event alone doesn't show that its group goes on
				p.board.sawEvent(server, p.now())
			}
			begun = true
			watch.sawEvent()
		}
		if err == nil && (event.ID < 0 || event.ID > x.lastEvent) {
			pending = append(pending, event.Raw...)
			x.lastEvent = max(x.lastEvent, event.ID)
		}
		ended := errors.Is(err, io.EOF)
		if x.HasEndEvent && ended {
			ended, err = false, errUnended
		}
		if x.HasEndEvent && err == nil && event.Done {
			ended = true
		}
		if ended || (err == nil && !reader.Ready()) {
			if p.begin(x, a, caller); caller.Write(pending) != nil {
				return p.brokenOff(ctx, x, server, errCaller)
			}
			pending = pending[:0]
			if ended {
				return nil
			}
			if f := p.moveAway(x, server); f != nil {
				return f
			}
		}
		if err != nil {
			return p.brokenStream(ctx, x, server, pending, caller, err)
		}
	}
}

// begin starts the caller's answer, once.
func (p *Pipeline) begin(x *exchange, a *Response, caller ResponseWriter) {
	if x.begun {
		return
	}
	x.begun, x.status = true, a.Status
	countFirstByte(x, p.now())
	caller.Start(a.Status, a.Header, -1)
}

// brokenStream passes on what came before the break.
func (p *Pipeline) brokenStream(ctx context.Context, x *exchange, server *fleet.Server, pending []byte, caller ResponseWriter, err error) *failure.Error {
	if len(pending) > 0 && x.begun && caller.Write(pending) != nil {
		return p.brokenOff(ctx, x, server, errCaller)
	}
	if !x.begun {
		x.lastEvent = -1
	}
	return p.brokenOff(ctx, x, server, err)
}
