package frontend

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/sirupsen/logrus"
)

// maxInFlightLines bounds the lines that list the requests in flight at a planned stop.
const maxInFlightLines = 200

// inFlight is a request from the end of its header to the end of its response. The tracker's mu
// guards its fields.
type inFlight struct {
	id        string
	beganAt   time.Time
	bodyBytes int64
	// readAt is when the request had been read completely, or zero.
	readAt time.Time
	// conn controls the connection; readingBody is set while the body is being read from it.
	conn        *http.ResponseController
	readingBody bool
}

// StopCounts counts the requests of a planned stop by what became of them.
type StopCounts struct {
	// InFlight requests were in flight when the stop began; Read have been read completely since.
	InFlight, Read int
	// Served requests got a server's response, Refused ones have not run, Failed ones may have run.
	// Cut ones were canceled at the end of the grace period. Unread ones weren't read completely.
	Served, Refused, Failed, Cut, Unread int
}

// tracker keeps the requests in flight and counts them during a planned stop.
type tracker struct {
	now func() time.Time
	log *logrus.Entry

	mu       sync.Mutex // leaf lock: guards the fields below
	requests map[*inFlight]struct{}
	stopping bool
	// ended is set once requests that aren't complete are no longer read.
	ended  bool
	counts StopCounts
}

func newTracker(now func() time.Time, log *logrus.Entry) *tracker {
	return &tracker{now: now, log: log, requests: map[*inFlight]struct{}{}}
}

// begin adds a request whose header has been read.
func (t *tracker) begin(id string, w http.ResponseWriter) *inFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &inFlight{id: id, beganAt: t.now(), conn: http.NewResponseController(w)}
	t.requests[r] = struct{}{}
	return r
}

// beginBody bounds the time to read a request's body.
func (t *tracker) beginBody(r *inFlight, deadline time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.readingBody = true
	if t.ended {
		deadline = time.Now()
	}
	return r.conn.SetReadDeadline(deadline)
}

// endBody ends the reading of a request's body. If it is whole, the bound of beginBody ends as well.
func (t *tracker) endBody(r *inFlight, whole bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.readingBody = false
	if !whole {
		return nil
	}
	return r.conn.SetReadDeadline(time.Time{})
}

// endReads ends the reading of bodies that aren't complete.
func (t *tracker) endReads() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	for r := range t.requests {
		if r.readingBody {
			_ = r.conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
		}
	}
}

// readsEnded reports whether endReads has been called.
func (t *tracker) readsEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// read records that a request has been read completely.
func (t *tracker) read(r *inFlight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.readAt = t.now()
	if t.stopping {
		t.counts.Read++
	}
}

// addBody counts received bytes of a request's body.
func (t *tracker) addBody(r *inFlight, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.bodyBytes += int64(n)
}

// end removes a request. f is its failure, or nil.
func (t *tracker) end(r *inFlight, f *failure.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, r)
	if !t.stopping {
		return
	}
	switch {
	case f == nil:
		t.counts.Served++
	case r.readAt.IsZero():
		t.counts.Unread++
	case f.Outcome == failure.OutcomeNotRun:
		t.counts.Refused++
	case f.Code == failure.CodeLeaving:
		t.counts.Cut++
	default:
		t.counts.Failed++
	}
}

// beginStop begins a planned stop and logs the requests in flight.
func (t *tracker) beginStop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return
	}
	t.stopping = true
	t.counts.InFlight = len(t.requests)
	lines := 0
	for r := range t.requests {
		if lines++; lines > maxInFlightLines {
			break
		}
		t.log.WithFields(t.fields(r)).Info("in flight at the planned stop")
	}
}

// fields describes a request. The caller holds t.mu.
func (t *tracker) fields(r *inFlight) logrus.Fields {
	return logrus.Fields{
		"request": r.id, "age_ms": t.now().Sub(r.beganAt).Milliseconds(),
		"body_bytes": r.bodyBytes, "whole": !r.readAt.IsZero(),
	}
}

// logUnread logs that a request wasn't read completely.
func (t *tracker) logUnread(r *inFlight, f *failure.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log.WithFields(t.fields(r)).WithFields(logrus.Fields{
		"outcome": f.Outcome, "code": f.Code, "cause": f.Detail, "retry_after_ms": f.RetryAfter.Milliseconds(),
	}).Warn("request not read")
}

// stopCounts returns the counts since beginStop.
func (t *tracker) stopCounts() StopCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// countingBody counts the bytes of a request's body as they arrive.
type countingBody struct {
	io.Reader
	tracker *tracker
	request *inFlight
}

// Read implements io.Reader.
func (b countingBody) Read(data []byte) (int, error) {
	n, err := b.Reader.Read(data)
	b.tracker.addBody(b.request, n)
	return n, err
}
