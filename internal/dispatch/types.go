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
	// Arrived is when the whole request had been read.
	Arrived time.Time
	// Patience is how long the caller waits, from Arrived on.
	Patience    time.Duration
	HasDeadline bool
	APIKey      string
	// Resumes is set when a stream is to go on after the event LastEventID.
	Resumes     bool
	LastEventID int64
	// PromptTokens is the size of the request's prompt; 0 when not told.
	PromptTokens int
	// Envelope is what a frontend hands to the backend that goes with it.
	Envelope any
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
	// Left is how long the server may work on it.
	Left        time.Duration
	HasDeadline bool
	// Resume asks for the stream's events after ResumeAfter.
	Resume      bool
	ResumeAfter int64
	// Connections is how many this entry may have to the server; 0 for any number.
	Connections int
	// Permit is asked last, just before bytes go out: with an error, nothing may be sent.
	// What a server has said meanwhile counts, however long a connection took to be made.
	// It may be nil.
	Permit func() error
}

// Load is what a server says of itself.
type Load struct {
	Running, Waiting int
	// Pace over 1 means that the server is slower than usual; 0 when it doesn't tell.
	Pace float64
}

// AnswerInfo is what the header of an answer says, besides its status.
type AnswerInfo struct {
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
	RetryAfter    time.Duration
	OddRetryAfter string
	// Leaving is set when the server says that it leaves.
	Leaving bool
	// Limit is what the server says of the requests that it takes a second.
	Limit LimitWord
	// Vouched is set when an agent of ours answers for the server: the answer is whole
	// and the request's, whatever its status.
	Vouched bool
	// Events is set when the body of a vouched answer is a stream of events.
	Events bool
	// Failure is such an agent's word on an attempt that came to nothing.
	Failure *failure.Error
	// MovesOn is set when a request that has homes may go to the next one.
	MovesOn bool
}

// LimitWord is what an answer says of its server's limit.
type LimitWord struct {
	// Own is set when the answer is the server's own, so that it says there is no limit
	// when it names none.
	Own bool
	// Named is set when it names a limit: requests a second, from all VMs together.
	Named     bool
	PerSecond float64
	// Odd is what it says that can't be read.
	Odd string
}

// Answer is a server's answer whose body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	Info   AnswerInfo
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
	// EndEvent is set when streams end with an event that says so.
	EndEvent bool
	// Limit is when the caller gets its final answer at the latest.
	Limit time.Time
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
	// Sent, Answering and Ended follow an attempt.
	Sent(server string, r *Request, now time.Time)
	Answering(server string, r *Request)
	Ended(server string, r *Request)
	// Failed and Succeeded tell how it went.
	Failed(server string, now time.Time)
	Succeeded(server string, took time.Duration)
	// Heard takes in what a server says of itself in an answer. It returns for how long it
	// gets no requests now, and whether that it leaves is news.
	Heard(server string, info AnswerInfo, now time.Time) (rest time.Duration, leaves bool)
	// Bar returns why a server may get no requests now by its own word, or nil.
	Bar(server string, now time.Time) *eligibility.Bar
	// Take is asked last before a request's bytes go to a server. It returns 0 when the
	// server's limit allows the request, which counts then, or else for how long it doesn't.
	Take(server string, r *Request, now time.Time) time.Duration
	// FirstRest returns when the first of the candidates that rest, or have a limit, takes
	// requests again: 0 if one takes them now, or none does either.
	FirstRest(now time.Time, candidates []*fleet.Server, r *Request) time.Duration
	// MayRepeat takes one retry from the budget.
	MayRepeat(service, customer string, now time.Time) bool
	// GiveBack gives one back that was taken and not used.
	GiveBack(service, customer string, now time.Time)
}

// Backend carries attempts to servers.
type Backend interface {
	// Send returns the server's answer as soon as its header is there. Ending the
	// context ends the attempt and the reading of the answer's body.
	Send(ctx context.Context, request *Request, attempt Attempt) (*Answer, *SendError)
}

// Caller takes the answer to a request.
type Caller interface {
	// Begin starts an answer with a server's header. length is -1 when the end of
	// the body isn't known yet.
	Begin(status int, serverHeader http.Header, length int64)
	// Write passes bytes of the body on at once.
	Write(data []byte) error
}
