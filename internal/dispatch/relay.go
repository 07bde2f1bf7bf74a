package dispatch

import (
	"context"
	"io"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/pkg/errors"
)

// maxBufferedResponse is the size, in bytes, below which a response is read completely before it
// is relayed, so that the request can be retried if the response is truncated.
const maxBufferedResponse = 256 << 10

// relayResponse relays the accepted response, which isn't a stream.
func (p *Pipeline) relayResponse(ctx context.Context, x *exchange, server *fleet.Server) *failure.Error {
	response := x.caller.source
	head, whole, err := ReadAhead(response.Body, maxBufferedResponse, x.request.Hold)
	if err == nil && whole {
		err = p.confirmEnd(ctx, x, server)
	}
	if err != nil {
		return p.handleBrokenResponse(ctx, x, server, err)
	}
	length := response.Length
	if whole {
		length = int64(len(head))
	}
	x.caller.start(length)
	if err := x.caller.write(head); err != nil {
		return p.handleBrokenResponse(ctx, x, server, err)
	}
	if whole {
		return nil
	}
	return p.copyRest(ctx, x, server)
}

const (
	// firstReadAhead is the first size of the buffer for a response, in bytes, and readAheadGrowth by how much it grows.
	firstReadAhead  = 4 << 10
	readAheadGrowth = 4
)

// ReadAhead reads a body of less than limit bytes whole. Of a longer one, or one for which hold gives no memory, it returns what
// it has read. hold may be nil.
func ReadAhead(body io.Reader, limit int, hold func(n int64) error) (head []byte, whole bool, err error) {
	for {
		if len(head) == cap(head) {
			size := min(max(firstReadAhead, readAheadGrowth*cap(head)), limit)
			if size == cap(head) || hold != nil && hold(int64(size)) != nil {
				return head, false, nil
			}
			head = append(make([]byte, 0, size), head...)
		}
		n, err := body.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if errors.Is(err, io.EOF) {
			return head, true, nil
		}
		if err != nil {
			return head, false, err
		}
	}
}

// copyRest relays the part of a body that exceeds the buffer.
func (p *Pipeline) copyRest(ctx context.Context, x *exchange, server *fleet.Server) *failure.Error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := x.caller.source.Body.Read(buffer)
		if n > 0 {
			if err := x.caller.write(buffer[:n]); err != nil {
				return p.handleBrokenResponse(ctx, x, server, err)
			}
		}
		end := errors.Is(err, io.EOF)
		if end {
			err = p.confirmEnd(ctx, x, server)
		}
		if err != nil {
			return p.handleBrokenResponse(ctx, x, server, err)
		}
		if end {
			return nil
		}
	}
}

// handleBrokenResponse returns the failure of a truncated response.
func (p *Pipeline) handleBrokenResponse(ctx context.Context, x *exchange, server *fleet.Server, err error) *failure.Error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) || errors.Is(cause, errUnresponsive) || errors.Is(cause, errUnanswered) {
		return failure.Unknown(failure.StepRelay, server.ID, failure.CodeSlow, cause.Error())
	}
	if errors.Is(err, errUnknownEvent) {
		return failure.Unknown(failure.StepRelay, server.ID, failure.CodeNotResumed, err.Error())
	}
	code := failure.CodeServerLost
	switch {
	case errors.Is(err, ErrServerExited):
		code = failure.CodeEndUnconfirmed
	case !isInvalidStream(err):
		p.recordConnectionLoss(ctx, x, server, err)
	}
	if ctx.Err() == nil && !errors.Is(err, errCallerGone) {
		p.chooser.RecordFailure(server.Key(), p.now())
	}
	return failure.Unknown(failure.StepRelay, server.ID, code, err.Error())
}

// relayStream relays complete events of the accepted response as they arrive. Nothing is sent to
// the caller before the first event, so that a stream without any can be retried.
func (p *Pipeline) relayStream(ctx context.Context, x *exchange, server *fleet.Server, detector *stallDetector) *failure.Error {
	reader := httpapi.NewEventReader(x.caller.source.Body)
	for first := true; ; first = false {
		event, err := reader.Next()
		if err == nil {
			err = p.recordEvent(x, server, detector, event, first)
		} else {
			x.caller.recordUnfinished(reader)
		}
		done, err := x.caller.completedBy(event, err)
		if done {
			err = p.confirmEnd(ctx, x, server)
		}
		if err != nil {
			return p.handleBrokenStream(ctx, x, server, err)
		}
		if !done && (reader.Ready() || len(x.caller.pending) == 0) {
			continue
		}
		if err := p.sendPending(x); err != nil {
			return p.handleBrokenResponse(ctx, x, server, err)
		}
		if done {
			countStreamEnd(x)
			return nil
		}
		if f := p.migrateStream(x, server); f != nil {
			x.caller.recordUnfinished(reader)
			return f
		}
	}
}

// recordEvent records an event of a stream and makes it pending unless the caller has it. The first
// event of a stream doesn't show that its group makes progress.
func (p *Pipeline) recordEvent(x *exchange, server *fleet.Server, detector *stallDetector, event httpapi.Event, first bool) error {
	if !first {
		p.balancer.recordEvent(server, p.now())
	}
	if first {
		p.recordFirstByte(x)
	}
	detector.recordEvent()
	added, err := x.caller.addEvent(event)
	switch {
	case err != nil:
	case added:
		x.part.recordEvent(event.ID)
	default:
		x.part.recordRepeated()
	}
	return err
}

// sendPending sends the pending events of a stream.
func (p *Pipeline) sendPending(x *exchange) error {
	if !x.caller.started {
		observeFirstEvent(x, p.now())
	}
	x.lastEventAt = p.now()
	return x.caller.sendPending()
}

// handleBrokenStream returns the failure of a stream that broke off.
func (p *Pipeline) handleBrokenStream(ctx context.Context, x *exchange, server *fleet.Server, err error) *failure.Error {
	if writeErr := x.caller.breakOff(); writeErr != nil {
		err = writeErr
	}
	return p.handleBrokenResponse(ctx, x, server, err)
}
