package dispatch

import (
	"fmt"
	"io"

	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/pkg/errors"
)

// callerResponse is the response that the caller of one request receives. Attempts reach the caller
// through it alone, and it keeps this invariant: the caller receives the response of one server,
// and no response looks complete that isn't; see ConfirmEnd for bodies that only the end of their
// connection delimits. If a stream breaks off, only a stream of another server may follow, with the
// events after the last one sent.
type callerResponse struct {
	writer ResponseWriter
	// hasEndEvent is set when complete streams end with an end event.
	hasEndEvent bool
	// source is the accepted response; stream is set if it is relayed event by event.
	source *Response
	stream bool
	// started is set once the header has been sent, with the given status.
	started bool
	status  int
	// pending holds the events that haven't been sent; position is that after them.
	pending  []byte
	position streamPosition
}

func newCallerResponse(w ResponseWriter, r *Request, hasEndEvent bool) callerResponse {
	return callerResponse{writer: w, hasEndEvent: hasEndEvent, position: newStreamPosition(r)}
}

// errNoEndEvent is the error of a stream that ends without its end event.
var errNoEndEvent = errors.New("stream ended without its end event")

// errCallerGone is the error of writes to a caller that has disconnected.
var errCallerGone = errors.New("caller disconnected")

// accept makes a server's response the source of the caller's response, or returns why it may not
// follow what the caller has received.
func (c *callerResponse) accept(response *Response, stream bool) error {
	if c.started && (!stream || !c.resumable()) {
		return errors.Errorf("the response has status %d and doesn't continue the caller's stream", response.Status)
	}
	c.source, c.stream = response, stream
	c.position.beginResponse()
	return nil
}

// start sends the header, once.
func (c *callerResponse) start(length int64) {
	if c.started {
		return
	}
	c.started, c.status = true, c.source.Status
	c.writer.Start(c.source.Status, c.source.Header, length)
}

// write sends bytes of the body. An error wraps errCallerGone.
func (c *callerResponse) write(data []byte) error {
	if err := c.writer.Write(data); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// resumable reports whether another server can continue a response that has started.
func (c *callerResponse) resumable() bool { return c.stream && c.position.resumable() }

// addEvent adds an event to the pending ones. It reports false if the caller has it already. An
// error means that the stream is invalid.
func (c *callerResponse) addEvent(event httpapi.Event) (bool, error) {
	if c.isEnd(event) {
		c.position.finishEnd(event.ID)
		if err := c.position.checkEnd(); err != nil {
			return false, err
		}
	} else if added, err := c.position.add(event); err != nil || !added {
		return false, err
	}
	raw := event.Raw
	if c.started || len(c.pending) > 0 {
		raw = event.Unmarked() // a byte order mark has a meaning only at the start
	}
	c.pending = append(c.pending, raw...)
	return true, nil
}

// isEnd reports whether the event marks the end of the stream. Its ID, if any, isn't a position.
func (c *callerResponse) isEnd(event httpapi.Event) bool { return c.hasEndEvent && event.Done }

// sendPending sends the pending events, after the header if that hasn't been sent.
func (c *callerResponse) sendPending() error {
	c.start(-1)
	err := c.write(c.pending)
	c.pending = c.pending[:0]
	return err
}

// breakOff ends the accepted stream after an error. The pending events are sent if others have been
// sent; otherwise the stream may restart from the beginning, and they are dropped.
func (c *callerResponse) breakOff() error {
	if !c.started {
		c.pending = c.pending[:0]
		c.position.restart()
	}
	if len(c.pending) == 0 {
		return nil
	}
	return c.sendPending()
}

// recordUnfinished records the event inside which the accepted stream is left, if any.
func (c *callerResponse) recordUnfinished(reader *httpapi.EventReader) {
	if id, ok := reader.Unfinished(c.hasEndEvent); ok {
		c.position.breakInside(id)
	}
}

// completedBy reports whether the accepted stream is complete after the result of EventReader.Next,
// and returns its error otherwise. Where streams have an end event, the end of the body alone doesn't
// complete them.
func (c *callerResponse) completedBy(event httpapi.Event, err error) (bool, error) {
	if !errors.Is(err, io.EOF) {
		return err == nil && c.isEnd(event), err
	}
	if c.hasEndEvent {
		return false, errNoEndEvent
	}
	err = c.position.checkEnd()
	return err == nil, err
}
