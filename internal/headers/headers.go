// Package headers defines the HTTP headers used between callers, entries, agents and backend
// servers, and encodes and decodes their values.
package headers

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/pkg/errors"
)

// Headers that callers send.
const (
	Class          = "X-Crowbridge-Class"
	Deadline       = "X-Crowbridge-Deadline-Ms"
	MayWait        = "X-Crowbridge-May-Wait"
	Idempotent     = "X-Crowbridge-Idempotent"
	IdempotencyKey = "Idempotency-Key"
)

// Headers that callers receive.
const (
	RequestID = "X-Crowbridge-Request-Id"
	Outcome   = "X-Crowbridge-Outcome"
	Server    = "X-Crowbridge-Server"
	Replayed  = "X-Crowbridge-Replayed"
)

// Headers between entry and agent.
const (
	DaemonKey    = "X-Crowbridge-Daemon-Key"
	Customer     = "X-Crowbridge-Customer"
	Weight       = "X-Crowbridge-Weight"
	Cost         = "X-Crowbridge-Cost"
	Step         = "X-Crowbridge-Step"
	Code         = "X-Crowbridge-Code"
	Detail       = "X-Crowbridge-Detail"
	RetryAfterMs = "X-Crowbridge-Retry-After-Ms"
	Load         = "X-Crowbridge-Load"
	Incarnation  = "X-Crowbridge-Incarnation"
	KeyClosed    = "X-Crowbridge-Key-Closed"
	WantServer   = "X-Crowbridge-Want-Server"
	Homes        = "X-Crowbridge-Homes"
	// Rest is how long, in milliseconds, the agent's server must get no new requests, because it
	// is resting, leaving or at its rate limit.
	Rest = "X-Crowbridge-Rest-Ms"
)

// Headers between agent and engine.
const (
	// ServerLeaving, in a server's response, marks the server as leaving: it gets no more
	// requests until it restarts.
	ServerLeaving = "X-Engine-Leaving"
	// ServerLimit, in a server's response, is its rate limit in requests per second. The limit
	// applies as long as the server's responses carry it.
	ServerLimit = "X-Engine-Limit"
	// Priority is the engine's scheduling priority; lower runs earlier.
	Priority = "X-Engine-Priority"
	// LastEventID resumes a stream after the given token offset. It is the standard header of
	// server-sent events.
	LastEventID = "Last-Event-ID"
)

// Envelope holds what an entry sends to an agent about a request besides the caller's own headers
// and body.
type Envelope struct {
	RequestID string
	Customer  string
	Weight    int
	Class     config.Class
	// Budget is the time left until the deadline when the envelope was sent. It is a duration
	// because the clocks of two VMs may differ.
	Budget     time.Duration
	Idempotent bool
	Key        string
	// Cost is the estimated cost in tokens.
	Cost float64
	// Server is the backend server that the request is for.
	Server string
	// Homes is the offset of the last change of the homes of the service's keys that the entry
	// has applied.
	Homes int64
}

// Write sets the envelope's headers in h.
func (e *Envelope) Write(h http.Header) {
	h.Set(RequestID, e.RequestID)
	h.Set(Customer, e.Customer)
	h.Set(Weight, strconv.Itoa(e.Weight))
	h.Set(Class, string(e.Class))
	h.Set(Deadline, strconv.FormatInt(e.Budget.Milliseconds(), 10))
	h.Set(Idempotent, strconv.FormatBool(e.Idempotent))
	h.Set(Cost, strconv.FormatFloat(e.Cost, 'f', -1, 64))
	h.Set(WantServer, e.Server)
	h.Set(Homes, strconv.FormatInt(e.Homes, 10))
	if e.Key != "" {
		h.Set(IdempotencyKey, e.Key)
	}
}

// ReadEnvelope decodes the headers that Envelope.Write sets. Its error names the invalid header.
func ReadEnvelope(h http.Header) (*Envelope, error) {
	weight, err := strconv.Atoi(h.Get(Weight))
	if err != nil {
		return nil, errors.Wrap(err, Weight)
	}
	budget, err := strconv.ParseInt(h.Get(Deadline), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, Deadline)
	}
	idempotent, err := strconv.ParseBool(h.Get(Idempotent))
	if err != nil {
		return nil, errors.Wrap(err, Idempotent)
	}
	cost, err := strconv.ParseFloat(h.Get(Cost), 64)
	if err != nil {
		return nil, errors.Wrap(err, Cost)
	}
	homes, err := strconv.ParseInt(h.Get(Homes), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, Homes)
	}
	return &Envelope{
		RequestID:  h.Get(RequestID),
		Customer:   h.Get(Customer),
		Weight:     weight,
		Class:      config.Class(h.Get(Class)),
		Budget:     time.Duration(budget) * time.Millisecond,
		Idempotent: idempotent,
		Key:        h.Get(IdempotencyKey),
		Cost:       cost,
		Server:     h.Get(WantServer),
		Homes:      homes,
	}, nil
}

// WriteFailure sets the headers that carry a failure from an agent to an entry.
func WriteFailure(h http.Header, f *failure.Error) {
	h.Set(Outcome, string(f.Outcome))
	h.Set(Step, string(f.Step))
	h.Set(Code, string(f.Code))
	h.Set(Detail, f.Detail)
	if f.RetryAfter > 0 {
		h.Set(RetryAfterMs, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
}

// ReadFailure decodes the headers that WriteFailure sets. It returns nil without them.
func ReadFailure(h http.Header, peer string) *failure.Error {
	if h.Get(Code) == "" {
		return nil
	}
	retryAfter, err := strconv.ParseInt(h.Get(RetryAfterMs), 10, 64)
	if err != nil {
		retryAfter = 0
	}
	return &failure.Error{
		Step:       failure.Step(h.Get(Step)),
		Peer:       peer,
		Code:       failure.Code(h.Get(Code)),
		Outcome:    failure.Outcome(h.Get(Outcome)),
		RetryAfter: time.Duration(retryAfter) * time.Millisecond,
		Detail:     h.Get(Detail),
	}
}

// WriteRest sets how long the agent's server must get no new requests, rounded up to
// milliseconds. It sets nothing if left isn't positive.
func WriteRest(h http.Header, left time.Duration) {
	if left > 0 {
		h.Set(Rest, strconv.FormatInt(int64(math.Ceil(float64(left)/float64(time.Millisecond))), 10))
	}
}

// ReadRest decodes the header that WriteRest sets. It returns 0 if the header is missing or
// invalid.
func ReadRest(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(Rest), 10, 64)
	if err != nil || ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
		return 0 // agents of earlier releases don't set it
	}
	return time.Duration(ms) * time.Millisecond
}

// LoadReport is an agent's load report, which it attaches to each of its responses.
type LoadReport struct {
	InFlight, Queued, Limit int
	Leaving                 bool
	ServiceTime             time.Duration
}

// String encodes the report for the Load header.
func (l LoadReport) String() string {
	leaving := "0"
	if l.Leaving {
		leaving = "1"
	}
	b := make([]byte, 0, 32)
	b = strconv.AppendInt(b, int64(l.InFlight), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(l.Queued), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(l.Limit), 10)
	b = append(b, ' ')
	b = append(b, leaving...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, l.ServiceTime.Microseconds(), 10)
	return string(b)
}

const loadFields = 5

// ParseLoadReport decodes the value that LoadReport.String returns.
func ParseLoadReport(s string) (LoadReport, bool) {
	var fields [loadFields]int64
	rest := s
	for i := range fields {
		end := 0
		for end < len(rest) && rest[end] != ' ' {
			end++
		}
		value, err := strconv.ParseInt(rest[:end], 10, 64)
		if err != nil {
			return LoadReport{}, false
		}
		fields[i] = value
		rest = rest[min(end+1, len(rest)):]
	}
	return LoadReport{
		InFlight: int(fields[0]), Queued: int(fields[1]), Limit: int(fields[2]),
		Leaving: fields[3] == 1, ServiceTime: time.Duration(fields[4]) * time.Microsecond,
	}, true
}
