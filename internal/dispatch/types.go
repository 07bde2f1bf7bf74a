// Package dispatch decides the life of one request: who sent it, where it may
// go, which server gets it, whether it may be sent again, and how it ends. It
// knows neither HTTP connections nor the names on the wire: a Request comes
// in, a Backend carries attempts to servers, and a Caller takes the answer.
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
	// ID is the caller's name for this attempt; the server's answer repeats it.
	ID     string
	Method string
	Host   string
	// Path is the path alone, URI the path with the query as the caller wrote them.
	Path, URI string
	Header    http.Header
	Body      []byte
	// ReceivedAt is when the whole request had been read.
	ReceivedAt time.Time
	// Timeout is how long the caller waits, from Arrived on.
	Timeout     time.Duration
	HasDeadline bool
	APIKey      string
	// Resume is set when a stream is to go on after the event LastEventID.
	Resume      bool
	LastEventID int64
	// PromptTokens is the size of the request's prompt; 0 when not told.
	PromptTokens int
	// FrontendState is what a frontend hands to the backend that goes with it.
	FrontendState any
	// Customer and Priority are set once the API key and the route are known. Priority 0
	// is the most urgent.
	Customer string
	Priority int
	// Suspect is set while a server has ended under the request and it hasn't run to a
	// good end since: it's kept apart from others of its kind.
	Suspect bool
	// behind tells how much less urgent than others the request is; repeated is set when
	// its caller was refused before.
	behind   int
	repeated bool
	// connections is how many each server of the request's service takes from all VMs; 0 when
	// that isn't bound.
	connections int
	// sum is the digest once it has been worked out.
	sum *quarantine.Digest
}

// digest tells the request apart from others but the caller's repeats of it. The customer
// has to be known.
func (r *Request) digest() quarantine.Digest {
	if r.sum == nil {
		sum := quarantine.DigestOf(r.Customer, r.Method, r.Host, r.URI, r.Body)
		r.sum = &sum
	}
	return *r.sum
}

// Attempt is one sending of a request to one server.
type Attempt struct {
	Server *fleet.Server
	// Timeout is how long the server may work on it.
	Timeout     time.Duration
	HasDeadline bool
	// Resume asks for the stream's events after ResumeAfter.
	Resume      bool
	ResumeAfter int64
	// MaxConnections is how many this entry may have to the server; 0 for any number.
	MaxConnections int
	// SendCheck is asked last, just before bytes go out: with an error, nothing may be sent.
	// What a server has said meanwhile counts, however long a connection took to be made.
	// It may be nil.
	SendCheck func() error
}

// Load is what a server says of itself.
type Load struct {
	Running, Waiting int
	// Slowdown over 1 means that the server is slower than usual; 0 when it doesn't tell.
	Slowdown float64
}

// ResponseInfo is what the header of an answer says, besides its status.
type ResponseInfo struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// Signed is set when a backend server made the answer.
	Signed bool
	// Encoded is set when the body isn't as the server made it.
	Encoded bool
	// NotRun is the server's word that it didn't run the request and won't.
	NotRun  bool
	Load    Load
	HasLoad bool
	// FaultyServer is the server on whose account a group refused the request.
	FaultyServer string
	// RetryAfter is how long the server wants no requests. OddRetryAfter is what it said
	// instead when that can't be read.
	RetryAfter        time.Duration
	InvalidRetryAfter string
	// Leaving is set when the server says that it leaves.
	Leaving bool
	// Limit is what the server says of the requests that it takes a second.
	Limit ReportedLimit
	// Trusted is set when an agent of ours answers for the server: the answer is whole
	// and the request's, whatever its status.
	Trusted bool
	// EventStream is set when the body of a vouched answer is a stream of events.
	EventStream bool
	// Failure is such an agent's word on an attempt that came to nothing.
	Failure *failure.Error
	// TryNextHome is set when a request that has homes may go to the next one.
	TryNextHome bool
}

// ReportedLimit is what an answer says of its server's limit.
type ReportedLimit struct {
	// Authoritative is set when the answer is the server's own, so that it says there is no limit
	// when it names none.
	Authoritative bool
	// Present is set when it names a limit: requests a second, from all VMs together.
	Present   bool
	PerSecond float64
	// Invalid is what it says that can't be read.
	Invalid string
}

// Response is a server's answer whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	Info   ResponseInfo
	// Length of the body, or -1 when the body's end tells.
	Length int64
	Body   io.ReadCloser
}

// SendError says that a server gave no answer.
type SendError struct {
	// Sent is set when the server may have got the request.
	Sent bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Target is where a request may go, and for how long.
type Target struct {
	// Version is that of the configuration that decided.
	Version int64
	Route   *fleet.Route
	Service string
	// Homes are the only servers that may run the request, in this order: the next gets
	// it when the one before says so. Nil when any allowed server may.
	Homes []*fleet.Server
	// HasEndEvent is set when streams end with an event that says so.
	HasEndEvent bool
	// Deadline is when the caller gets its final answer at the latest.
	Deadline time.Time
	// repeated is set when the caller has tried before; behind tells how much less
	// urgent than others the request is.
	repeated bool
	behind   int
	// connections is how many each server of the service takes from all VMs together.
	connections int
}

// Chooser decides which server gets a request, learns how that went, and keeps the
// budget of retries.
type Chooser interface {
	// Choose picks one of the candidates, but for those tried; none when no server may
	// get the request.
	Choose(now time.Time, candidates []*fleet.Server, r *Request, tried []string) Choice
	// RequestSent, Answering and Ended follow an attempt.
	RequestSent(server string, r *Request, now time.Time)
	ResponseStarted(server string, r *Request)
	RequestEnded(server string, r *Request)
	// RecordFailure and Succeeded tell how it went.
	RecordFailure(server string, now time.Time)
	RecordSuccess(server string, took time.Duration)
	// ObserveResponse takes in what a server says of itself in an answer. It returns for how long it
	// gets no requests now, and whether that it leaves is news.
	ObserveResponse(server string, info ResponseInfo, now time.Time) (rest time.Duration, leaves bool)
	// Exclusion returns why a server may get no requests now by its own word, or nil.
	Exclusion(server string, now time.Time) *eligibility.Exclusion
	// AcquireToken is asked last before a request's bytes go to a server. It returns 0 when the
	// server's limit allows the request, which counts then, or else for how long it doesn't.
	AcquireToken(server string, r *Request, now time.Time) time.Duration
	// EarliestEligible returns when the first of the candidates that rest, or have a limit, takes
	// requests again: 0 if one takes them now, or none does either.
	EarliestEligible(now time.Time, candidates []*fleet.Server, r *Request) time.Duration
	// AcquireRetry takes one retry from the budget.
	AcquireRetry(service, customer string, now time.Time) bool
	// ReleaseRetry gives one back that was taken and not used.
	ReleaseRetry(service, customer string, now time.Time)
}

// Backend carries attempts to servers.
type Backend interface {
	// Send returns the server's answer as soon as its header is there. Ending the
	// context ends the attempt and the reading of the answer's body.
	Send(ctx context.Context, request *Request, attempt Attempt) (*Response, *SendError)
}

// ResponseWriter takes the answer to a request.
type ResponseWriter interface {
	// Start starts an answer with a server's header. length is -1 when the end of
	// the body isn't known yet.
	Start(status int, serverHeader http.Header, length int64)
	// Write passes bytes of the body on at once.
	Write(data []byte) error
}
