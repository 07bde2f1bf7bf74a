package agent

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/admission"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/crowbridge/crowbridge/internal/wire"
)

// job is one request on its way through the agent.
type job struct {
	envelope *wire.Envelope
	request  *http.Request
	body     []byte
	deadline time.Time
	ticket   *outcome.Ticket
	writer   http.ResponseWriter
	headers  bool // the answer's headers were sent
}

func (j *job) key() outcome.Key {
	return outcome.Key{Customer: j.envelope.Customer, Value: j.envelope.Key}
}

// tracked tells whether the key table has a say: only requests that may not be
// repeated need it.
func (j *job) tracked() bool { return j.envelope.Key != "" && !j.envelope.Idempotent }

// ServeHTTP takes one request from an entry.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	given := r.Header.Get(wire.HeaderAuth)
	if subtle.ConstantTimeCompare([]byte(given), []byte(a.options.Key)) != 1 {
		a.refuse(w, failure.NotRun(failure.StepAuthenticate, a.options.Server, failure.CodeUnauthorized, "wrong daemon key"))
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
		panic(http.ErrAbortHandler) // tell the entry that the answer is cut
	}
	a.refuse(w, f)
}

func (a *Agent) refuse(w http.ResponseWriter, f *failure.Error) {
	a.stamp(w.Header())
	wire.WriteFailure(w.Header(), f)
	w.WriteHeader(f.Status())
}

// stamp sets the headers that every answer carries.
func (a *Agent) stamp(h http.Header) {
	h.Set(wire.HeaderServer, a.options.Server)
	h.Set(wire.HeaderIncarnation, a.incarnation)
	h.Set(wire.HeaderLoad, a.Load().String())
	wire.WriteRest(h, a.restLeft())
}

func (a *Agent) run(j *job) *failure.Error {
	if f := a.read(j); f != nil {
		return f
	}
	if j.tracked() {
		return a.runTracked(j)
	}
	answer, f := a.admitAndCall(j)
	return a.deliver(j, answer, f)
}

func (a *Agent) read(j *job) *failure.Error {
	envelope, err := wire.ReadEnvelope(j.request.Header)
	if err != nil {
		return failure.NotRun(failure.StepParse, a.options.Server, failure.CodeInvalid, err.Error())
	}
	j.envelope = envelope
	j.deadline = a.now().Add(envelope.Budget)
	if envelope.Server != a.options.Server {
		return failure.NotRun(failure.StepRoute, a.options.Server, failure.CodeWrongServer,
			"meant for "+envelope.Server+": the address was reused")
	}
	j.body, err = io.ReadAll(io.LimitReader(j.request.Body, a.options.MaxBody+1))
	if err != nil {
		return failure.NotRun(failure.StepParse, a.options.Server, failure.CodeInvalid, "body cut: "+err.Error())
	}
	if int64(len(j.body)) > a.options.MaxBody {
		return failure.NotRun(failure.StepParse, a.options.Server, failure.CodeTooLarge, "body over the agent's limit")
	}
	return nil
}

// requestHash identifies what a key stands for: repeats must ask for the same.
func requestHash(j *job) string {
	digest := sha256.New()
	for _, part := range []string{j.request.Method, "\n", j.request.URL.RequestURI(), "\n"} {
		_, _ = io.WriteString(digest, part) // a hash never fails to write
	}
	_, _ = digest.Write(j.body)
	return hex.EncodeToString(digest.Sum(nil))
}

// runTracked runs a request that may not be repeated, at most once per key.
func (a *Agent) runTracked(j *job) *failure.Error {
	key := j.key()
	for {
		verdict, answer, done := a.beginKey(key, requestHash(j), j.envelope.Homes)
		switch verdict {
		case outcome.DecisionRun:
			return a.runKeyed(j, key)
		case outcome.DecisionReplay:
			a.replay(j, answer)
			return nil
		case outcome.DecisionWait:
			if f := a.await(j, done); f != nil {
				return f
			}
		default:
			return a.keyRefusal(j, verdict)
		}
	}
}

func (a *Agent) await(j *job, done <-chan struct{}) *failure.Error {
	timer := time.NewTimer(j.deadline.Sub(a.now()))
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-j.request.Context().Done():
	case <-timer.C:
	}
	return failure.Unknown(failure.StepQueue, a.options.Server, failure.CodeKeyInProgress,
		"an earlier request with this key is still running: ask again with the same key").After(comeBack)
}

func (a *Agent) keyRefusal(j *job, verdict outcome.Decision) *failure.Error {
	server := a.options.Server
	switch verdict {
	case outcome.DecisionConflict:
		return failure.NotRun(failure.StepQueue, server, failure.CodeKeyConflict,
			"this key was used for another request: use a new key")
	case verdictStale:
		return failure.Unknown(failure.StepQueue, server, failure.CodeStaleHomes,
			"entry and agent know different homes for this key: ask again").After(comeBack)
	case outcome.DecisionFull:
		return failure.NotRun(failure.StepQueue, server, failure.CodeOverloaded,
			"no room for more idempotency keys").After(comeBack)
	case outcome.DecisionClosed:
		j.writer.Header().Set(wire.HeaderKeyClosed, "1")
		return failure.NotRun(failure.StepQueue, server, failure.CodeLeaving, "the server is leaving; the key may move on").After(comeBack)
	default:
		return failure.Unknown(failure.StepQueue, server, failure.CodeKeyUnresolved,
			"an earlier start with this key can't be ruled out: look at the server's own records")
	}
}

// runKeyed runs the request detached from its caller: once started, its answer
// is recorded for repeats even when this caller is gone.
func (a *Agent) runKeyed(j *job, key outcome.Key) *failure.Error {
	answer, f := a.admitAndCall(j)
	if f != nil {
		a.endKey(key, f.Outcome, outcome.Response{})
		return f
	}
	recorded, f := a.collect(j, answer)
	if f != nil {
		a.endKey(key, f.Outcome, outcome.Response{})
		return f
	}
	a.endKey(key, failure.OutcomeAnswered, recorded)
	a.write(j, recorded)
	return nil
}

func (a *Agent) replay(j *job, answer outcome.Response) {
	j.writer.Header().Set(wire.HeaderReplayed, "1")
	a.write(j, answer)
}

func (a *Agent) write(j *job, answer outcome.Response) {
	copyHeaders(j.writer.Header(), answer.Header)
	a.stamp(j.writer.Header())
	j.writer.Header().Set(wire.HeaderOutcome, string(failure.OutcomeAnswered))
	j.headers = true
	j.writer.WriteHeader(answer.Status)
	// The answer is recorded; an entry that left asks for it again.
	_, _ = j.writer.Write(answer.Body)
}

// admitAndCall waits for the request's turn and starts it at the server. A
// returned call is running and must be ended.
func (a *Agent) admitAndCall(j *job) (*call, *failure.Error) {
	w, f := a.offer(admission.Request{
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
			return nil, failure.NotRun(failure.StepQueue, a.options.Server, failure.CodeCanceled, "the caller left while waiting")
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

func isEventStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}
