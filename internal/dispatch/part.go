package dispatch

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// Framing is how a response delimits its body (RFC 9112, section 6.3).
type Framing string

// Framings of responses.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	// FramingClose delimits the body by the end of the connection. The body of a server that exits
	// midway looks complete unless the connection is reset.
	FramingClose Framing = "close"
)

// FramingOf returns the framing of a response that net/http received.
func FramingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramingLength
	case slices.Contains(r.TransferEncoding, "chunked"):
		return FramingChunked
	default:
		return FramingClose
	}
}

// responsePart describes what the response to one attempt contributed to the caller's response.
type responsePart struct {
	server  string
	status  int
	framing Framing
	// resumption is set if the caller had received a part before.
	resumption bool
	// events counts the events that the caller didn't have yet, repeated the others.
	events, repeated int
	// first and last are the IDs of the first and the last of the events that have one, or -1.
	first, last int64
}

// recordEvent records an event that the caller didn't have yet.
func (p *responsePart) recordEvent(id int64) {
	p.events++
	if id < 0 {
		return
	}
	if p.first < 0 {
		p.first = id
	}
	p.last = id
}

// recordRepeated records an event that the caller already had.
func (p *responsePart) recordRepeated() {
	p.repeated++
	metrics.GetOrCreateCounter(`crowbridge_stream_events_repeated_total`).Inc()
}

// String formats the part for the log.
func (p *responsePart) String() string {
	return fmt.Sprintf("%s status=%d framing=%s events=%d ids=%d..%d repeated=%d",
		p.server, p.status, p.framing, p.events, p.first, p.last, p.repeated)
}

// formatParts formats parts for the log.
func formatParts(parts []*responsePart) []string {
	formatted := make([]string, len(parts))
	for i, part := range parts {
		formatted[i] = part.String()
	}
	return formatted
}

// addPart records that a response was received. A response to a resumption is counted.
func (x *exchange) addPart(server *fleet.Server, response *Response) {
	x.part = &responsePart{server: server.ID, status: response.Status, framing: response.Framing, resumption: x.caller.started, first: -1, last: -1}
	x.parts = append(x.parts, x.part)
	if x.part.resumption {
		metrics.GetOrCreateCounter(fmt.Sprintf(`crowbridge_stream_resumptions_total{status="%d"}`, response.Status)).Inc()
	}
}

// countStreamEnd counts a stream that was relayed to its end.
func countStreamEnd(x *exchange) {
	end := "body"
	if x.HasEndEvent {
		end = "event"
	}
	metrics.GetOrCreateCounter(`crowbridge_streams_completed_total{end="` + end + `",framing="` + string(x.caller.source.Framing) + `"}`).Inc()
	if x.part.resumption && !x.caller.position.advanced() {
		metrics.GetOrCreateCounter(`crowbridge_streams_completed_without_events_total`).Inc()
	}
}
