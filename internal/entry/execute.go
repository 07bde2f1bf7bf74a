package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/routing"
	"github.com/crowbridge/crowbridge/internal/selector"
	"github.com/crowbridge/crowbridge/internal/wire"
	"github.com/pkg/errors"
)

// reply is an agent's answer whose body has not been read yet.
type reply struct {
	server   string
	response *http.Response
	cancel   context.CancelFunc
	settled  atomic.Bool
}

// execute sends the request until it has its one outcome, and answers.
func (e *Entry) execute(x *exchange) {
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	e.register(x, cancel)
	request := captureRequest(x)
	finished := make(chan *answer, 1)
	go func() { finished <- e.perform(ctx, x, request) }()
	a := e.awaitAnswer(x, cancel, finished)
	if a.events != nil {
		e.writeStream(ctx, x, a, request, cancel)
		return
	}
	cancel()
	e.writeAnswer(x, a)
}

func (e *Entry) register(x *exchange, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels[requestRef{customer: x.customer.Name, requestID: x.id}] = cancel
}

// departureCheck is how often a waiting request looks whether its caller left.
const departureCheck = 100 * time.Millisecond

// awaitAnswer waits for the answer and cancels the work when the caller leaves.
func (e *Entry) awaitAnswer(x *exchange, cancel context.CancelFunc, finished <-chan *answer) *answer {
	ticker := time.NewTicker(departureCheck)
	defer ticker.Stop()
	for {
		select {
		case a := <-finished:
			return a
		case <-ticker.C:
			if callerGone(x.ctx.Conn()) {
				cancel()
			}
		}
	}
}

// captured is the caller's request, kept for sending it again.
type captured struct {
	method string
	uri    string
	header http.Header
	body   []byte
}

func captureRequest(x *exchange) *captured {
	c := &captured{
		method: string(x.ctx.Method()),
		uri:    string(x.ctx.RequestURI()),
		header: http.Header{},
		body:   x.body,
	}
	for name, value := range x.ctx.Request.Header.All() {
		c.header.Add(string(name), string(value))
	}
	// The API key is ours, and the host is the server's own.
	c.header.Del("Authorization")
	c.header.Del("Host")
	c.header.Del("Connection")
	return c
}

// answer is the end of perform: a failure, a whole answer, or a stream that
// has begun.
type answer struct {
	failure *failure.Error
	status  int
	header  http.Header
	body    []byte
	events  *reply
	server  string
}

// perform tries servers until the request has an outcome that can't be improved.
func (e *Entry) perform(ctx context.Context, x *exchange, request *captured) *answer {
	homes := e.homes(x)
	for {
		server, f := e.choose(x, homes)
		if f != nil {
			return x.honest(&answer{failure: f})
		}
		a := e.attempt(ctx, x, request, server, 0)
		if a.failure == nil {
			return a
		}
		x.tried = append(x.tried, server)
		x.started = x.started || a.failure.Outcome != failure.OutcomeNotRun
		if !e.mayRetry(ctx, x, a, homes != nil) {
			return x.honest(a)
		}
	}
}

// honest keeps a later attempt that did not run from hiding an earlier one that
// may have.
func (x *exchange) honest(a *answer) *answer {
	if x.started && a.failure.Outcome == failure.OutcomeNotRun {
		a.failure.Outcome = failure.OutcomeUnknown
	}
	return a
}

// homes returns the servers that may run a keyed request, in order, or nil when
// any server may.
func (e *Entry) homes(x *exchange) []*selector.Server {
	if !x.tracked() {
		return nil
	}
	return routing.Homes(x.homeServers, x.customer.Name, x.intent.Key)
}

// noServerRetry is the hint when no server can take a request now.
const noServerRetry = time.Second

func (e *Entry) choose(x *exchange, homes []*selector.Server) (string, *failure.Error) {
	if homes != nil {
		if len(x.tried) < len(homes) {
			return homes[len(x.tried)].Name, nil
		}
		return "", failure.NotRun(failure.StepRoute, "", failure.CodeNoServer, "every server has closed this key").After(noServerRetry)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	name := e.picker.Pick(e.now(), e.random, routing.Query{
		Candidates: x.route.Servers, Prefix: x.prefix, Tried: x.tried,
	})
	if name == "" {
		return "", failure.NotRun(failure.StepRoute, x.route.Spec.Service, failure.CodeNoServer,
			"no server of route "+x.route.Name+" can take the request now").After(noServerRetry)
	}
	return name, nil
}

// mayRetry decides whether another server may be asked. Only a request that
// provably did not run, or that is idempotent, goes anywhere else; a keyed one
// moves only when its home has closed the key.
func (e *Entry) mayRetry(ctx context.Context, x *exchange, a *answer, keyed bool) bool {
	if ctx.Err() != nil {
		return false
	}
	if keyed {
		return a.header.Get(wire.HeaderKeyClosed) != ""
	}
	if a.failure.Outcome != failure.OutcomeNotRun && !x.intent.Idempotent {
		return false
	}
	switch a.failure.Code {
	case failure.CodeServerLost, failure.CodeLeaving, failure.CodeOverloaded, failure.CodeWrongServer:
	default:
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Retry(x.customer.Name)
}

// attempt sends the request to one server. resumeAfter is the token offset to
// resume a stream after, or 0.
func (e *Entry) attempt(ctx context.Context, x *exchange, request *captured, server string, resumeAfter int64) *answer {
	r, f := e.send(ctx, x, request, server, resumeAfter)
	if f != nil {
		return &answer{failure: f, server: server}
	}
	header := r.response.Header
	if f := wire.ReadFailure(header, server); f != nil {
		e.settle(r)
		e.noteFailure(server, f)
		return &answer{failure: f, header: header, server: server}
	}
	e.noteSuccess(server)
	if isEventStream(header) {
		return &answer{status: r.response.StatusCode, header: header, events: r, server: server}
	}
	defer e.settle(r)
	body, err := io.ReadAll(io.LimitReader(r.response.Body, e.options.MaxAnswer+1))
	if err == nil && int64(len(body)) > e.options.MaxAnswer {
		err = errors.New("answer over the entry's limit")
	}
	if err != nil {
		return &answer{failure: failure.Unknown(failure.StepRelay, server, failure.CodeServerLost, err.Error()), server: server}
	}
	return &answer{status: r.response.StatusCode, header: header, body: body, server: server}
}

func isEventStream(header http.Header) bool {
	const eventStream = "text/event-stream"
	value := header.Get("Content-Type")
	return len(value) >= len(eventStream) && value[:len(eventStream)] == eventStream
}

func (e *Entry) send(ctx context.Context, x *exchange, request *captured, server string, resumeAfter int64) (*reply, *failure.Error) {
	row := e.index.Load().Server(server)
	if row == nil {
		return nil, failure.NotRun(failure.StepSend, server, failure.CodeWrongServer, "no longer configured")
	}
	ctx, cancel := context.WithCancel(ctx)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out, err := http.NewRequestWithContext(ctx, request.method, "http://"+row.Spec.Address+request.uri, onceBody(request.body))
	if err != nil {
		cancel()
		return nil, failure.NotRun(failure.StepSend, server, failure.CodeInvalid, err.Error())
	}
	out.ContentLength = int64(len(request.body))
	out.Header = request.header.Clone()
	e.envelope(x, server).Write(out.Header)
	out.Header.Set(wire.HeaderAuth, e.options.DaemonKey)
	if resumeAfter > 0 {
		out.Header.Set(wire.HeaderLastEventID, strconv.FormatInt(resumeAfter, 10))
	}
	e.noteSent(server)
	response, err := e.client.Do(out)
	if err != nil {
		e.noteEnded(server)
		f := e.sendFailure(ctx, x, server, err, connected.Load())
		cancel()
		return nil, f
	}
	e.noteLoad(server, response.Header)
	return &reply{server: server, response: response, cancel: cancel}, nil
}

// onceBody hides the body's type, so that Go's transport can't rewind it and
// never sends a request twice by itself.
func onceBody(body []byte) io.Reader {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}

func (e *Entry) envelope(x *exchange, server string) *wire.Envelope {
	return &wire.Envelope{
		RequestID: x.id, Customer: x.customer.Name, Weight: max(x.customer.Spec.Weight, 1),
		Class: x.intent.Class, Budget: x.deadline.Sub(e.now()), Idempotent: x.intent.Idempotent,
		Key: x.intent.Key, Cost: x.cost, Server: server, Homes: x.homes,
	}
}

// sendFailure tells a request that never left from one that may have arrived. A
// keyed request may have run earlier, through another entry, so when its home
// can't be reached nobody can say that it didn't.
func (e *Entry) sendFailure(ctx context.Context, x *exchange, server string, err error, connected bool) *failure.Error {
	var dial *net.OpError
	unsent := !connected || (errors.As(err, &dial) && dial.Op == "dial")
	code := failure.CodeServerLost
	if errors.Is(ctx.Err(), context.Canceled) {
		code = failure.CodeCanceled
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !e.now().Before(x.deadline) {
		code = failure.CodeDeadline
	}
	if code == failure.CodeServerLost {
		e.noteFailed(server)
	}
	switch {
	case unsent && x.tracked():
		return failure.Unknown(failure.StepSend, server, code,
			"the key's home can't be reached, and an earlier start there can't be ruled out: ask again with the same key").After(noServerRetry)
	case unsent:
		return failure.NotRun(failure.StepSend, server, code, err.Error()).After(noServerRetry)
	default:
		return failure.Unknown(failure.StepSend, server, code, err.Error())
	}
}

// settle gives up what a reply holds, once.
func (e *Entry) settle(r *reply) {
	if r.settled.Swap(true) {
		return
	}
	_ = r.response.Body.Close() // read to its end, or given up
	r.cancel()
	e.noteEnded(r.server)
}

func (e *Entry) noteSent(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Sent(server)
}

func (e *Entry) noteEnded(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Ended(server)
}

func (e *Entry) noteFailed(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Failed(e.now(), server)
}

// noteFailure counts what the server behind an agent did wrong.
func (e *Entry) noteFailure(server string, f *failure.Error) {
	if f.Code != failure.CodeServerLost {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Errored(e.now(), server)
}

func (e *Entry) noteSuccess(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Succeeded(server)
}

func (e *Entry) noteLoad(server string, header http.Header) {
	load, ok := wire.ParseLoad(header.Get(wire.HeaderLoad))
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Report(e.now(), server, header.Get(wire.HeaderIncarnation), load)
}
