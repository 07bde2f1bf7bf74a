// Package failure defines the error that a failed request returns across process boundaries: the
// step and the peer at which it failed, and whether the request may have run.
package failure

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Outcome is what a caller may assume about the execution of a finished request.
type Outcome string

// Outcomes of requests. A request that isn't idempotent may be retried only after OutcomeNotRun.
const (
	// OutcomeAnswered means that the backend server's whole response was delivered.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no backend server has started the request or will start it.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a backend server may have started the request.
	OutcomeUnknown Outcome = "unknown"
)

// Step is the processing step at which a request failed.
type Step string

// Processing steps of a request, in order.
const (
	StepParse        Step = "parse"
	StepAuthenticate Step = "authenticate"
	StepRoute        Step = "route"
	StepSend         Step = "send"
	StepQueue        Step = "queue"
	StepRun          Step = "run"
	StepRelay        Step = "relay"
)

// Code is the machine-readable cause of a failure.
type Code string

// Codes of failures. They are stable, so callers may match on them.
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
	// CodeEndUnconfirmed means that the end of its connection ended a response whose server had exited.
	CodeEndUnconfirmed Code = "end-unconfirmed"
	// CodeNotResumed means that the server didn't go on after the caller's last event.
	CodeNotResumed Code = "not-resumed"
)

// Error describes a failed request.
type Error struct {
	Step Step
	// Peer is the server, daemon or customer at which the failure occurred.
	Peer    string
	Code    Code
	Outcome Outcome
	// RetryAfter is how long the caller should wait before it retries; 0 if no time is known.
	RetryAfter time.Duration
	// Detail is a human-readable description.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s (%s): %s: %s", e.Step, e.Peer, e.Outcome, e.Code, e.Detail)
}

// As returns the first Error in err's chain.
func As(err error) (*Error, bool) {
	var target *Error
	ok := errors.As(err, &target)
	return target, ok
}

// NotRun returns an Error for a request that no backend server has started or will start.
func NotRun(step Step, peer string, code Code, detail string) *Error {
	return &Error{Step: step, Peer: peer, Code: code, Outcome: OutcomeNotRun, Detail: detail}
}

// Unknown returns an Error for a request that may have started.
func Unknown(step Step, peer string, code Code, detail string) *Error {
	return &Error{Step: step, Peer: peer, Code: code, Outcome: OutcomeUnknown, Detail: detail}
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Status returns the HTTP status code for the error's code.
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
