package dispatch

import (
	"bytes"

	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/pkg/errors"
)

// streamPosition tracks which events of a stream the caller has, over the responses of all servers
// that contribute to it. IDs are -1 if there is none.
type streamPosition struct {
	// initial is the ID of the last event that the caller had when it sent the request.
	initial int64
	// last is the ID of the last event that the caller has.
	last int64
	// resumedAfter is the value of last when the current response began.
	resumedAfter int64
	// source is the ID of the last event of the current response that has one, sourceRaw its bytes.
	source    int64
	sourceRaw []byte
	// ambiguous is set once last doesn't tell which events the caller has.
	ambiguous bool
	// unfinished is set while a response is known to have had an event that the caller doesn't have,
	// unfinishedID is that event's ID, or -1 if any event after last may be it.
	unfinished   bool
	unfinishedID int64
	gaps         eventGaps
}

func newStreamPosition(r *Request) streamPosition {
	initial := int64(-1)
	if r.Resume {
		initial = r.LastEventID
	}
	return streamPosition{initial: initial, last: initial, resumedAfter: initial, source: -1, unfinishedID: -1, gaps: noEventGaps}
}

// errEventOrder is the error of a stream whose event IDs go back.
var errEventOrder = errors.New("event IDs of one response go back")

// errEventMissing is the error of a stream that ends before an event that another response had.
var errEventMissing = errors.New("stream ended before an event that an earlier response had begun")

// errShorterRun is the error of a response that ends before the events that the caller has.
var errShorterRun = errors.New("response ended before the caller's last event")

// errUnknownEvent is the error of a stream that the caller asked to resume after an event that the
// server doesn't know.
var errUnknownEvent = errors.New("the caller's last event is past the end of the stream: request it from the start")

// isInvalidStream reports whether a stream failed by its events, not by the loss of its connection.
func isInvalidStream(err error) bool {
	return errors.Is(err, errEventOrder) || errors.Is(err, errEventMissing) || errors.Is(err, errShorterRun) ||
		errors.Is(err, errUnknownEvent)
}

// checkEnd returns an error if the stream may not end here. A response that started over and has
// fewer events than the caller is of another run, and its end isn't that of the caller's stream.
func (p *streamPosition) checkEnd() error {
	if p.unfinished {
		return errEventMissing
	}
	if p.source >= 0 && p.source < p.resumedAfter {
		if p.resumedAfter == p.initial {
			return errors.Wrapf(errUnknownEvent, "Last-Event-Id %d, last event %d", p.initial, p.source)
		}
		return errors.Wrapf(errShorterRun, "last event %d, the caller's %d", p.source, p.resumedAfter)
	}
	return nil
}

// beginResponse makes the following events those of another response.
func (p *streamPosition) beginResponse() { p.resumedAfter, p.source = p.last, -1 }

// restart forgets the events that were added: none has been sent to the caller. The next server may
// run the request anew, so that its events may have other IDs, but there are some.
func (p *streamPosition) restart() {
	p.unfinished = p.unfinished || p.last > p.initial || p.ambiguous
	p.last, p.ambiguous, p.unfinishedID = p.initial, false, -1
	p.gaps = noEventGaps
}

// breakInside records that the current response ended inside an event, whose ID is -1 if unknown. It
// may be one that the caller has, if the server repeats events.
func (p *streamPosition) breakInside(id int64) {
	if id < 0 && p.source < p.resumedAfter || id >= 0 && id <= p.last {
		return
	}
	p.unfinished, p.unfinishedID = true, max(p.unfinishedID, id)
}

// resumable reports whether another server can send the events that the caller doesn't have.
func (p *streamPosition) resumable() bool { return p.last >= 0 && !p.ambiguous }

// advanced reports whether the current response has brought an event that the caller didn't have.
func (p *streamPosition) advanced() bool { return p.last > p.resumedAfter || p.ambiguous }

// add moves the position past the next event of the current response. It reports false if the
// caller has the event already. If the IDs of the response go back, what it left out or repeats
// can't be known: that is an error, and the stream can't be resumed.
func (p *streamPosition) add(event httpapi.Event) (bool, error) {
	if event.ID < 0 {
		p.ambiguous = p.ambiguous || event.HasData
		if event.HasData {
			p.finish(event.ID)
		}
		return true, nil
	}
	if event.ID < p.source {
		p.ambiguous = true
		return false, errors.Wrapf(errEventOrder, "event %d after event %d", event.ID, p.source)
	}
	repeated := event.ID <= p.resumedAfter || event.ID == p.source && bytes.Equal(event.Raw, p.sourceRaw)
	p.source, p.sourceRaw = event.ID, append(p.sourceRaw[:0], event.Raw...)
	if repeated {
		return false, nil
	}
	p.gaps.record(p.last, event.ID, p.last > p.resumedAfter)
	p.last = event.ID
	p.finish(event.ID)
	return true, nil
}

// finish records that the caller receives an event, which may be or follow the unfinished one.
func (p *streamPosition) finish(id int64) {
	if id >= p.unfinishedID {
		p.unfinished, p.unfinishedID = false, -1
	}
}

// finishEnd records that the end event arrives, which may be the unfinished event if that has an ID.
func (p *streamPosition) finishEnd(id int64) {
	if p.unfinishedID >= 0 {
		p.finish(id)
	}
}
