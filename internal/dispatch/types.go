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

	"github.com/crowbridge/crowbridge/internal/fleet"
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
	// Customer and Priority are set once the API key and the route are known. Priority 0
	// is the most urgent.
	Customer string
	Priority int
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
	RetryAfter   time.Duration
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
