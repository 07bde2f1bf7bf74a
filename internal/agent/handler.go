package agent

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/crowbridge/crowbridge/internal/admission"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/intake"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/pkg/errors"
)

// job is a request and its state in the agent.
type job struct {
	envelope *headers.Envelope
	request  *http.Request
	body     []byte
	deadline time.Time
	ticket   *outcome.Ticket
	writer   http.ResponseWriter
	headers  bool // the response headers were sent
}

func (j *job) key() outcome.Key {
	return outcome.Key{Customer: j.envelope.Customer, Value: j.envelope.Key}
}

// tracked reports whether the key table deduplicates the request: it has an idempotency
// key and is not idempotent.
func (j *job) tracked() bool { return j.envelope.Key != "" && !j.envelope.Idempotent }

// ServeHTTP serves a request from an entry.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn := intake.ConnOf(r.Context()); conn != nil && !conn.BeginRequest() {
		panic(http.ErrAbortHandler) // the connection has just been closed
	}
	daemonKey := r.Header.Get(headers.DaemonKey)
	if subtle.ConstantTimeCompare([]byte(daemonKey), []byte(a.options.Key)) != 1 {
		a.stopReading(w, r)
		a.refuse(w, failure.NotRun(failure.StepAuthenticate, a.options.Server, failure.CodeUnauthorized, "daemon key: wrong: use the same key at all daemons"))
		return
	}
	a.enter()
	defer a.exit()
	j := &job{request: r, writer: w, ticket: a.ledger.Accept()}
	f := a.run(j)
	if f == nil {
		j.ticket.Close(failure.OutcomeAnswered)
		return
	}
	j.ticket.Close(f.Outcome)
	if j.headers {
		panic(http.ErrAbortHandler) // drop the connection, so that the entry detects the incomplete response
	}
	a.refuse(w, f)
}

func (a *Agent) refuse(w http.ResponseWriter, f *failure.Error) {
	a.setHeaders(w.Header())
	headers.WriteFailure(w.Header(), f)
	w.WriteHeader(f.Status())
}

// setHeaders sets the headers that all responses carry.
func (a *Agent) setHeaders(h http.Header) {
	h.Set(headers.Server, a.options.Server)
	h.Set(headers.Incarnation, a.incarnation)
	h.Set(headers.Load, a.Load().String())
	headers.WriteRest(h, a.retryAfter())
}

// stopReading makes the response go out before the rest of the request has arrived, and the connection close.
func (a *Agent) stopReading(w http.ResponseWriter, r *http.Request) {
	if r.Body == http.NoBody {
		return
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()          // fails only for other protocols
	_ = controller.SetReadDeadline(time.Now()) // fails only if the connection is closed
	if conn := intake.ConnOf(r.Context()); conn != nil {
		conn.Linger(a.options.MaxBody)
	}
	w.Header().Set("Connection", "close")
}

func (a *Agent) run(j *job) *failure.Error {
	if f := a.read(j); f != nil {
		a.stopReading(j.writer, j.request)
		return f
	}
	if j.tracked() {
		return a.runTracked(j)
	}
	c, f := a.enqueueAndStart(j)
	return a.deliver(j, c, f)
}

func (a *Agent) read(j *job) *failure.Error {
	envelope, err := headers.ReadEnvelope(j.request.Header)
	if err != nil {
		return failure.NotRun(failure.StepParse, a.options.Server, failure.CodeInvalid, err.Error())
	}
	j.envelope = envelope
	j.deadline = a.now().Add(envelope.Budget)
	if envelope.Server != a.options.Server {
		return failure.NotRun(failure.StepRoute, a.options.Server, failure.CodeWrongServer,
			"request is for server "+envelope.Server+": the address was reused")
	}
	if err := http.NewResponseController(j.writer).SetReadDeadline(time.Now().Add(envelope.Budget)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return failure.NotRun(failure.StepParse, a.options.Server, failure.CodeInvalid, "set the read deadline for the body: "+err.Error())
	}
	conn := intake.ConnOf(j.request.Context())
	j.body, err = conn.ReadBody(j.request.Body, j.request.ContentLength, a.options.MaxBody, nil)
	switch {
	case err == nil:
		return a.endRead(j)
	case errors.Is(err, intake.ErrTooLarge):
		return failure.NotRun(failure.StepParse, a.options.Server, failure.CodeTooLarge, fmt.Sprintf("body size exceeds the agent's limit of %d bytes: send less", a.options.MaxBody))
	case errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrGivenUp):
		conn.LogRefusal(envelope.RequestID, err)
		return failure.NotRun(failure.StepParse, a.options.Server, failure.CodeOverloaded, err.Error()+": retry elsewhere").WithRetryAfter(retryHint)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.NotRun(failure.StepParse, a.options.Server, failure.CodeSlowBody, "body not received within "+envelope.Budget.String()+": send it faster")
	default:
		return failure.NotRun(failure.StepParse, a.options.Server, failure.CodeInvalid, "body incomplete: "+err.Error())
	}
}

// endRead ends the time limit of a body that has been read.
func (a *Agent) endRead(j *job) *failure.Error {
	if err := http.NewResponseController(j.writer).SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return failure.NotRun(failure.StepParse, a.options.Server, failure.CodeInvalid, "clear the read deadline: "+err.Error())
	}
	return nil
}

// requestHash returns a hash of method, URI and body. Requests that share a key must have
// the same hash.
func requestHash(j *job) string {
	digest := sha256.New()
	for _, part := range []string{j.request.Method, "\n", j.request.URL.RequestURI(), "\n"} {
		_, _ = io.WriteString(digest, part) // never fails for a hash
	}
	_, _ = digest.Write(j.body)
	return hex.EncodeToString(digest.Sum(nil))
}

// runTracked runs the request at most once per idempotency key.
func (a *Agent) runTracked(j *job) *failure.Error {
	key := j.key()
	for {
		decision, response, done := a.beginKey(key, requestHash(j), j.envelope.Homes)
		switch decision {
		case outcome.DecisionRun:
			return a.runKeyed(j, key)
		case outcome.DecisionReplay:
			a.replay(j, response)
			return nil
		case outcome.DecisionWait:
			if f := a.waitForKey(j, done); f != nil {
				return f
			}
		default:
			return a.keyFailure(j, decision)
		}
	}
}

func (a *Agent) waitForKey(j *job, done <-chan struct{}) *failure.Error {
	timer := time.NewTimer(j.deadline.Sub(a.now()))
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-j.request.Context().Done():
	case <-timer.C:
	}
	return failure.Unknown(failure.StepQueue, a.options.Server, failure.CodeKeyInProgress,
		"an earlier request with this key is still running: retry with the same key").WithRetryAfter(retryHint)
}

func (a *Agent) keyFailure(j *job, decision outcome.Decision) *failure.Error {
	server := a.options.Server
	switch decision {
	case outcome.DecisionConflict:
		return failure.NotRun(failure.StepQueue, server, failure.CodeKeyConflict,
			"this key was used for a different request: use a new key")
	case decisionStale:
		return failure.Unknown(failure.StepQueue, server, failure.CodeStaleHomes,
			"entry and agent disagree about the homes of this key: retry").WithRetryAfter(retryHint)
	case outcome.DecisionFull:
		return failure.NotRun(failure.StepQueue, server, failure.CodeOverloaded,
			"the table of idempotency keys is full: retry later").WithRetryAfter(retryHint)
	case outcome.DecisionClosed:
		j.writer.Header().Set(headers.KeyClosed, "1")
		return failure.NotRun(failure.StepQueue, server, failure.CodeLeaving, "the server is leaving: the next home may run the key").WithRetryAfter(retryHint)
	default:
		return failure.Unknown(failure.StepQueue, server, failure.CodeKeyUnresolved,
			"an earlier run with this key can't be ruled out: check the server's own records")
	}
}

// runKeyed runs the request detached from its caller: once started, its response is
// recorded for retries even if the caller disconnects.
func (a *Agent) runKeyed(j *job, key outcome.Key) *failure.Error {
	c, f := a.enqueueAndStart(j)
	if f != nil {
		a.endKey(key, f.Outcome, outcome.Response{})
		return f
	}
	recorded, f := a.readResponse(j, c)
	if f != nil {
		a.endKey(key, f.Outcome, outcome.Response{})
		return f
	}
	a.endKey(key, failure.OutcomeAnswered, recorded)
	a.write(j, recorded)
	return nil
}

func (a *Agent) replay(j *job, response outcome.Response) {
	j.writer.Header().Set(headers.Replayed, "1")
	a.write(j, response)
}

func (a *Agent) write(j *job, response outcome.Response) {
	copyHeaders(j.writer.Header(), response.Header)
	a.setHeaders(j.writer.Header())
	j.writer.Header().Set(headers.Outcome, string(failure.OutcomeAnswered))
	j.headers = true
	j.writer.WriteHeader(response.Status)
	// A write error means that the entry disconnected; keyed responses are kept for retries.
	_, _ = j.writer.Write(response.Body)
}

// enqueueAndStart queues the request and starts it at the server when it is scheduled. The
// caller must end the returned call.
func (a *Agent) enqueueAndStart(j *job) (*call, *failure.Error) {
	w, f := a.enqueue(admission.Request{
		ID: j.envelope.RequestID, Customer: j.envelope.Customer, Weight: j.envelope.Weight,
		Class: j.envelope.Class, Deadline: j.deadline, Cost: j.envelope.Cost,
	})
	if f != nil {
		return nil, f
	}
	select {
	case <-w.start:
	case f := <-w.refused:
		return nil, f
	case <-j.request.Context().Done():
		if a.withdraw(j.envelope.RequestID) {
			return nil, failure.NotRun(failure.StepQueue, a.options.Server, failure.CodeCanceled, "the caller disconnected while queued")
		}
		select {
		case f := <-w.refused:
			return nil, f
		case <-w.start:
		}
	}
	return a.start(j)
}

func (a *Agent) callContext(j *job) (context.Context, context.CancelFunc) {
	parent := j.request.Context()
	if j.tracked() {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, j.deadline.Sub(a.now()))
}
