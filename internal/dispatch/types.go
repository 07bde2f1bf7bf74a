// Package dispatch runs one request from arrival to final outcome: authentication, routing,
// admission, server selection, retries and relaying of the response. It is independent of HTTP
// connections and of the names on the wire: a Request comes in, a Backend sends attempts to
// servers, and a ResponseWriter receives the response.
package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/quarantine"
)

// Request is a caller's request.
type Request struct {
	// ID is the caller's ID for this attempt, which the server's response repeats.
	ID     string
	Method string
	Host   string
	// Path is the path alone; URI is the path and query as sent by the caller.
	Path, URI string
	Header    http.Header
	Body      []byte
	// BeganAt is when its header had been read, or zero if unknown. ReceivedAt is when the request had
	// been read completely.
	BeganAt    time.Time
	ReceivedAt time.Time
	// Timeout is how long the caller waits, counted from ReceivedAt.
	Timeout     time.Duration
	HasDeadline bool
	APIKey      string
	// Resume asks for the events of a stream after LastEventID.
	Resume      bool
	LastEventID int64
	// PromptTokens is the length of the prompt and MaxOutputTokens the largest of the output, or 0 if
	// unknown.
	PromptTokens, MaxOutputTokens int
	// PromptParts are the parts of the prompt, or nil if unknown.
	PromptParts quarantine.PromptParts
	// Hold charges bytes that the request's caller makes this process hold until its response has ended, besides its
	// body. An error means that there is no memory for them. Nil if they aren't bounded.
	Hold func(n int64) error
	// FrontendState is passed unchanged from a frontend to its backend.
	FrontendState any
	// Customer and Priority are set once the API key and the route are known. Priority 0 is the
	// most urgent.
	Customer string
	Priority int
	// Suspect is set when a server crashed while running the request, or one with the same prompt part,
	// and none has succeeded since. Suspects are kept on different servers if possible: at one entry by what
	// runs where, at all entries by Isolation.
	Suspect   bool
	Isolation quarantine.Isolation
	// priorityGap is how much less urgent the request is than the most urgent of its service.
	priorityGap int
	// maxConnections is how many connections each server of the service accepts from all VMs, or
	// 0 if unbounded.
	maxConnections int
	// cachedFingerprint is the fingerprint once computed.
	cachedFingerprint *quarantine.Fingerprint
}

// fingerprint identifies the request, the caller's repetitions of it, and what it has in common with
// others of the service. Customer must be set.
func (r *Request) fingerprint(service string) quarantine.Fingerprint {
	if r.cachedFingerprint == nil {
		d := quarantine.DigestOf(r.Customer, r.Method, r.Host, r.URI, r.Body)
		f := quarantine.NewFingerprint(d, quarantine.NewRequestInfo(r.Customer, r.URI), service, r.PromptParts)
		r.cachedFingerprint = &f
	}
	return *r.cachedFingerprint
}

// sharedParts returns the IDs of the prompt's parts that other requests may share.
func (r *Request) sharedParts() []string {
	if r.PromptParts == nil {
		return nil
	}
	return r.PromptParts.Shared()
}

// Attempt is one send of a request to one server.
type Attempt struct {
	Server *fleet.Server
	// Timeout is how long the server may take.
	Timeout     time.Duration
	HasDeadline bool
	// Resume asks for the stream's events after ResumeAfter.
	Resume      bool
	ResumeAfter int64
	// MaxConnections is how many connections this entry may have to the server, or 0 if
	// unbounded.
	MaxConnections int
	// SendCheck runs just before the first bytes are sent; nothing is sent if it returns an
	// error. The server may have become ineligible while a connection was established. May be
	// nil.
	SendCheck func() error
}

// Load is a server's self-reported load.
type Load struct {
	Running, Waiting int
	// Slowdown is the current pass time relative to the usual one: more than 1 is slower. 0 if
	// not reported.
	Slowdown float64
}

// ResponseInfo is the information in a response's header, besides the status.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// Signed is set when a backend server produced the response.
	Signed bool
	// Encoded is set when the body was transformed on the way from the server.
	Encoded bool
	// NotRun is set when the server reports that it didn't run the request and won't.
	NotRun  bool
	Load    Load
	HasLoad bool
	// FaultyServer is the server because of which a group refused the request.
	FaultyServer string
	// RetryAfter is how long the server accepts no requests. InvalidRetryAfter is the raw value
	// if it can't be parsed.
	RetryAfter        time.Duration
	InvalidRetryAfter string
	// Leaving is set when the server reports that it is shutting down.
	Leaving bool
	// Limit is the request rate that the server accepts.
	Limit ReportedLimit
	// Trusted is set when an agent vouches that the response is complete and belongs to the
	// request, whatever its status.
	Trusted bool
	// EventStream is set when the body of a trusted response is an event stream.
	EventStream bool
	// Failure is the agent's error for an attempt without a response from the server.
	Failure *failure.Error
	// TryNextHome is set when the request may be sent to its next home.
	TryNextHome bool
}

// isOfAnother reports whether the response names another request. A refusal may name none.
func (i *ResponseInfo) isOfAnother(r *Request) bool { return i.RequestID != "" && i.RequestID != r.ID }

// ReportedLimit is the rate limit that a response reports for its server.
type ReportedLimit struct {
	// Authoritative is set when the response is the server's own. If it reports no limit, the
	// server has none.
	Authoritative bool
	// Present is set when there is a limit: requests per second from all VMs together.
	Present   bool
	PerSecond float64
	// Invalid is the raw value if it can't be parsed.
	Invalid string
}

// Response is a server's response. The body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	Info   ResponseInfo
	// Length is the length of the body, or -1 if unknown.
	Length  int64
	Framing Framing
	Body    io.ReadCloser
}

// SendError reports that no response was received from a server.
type SendError struct {
	// Sent is set when the server may have received the request.
	Sent bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Target holds the routing decision for a request.
type Target struct {
	// Version is the version of the configuration that was applied.
	Version int64
	Route   *fleet.Route
	Service string
	// Homes are the only servers that may run the request, in this order: a request moves to the
	// next one only if the current one permits it. Nil if any allowed server may run it.
	Homes []*fleet.Server
	// HasEndEvent is set when complete streams end with an explicit end event.
	HasEndEvent bool
	// Deadline is when the caller must have its final response.
	Deadline time.Time
	// priorityGap is how much less urgent the request is than the most urgent of its service.
	priorityGap int
	// maxConnections is how many connections each server of the service accepts from all VMs
	// together.
	maxConnections int
	// engine is the cost model of the service's servers, or nil.
	engine *fleet.EngineModel
}

// Chooser selects servers, tracks the attempts, and manages the retry budget. Servers are
// identified by fleet.Server.Key.
type Chooser interface {
	// Choose selects one of the candidates, except those in tried. The choice has no server if
	// none is eligible.
	Choose(now time.Time, candidates []*fleet.Server, r *Request, tried []string) Choice
	// RequestSent, ResponseStarted and RequestEnded track an attempt.
	RequestSent(server string, r *Request, now time.Time)
	ResponseStarted(server string, r *Request)
	RequestEnded(server string, r *Request)
	// RecordFailure and RecordSuccess record the result of an attempt.
	RecordFailure(server string, now time.Time)
	RecordSuccess(server string, latency time.Duration)
	// ObserveResponse records the availability that a server reports in a response. It returns
	// how long the server is resting from now on, and whether it newly reports that it is
	// leaving.
	ObserveResponse(server string, info ResponseInfo, now time.Time) (rest time.Duration, newlyLeaving bool)
	// Exclusion returns the reason why a server accepts no requests, or nil.
	Exclusion(server string, now time.Time) *eligibility.Exclusion
	// AcquireToken is called just before a request is sent. It returns 0 if the server's rate
	// limit admits the request, which is then counted; otherwise how long the limit admits none.
	AcquireToken(server string, r *Request, now time.Time) time.Duration
	// EarliestEligible returns how long until the first of the resting or rate-limited
	// candidates accepts requests, 0 if one accepts them now or if none will, and for how long it has
	// accepted none, or 0 if unknown.
	EarliestEligible(now time.Time, candidates []*fleet.Server, r *Request) (remaining, lasted time.Duration)
	// AcquireRetry takes one retry from the budget and reports whether there was one.
	AcquireRetry(service, customer string, now time.Time) bool
	// ReleaseRetry returns a retry that was acquired and not used.
	ReleaseRetry(service, customer string, now time.Time)
}

// Backend sends attempts to servers.
type Backend interface {
	// Send returns the server's response as soon as its header has been received. Canceling the
	// context ends the attempt and the reading of the body.
	Send(ctx context.Context, request *Request, attempt Attempt) (*Response, *SendError)
}

// ResponseWriter delivers the response to the caller.
type ResponseWriter interface {
	// Start begins the response with a server's header. length is -1 if unknown.
	Start(status int, serverHeader http.Header, length int64)
	// Write sends bytes of the body without buffering.
	Write(data []byte) error
}
