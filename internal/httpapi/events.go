package httpapi

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Event is one server-sent event.
type Event struct {
	// Raw holds the event's unmodified lines and the blank line that ends it. It is valid until
	// the next call of Next.
	Raw []byte
	// ID is the event's token offset, or -1 if it has none.
	ID int64
	// HasData is set if the event has data; without, it is a comment that keeps the connection alive.
	HasData bool
	// Done is set if this event ends the stream.
	Done bool
	// marked is set if Raw begins with the byte order mark of its stream.
	marked bool
}

// Unmarked returns Raw without the byte order mark of its stream.
func (e Event) Unmarked() []byte {
	if e.marked {
		return e.Raw[len(byteOrderMark):]
	}
	return e.Raw
}

// IsEventStream reports whether a Content-Type is that of server-sent events.
func IsEventStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}

// EventReader splits a stream into events.
type EventReader struct {
	reader *bufio.Reader
	raw    []byte
	// begun is set after the first line, which a byte order mark may precede.
	begun bool
	// withoutData counts the bytes since the last event with data or an ID.
	withoutData int
	// returned is set if raw holds an event that Next returned, rather than the beginning of one.
	returned bool
}

const (
	eventBuffer = 32 << 10
	// maxEventBytes limits the memory that one event can take, and the bytes of comments in a row: a
	// stream that goes on without an event isn't a response.
	maxEventBytes = 1 << 20
)

// ErrEventTooLong is returned for an event that exceeds the size limit.
var ErrEventTooLong = errors.New("server-sent event, or comments without an event, exceed 1 MiB")

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
	endMarker = []byte("[DONE]")
	eventEnd  = []byte("\n\n")

	byteOrderMark = []byte("\ufeff")
)

// NewEventReader returns a reader of server-sent events.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the next event. It returns io.ErrUnexpectedEOF for a stream that ends inside an
// event, so that partial events are never forwarded.
func (r *EventReader) Next() (Event, error) {
	event := Event{ID: -1, Raw: r.raw[:0]}
	r.returned = false
	defer func() { r.raw = event.Raw }()
	lineStart := 0
	for {
		part, err := r.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, part...)
		if len(event.Raw) > maxEventBytes {
			return Event{}, ErrEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(event.Raw) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(event.Raw[lineStart:], "\r\n")
		if !r.begun {
			line, event.marked = bytes.CutPrefix(line, byteOrderMark)
			r.begun = true
		}
		if len(line) == 0 {
			if err := r.limitComments(event); err != nil {
				return Event{}, err
			}
			r.returned = true
			return event, nil
		}
		event.readField(line)
		lineStart = len(event.Raw)
	}
}

// limitComments returns an error once too many bytes have come without an event.
func (r *EventReader) limitComments(event Event) error {
	r.withoutData += len(event.Raw)
	if event.HasData || event.ID >= 0 {
		r.withoutData = 0
	}
	if r.withoutData > maxEventBytes {
		return ErrEventTooLong
	}
	return nil
}

// Unfinished reports whether the reader holds a part of an event that Next hasn't returned, and returns
// that event's ID, or -1 if it hasn't arrived whole. A comment is no event. Where streams have an end
// event, only an ID counts, or data that can't be the beginning of the end event.
func (r *EventReader) Unfinished(hasEndEvent bool) (id int64, ok bool) {
	held, _ := r.reader.Peek(r.reader.Buffered()) // never fails for buffered bytes
	if !r.returned {
		held = slices.Concat(r.raw, held)
	}
	id = -1
	for line := range bytes.Lines(held) {
		content := bytes.TrimRight(line, "\r\n")
		whole := len(content) < len(line)
		if value, found := bytes.CutPrefix(content, idField); found && whole {
			id, _ = ParseEventID(string(value))
			ok = ok || id >= 0
		}
		data, hasData := bytes.CutPrefix(content, dataField)
		switch data = bytes.TrimPrefix(data, []byte(" ")); {
		case !hasEndEvent:
			ok = ok || len(content) > 0 && content[0] != ':'
		case hasData:
			mayBeEnd := bytes.Equal(data, endMarker) || !whole && bytes.HasPrefix(endMarker, data)
			ok = ok || !mayBeEnd
		}
	}
	return id, ok
}

// Ready reports whether a whole event is buffered, so that Next doesn't block.
func (r *EventReader) Ready() bool {
	arrived, err := r.reader.Peek(r.reader.Buffered())
	return err == nil && bytes.Contains(arrived, eventEnd)
}

// ParseEventID parses an event's ID, or the ID of the last event that a caller has. ok is false for
// a value that isn't a number of at least 0; id is -1 then.
func ParseEventID(value string) (id int64, ok bool) {
	id, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	if err != nil || id < 0 {
		return -1, false
	}
	return id, true
}

func (e *Event) readField(line []byte) {
	if bytes.HasPrefix(line, idField) {
		if id, ok := ParseEventID(string(line[len(idField):])); ok {
			e.ID = id
		}
	}
	if data, ok := bytes.CutPrefix(line, dataField); ok {
		e.HasData = true
		e.Done = e.Done || bytes.Equal(bytes.TrimPrefix(data, []byte(" ")), endMarker)
	}
}
