// Package failure defines the error that crosses process borders: it names the
// step and the peer at which a request failed, and which of the three outcomes
// the caller may rely on.
package failure

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Outcome is what a caller may rely on after a request ended.
type Outcome string

// The three outcomes. Only OutcomeNotRun permits running the request elsewhere
// when it is not idempotent.
const (
	// OutcomeAnswered means the backend server's whole answer was delivered.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means no backend server has started the request, nor will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a start can't be ruled out.
	OutcomeUnknown Outcome = "unknown"
)

// Step names the place in a request's life at which it failed.
type Step string

// Steps of a request's life, in order.
const (
	StepParse        Step = "parse"
	StepAuthenticate Step = "authenticate"
	StepRoute        Step = "route"
	StepSend         Step = "send"
	StepQueue        Step = "queue"
	StepRun          Step = "run"
	StepRelay        Step = "relay"
)

// Code is a stable, machine-readable cause.
type Code string

// Causes that callers and scripts can match on.
const (
	CodeInvalid        Code = "invalid-request"
	CodeUnauthorized   Code = "unauthorized"
	CodeNotFound       Code = "not-found"
	CodeTooLarge       Code = "too-large"
	CodeHeaderTooLarge Code = "header-too-large"
	CodeSlowBody       Code = "slow-body"
	CodeNoServer       Code = "no-server"
	CodeOverloaded     Code = "overloaded"
	CodeDeadline       Code = "deadline-exceeded"
	CodeLeaving        Code = "leaving"
	CodeSlow           Code = "slow-server"
	CodeServerLost     Code = "server-lost"
	CodeKeyUnresolved  Code = "key-unresolved"
	CodeKeyConflict    Code = "key-conflict"
	CodeKeyInProgress  Code = "key-in-progress"
	CodeCanceled       Code = "canceled"
	CodeWrongServer    Code = "wrong-server"
	CodeStaleHomes     Code = "stale-configuration"
	CodeResting        Code = "servers-rest"
	CodeLimited        Code = "servers-limited"
	CodeQuarantined    Code = "quarantined"
	CodeSuspect        Code = "suspect-request"
)

// Error is a failed request's final answer.
type Error struct {
	// Step is where in the request's life it failed.
	Step Step
	// Peer is the server, daemon or customer at which it arose.
	Peer string
	// Code is the machine-readable cause.
	Code Code
	// Outcome is what the caller may rely on.
	Outcome Outcome
	// RetryAfter tells when coming back makes sense; zero when it doesn't.
	RetryAfter time.Duration
	// Detail is for people.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s (%s): %s: %s", e.Step, e.Peer, e.Outcome, e.Code, e.Detail)
}

// As returns the Error in err's chain, if any.
func As(err error) (*Error, bool) {
	var target *Error
	ok := errors.As(err, &target)
	return target, ok
}

// NotRun builds an Error for a request that provably did not start.
func NotRun(step Step, peer string, code Code, detail string) *Error {
	return &Error{Step: step, Peer: peer, Code: code, Outcome: OutcomeNotRun, Detail: detail}
}

// Unknown builds an Error for a request whose start can't be ruled out.
func Unknown(step Step, peer string, code Code, detail string) *Error {
	return &Error{Step: step, Peer: peer, Code: code, Outcome: OutcomeUnknown, Detail: detail}
}

// After sets RetryAfter and returns the same Error.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Status returns the HTTP status code that fits the cause.
func (e *Error) Status() int {
	if status, ok := statusOf[e.Code]; ok {
		return status
	}
	return statusBadGateway
}

const (
	statusBadGateway      = 502
	statusBadRequest      = 400
	statusUnauthorized    = 401
	statusNotFound        = 404
	statusConflict        = 409
	statusTooLarge        = 413
	statusHeaderTooLarge  = 431
	statusRequestTimeout  = 408
	statusTooManyRequests = 429
	statusClientClosed    = 499
	statusUnavailable     = 503
	statusGatewayTimeout  = 504
)

var statusOf = map[Code]int{
	CodeInvalid:        statusBadRequest,
	CodeUnauthorized:   statusUnauthorized,
	CodeNotFound:       statusNotFound,
	CodeTooLarge:       statusTooLarge,
	CodeHeaderTooLarge: statusHeaderTooLarge,
	CodeSlowBody:       statusRequestTimeout,
	CodeNoServer:       statusUnavailable,
	CodeOverloaded:     statusTooManyRequests,
	CodeDeadline:       statusGatewayTimeout,
	CodeLeaving:        statusUnavailable,
	CodeServerLost:     statusBadGateway,
	CodeKeyUnresolved:  statusBadGateway,
	CodeKeyConflict:    statusConflict,
	CodeKeyInProgress:  statusConflict,
	CodeCanceled:       statusClientClosed,
	CodeWrongServer:    statusUnavailable,
	CodeStaleHomes:     statusUnavailable,
	CodeResting:        statusUnavailable,
	CodeLimited:        statusUnavailable,
	CodeQuarantined:    statusUnavailable,
	CodeSuspect:        statusUnavailable,
}
