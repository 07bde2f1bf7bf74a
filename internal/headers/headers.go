// Package headers defines the headers that requests carry between callers,
// entries, agents and backend servers.
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
	HeaderClass          = "X-Crowbridge-Class"
	HeaderDeadline       = "X-Crowbridge-Deadline-Ms"
	HeaderMayWait        = "X-Crowbridge-May-Wait"
	HeaderIdempotent     = "X-Crowbridge-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers that callers receive.
const (
	HeaderRequestID = "X-Crowbridge-Request-Id"
	HeaderOutcome   = "X-Crowbridge-Outcome"
	HeaderServer    = "X-Crowbridge-Server"
	HeaderReplayed  = "X-Crowbridge-Replayed"
)

// Headers between entry and agent.
const (
	HeaderAuth         = "X-Crowbridge-Daemon-Key"
	HeaderCustomer     = "X-Crowbridge-Customer"
	HeaderWeight       = "X-Crowbridge-Weight"
	HeaderCost         = "X-Crowbridge-Cost"
	HeaderStep         = "X-Crowbridge-Step"
	HeaderCode         = "X-Crowbridge-Code"
	HeaderDetail       = "X-Crowbridge-Detail"
	HeaderRetryAfterMs = "X-Crowbridge-Retry-After-Ms"
	HeaderLoad         = "X-Crowbridge-Load"
	HeaderIncarnation  = "X-Crowbridge-Incarnation"
	HeaderKeyClosed    = "X-Crowbridge-Key-Closed"
	HeaderWantServer   = "X-Crowbridge-Want-Server"
	HeaderHomes        = "X-Crowbridge-Homes"
	// HeaderRest is for how many milliseconds the agent starts nothing at its server, by
	// the server's word.
	HeaderRest = "X-Crowbridge-Rest-Ms"
)

// Headers between agent and engine.
const (
	// HeaderServerLeaving in a server's answer says that it leaves: it gets nothing more
	// before its next start.
	HeaderServerLeaving = "X-Engine-Leaving"
	// HeaderServerLimit in a server's answer names how many requests a second it takes, for
	// as long as its answers name it.
	HeaderServerLimit = "X-Engine-Limit"
	// HeaderPriority is the engine's scheduling priority; lower runs earlier.
	HeaderPriority = "X-Engine-Priority"
	// HeaderLastEventID resumes a stream after that token offset; it is the
	// standard header of server-sent events.
	HeaderLastEventID = "Last-Event-ID"
)

// Envelope is what an entry tells an agent about a request besides the
// caller's own headers and body.
type Envelope struct {
	RequestID string
	Customer  string
	Weight    int
	Class     config.Class
	// Budget is the time left until the deadline when the envelope was sent. A
	// duration, so that the clocks of two VMs needn't agree.
	Budget     time.Duration
	Idempotent bool
	Key        string
	// Cost is the estimated cost in tokens.
	Cost float64
	// Server is the backend server the entry means to reach.
	Server string
	// Homes is the offset of the last change of where the service's keys live, as
	// the entry knows it.
	Homes int64
}

// Write sets the envelope's headers.
func (e *Envelope) Write(h http.Header) {
	h.Set(HeaderRequestID, e.RequestID)
	h.Set(HeaderCustomer, e.Customer)
	h.Set(HeaderWeight, strconv.Itoa(e.Weight))
	h.Set(HeaderClass, string(e.Class))
	h.Set(HeaderDeadline, strconv.FormatInt(e.Budget.Milliseconds(), 10))
	h.Set(HeaderIdempotent, strconv.FormatBool(e.Idempotent))
	h.Set(HeaderCost, strconv.FormatFloat(e.Cost, 'f', -1, 64))
	h.Set(HeaderWantServer, e.Server)
	h.Set(HeaderHomes, strconv.FormatInt(e.Homes, 10))
	if e.Key != "" {
		h.Set(HeaderIdempotencyKey, e.Key)
	}
}

// ReadEnvelope reads what Write set.
func ReadEnvelope(h http.Header) (*Envelope, error) {
	weight, err := strconv.Atoi(h.Get(HeaderWeight))
	if err != nil {
		return nil, errors.Wrap(err, HeaderWeight)
	}
	budget, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, HeaderDeadline)
	}
	idempotent, err := strconv.ParseBool(h.Get(HeaderIdempotent))
	if err != nil {
		return nil, errors.Wrap(err, HeaderIdempotent)
	}
	cost, err := strconv.ParseFloat(h.Get(HeaderCost), 64)
	if err != nil {
		return nil, errors.Wrap(err, HeaderCost)
	}
	homes, err := strconv.ParseInt(h.Get(HeaderHomes), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, HeaderHomes)
	}
	return &Envelope{
		RequestID:  h.Get(HeaderRequestID),
		Customer:   h.Get(HeaderCustomer),
		Weight:     weight,
		Class:      config.Class(h.Get(HeaderClass)),
		Budget:     time.Duration(budget) * time.Millisecond,
		Idempotent: idempotent,
		Key:        h.Get(HeaderIdempotencyKey),
		Cost:       cost,
		Server:     h.Get(HeaderWantServer),
		Homes:      homes,
	}, nil
}

// WriteFailure sets the headers that carry a failure from agent to entry.
func WriteFailure(h http.Header, f *failure.Error) {
	h.Set(HeaderOutcome, string(f.Outcome))
	h.Set(HeaderStep, string(f.Step))
	h.Set(HeaderCode, string(f.Code))
	h.Set(HeaderDetail, f.Detail)
	if f.RetryAfter > 0 {
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
}

// ReadFailure reads what WriteFailure set, or returns nil.
func ReadFailure(h http.Header, peer string) *failure.Error {
	if h.Get(HeaderCode) == "" {
		return nil
	}
	retryAfter, err := strconv.ParseInt(h.Get(HeaderRetryAfterMs), 10, 64)
	if err != nil {
		retryAfter = 0
	}
	return &failure.Error{
		Step:       failure.Step(h.Get(HeaderStep)),
		Peer:       peer,
		Code:       failure.Code(h.Get(HeaderCode)),
		Outcome:    failure.Outcome(h.Get(HeaderOutcome)),
		RetryAfter: time.Duration(retryAfter) * time.Millisecond,
		Detail:     h.Get(HeaderDetail),
	}
}

// WriteRest sets for how long an agent's server rests still, if it does.
func WriteRest(h http.Header, left time.Duration) {
	if left > 0 {
		h.Set(HeaderRest, strconv.FormatInt(int64(math.Ceil(float64(left)/float64(time.Millisecond))), 10))
	}
}

// ReadRest reads what WriteRest set; 0 without it.
func ReadRest(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderRest), 10, 64)
	if err != nil || ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
		return 0 // not set, by an agent that doesn't rest or an earlier release
	}
	return time.Duration(ms) * time.Millisecond
}

// Load is an agent's load report, piggybacked on each of its answers.
type Load struct {
	InFlight, Queued, Limit int
	Leaving                 bool
	ServiceTime             time.Duration
}

// String encodes the report for HeaderLoad.
func (l Load) String() string {
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

// ParseLoad decodes what Load.String encoded.
func ParseLoad(s string) (Load, bool) {
	var fields [loadFields]int64
	rest := s
	for i := range fields {
		end := 0
		for end < len(rest) && rest[end] != ' ' {
			end++
		}
		value, err := strconv.ParseInt(rest[:end], 10, 64)
		if err != nil {
			return Load{}, false
		}
		fields[i] = value
		rest = rest[min(end+1, len(rest)):]
	}
	return Load{
		InFlight: int(fields[0]), Queued: int(fields[1]), Limit: int(fields[2]),
		Leaving: fields[3] == 1, ServiceTime: time.Duration(fields[4]) * time.Microsecond,
	}, true
}
