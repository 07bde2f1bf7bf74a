package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/crowbridge/crowbridge/internal/intake"
	"github.com/crowbridge/crowbridge/internal/selector"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Paths of the OpenAI-style API.
const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
	pathModels     = "/v1/models"
	pathRequests   = "/v1/requests/"
)

// exchange is a caller's request and its state in the entry.
type exchange struct {
	ctx      *fasthttp.RequestCtx
	body     []byte
	id       string
	customer *selector.Customer
	route    *selector.Route
	intent   httpapi.Intent
	deadline time.Time
	// stream is set if the caller requested server-sent events.
	stream bool
	// cost is the estimated number of tokens, or 1 for a plain service.
	cost float64
	// prefix is the hash of the prompt's prefix, or 0.
	prefix uint64
	// homesOffset is the offset of the last change of the homes of the service's keys. The
	// route is from the same or a later configuration.
	homesOffset int64
	// homeServers are the servers that may be homes of keys.
	homeServers []*selector.Server
	// snapshot is the configuration that the request was routed by.
	snapshot *snapshot
}

func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	x := &exchange{ctx: ctx, id: uuid.NewString()}
	ctx.Response.Header.Set(headers.RequestID, x.id)
	if e.stopping.Load() {
		ctx.SetConnectionClose()
	}
	if conn := callerConn(ctx); conn != nil && !conn.BeginRequest() {
		writeFailure(x, notRead(x, intake.ErrGivenUp))
		return
	}
	if f := e.authenticate(x); f != nil {
		e.refuseUnread(x, f)
		return
	}
	path := string(ctx.Path())
	switch {
	case path == pathModels:
		e.serveModels(x)
	case strings.HasPrefix(path, pathRequests):
		e.serveCancel(x, strings.TrimPrefix(path, pathRequests))
	default:
		e.serveRequest(x, path)
	}
}

// callerConn returns the connection of a request, or nil if its listener isn't bounded.
func callerConn(ctx *fasthttp.RequestCtx) *intake.Conn {
	conn, _ := ctx.Conn().(*intake.Conn)
	return conn
}

// serveProtocolError responds to a request that fasthttp could not parse.
func serveProtocolError(ctx *fasthttp.RequestCtx, err error) {
	x := &exchange{ctx: ctx, id: uuid.NewString()}
	if errors.Is(err, intake.ErrFull) || errors.Is(err, intake.ErrGivenUp) {
		writeFailure(x, notRead(x, err))
		return
	}
	writeFailure(x, failure.NotRun(failure.StepParse, "", failure.CodeInvalid, err.Error()))
}

const bearerPrefix = "Bearer "

func (e *Entry) authenticate(x *exchange) *failure.Error {
	if !e.replica.View().Position.HasRecord() {
		return failure.NotRun(failure.StepAuthenticate, e.options.Name, failure.CodeNoServer,
			"the entry has no configuration yet").WithRetryAfter(noServerRetryAfter)
	}
	header := string(x.ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !strings.HasPrefix(header, bearerPrefix) {
		return failure.NotRun(failure.StepAuthenticate, "", failure.CodeUnauthorized, "Authorization: missing: send \"Bearer\" and your API key")
	}
	sum := sha256.Sum256([]byte(header[len(bearerPrefix):]))
	x.customer = e.snapshot.Load().index.CustomerByKeyHash(hex.EncodeToString(sum[:]))
	if x.customer == nil {
		return failure.NotRun(failure.StepAuthenticate, "", failure.CodeUnauthorized, "Authorization: unknown API key: send a valid one")
	}
	return nil
}

func (e *Entry) serveModels(x *exchange) {
	body, err := httpapi.EncodeModels(e.snapshot.Load().index.Models(x.customer, e.now()))
	if err != nil {
		writeFailure(x, failure.NotRun(failure.StepParse, "", failure.CodeInvalid, err.Error()))
		return
	}
	x.ctx.SetContentType("application/json")
	x.ctx.SetBody(body)
}

// serveCancel cancels a request in flight at this entry if it belongs to the customer.
func (e *Entry) serveCancel(x *exchange, id string) {
	if !x.ctx.IsDelete() {
		writeFailure(x, failure.NotRun(failure.StepParse, "", failure.CodeInvalid, fmt.Sprintf("method: %q: use DELETE to cancel a request", x.ctx.Method())))
		return
	}
	e.mu.Lock()
	cancel := e.cancels[requestRef{customer: x.customer.Name, requestID: id}]
	e.mu.Unlock()
	if cancel == nil {
		writeFailure(x, failure.NotRun(failure.StepRoute, "", failure.CodeNotFound, "you have no request with this ID in flight at this entry: check the ID, and cancel at the entry that received the request"))
		return
	}
	cancel(nil)
	x.ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func (e *Entry) serveRequest(x *exchange, path string) {
	if f := e.readBody(x); f != nil {
		e.refuseUnread(x, f)
		return
	}
	if f := e.parse(x, path); f != nil {
		writeFailure(x, f)
		return
	}
	if !e.admit(x) {
		writeFailure(x, failure.NotRun(failure.StepQueue, e.options.Name, failure.CodeOverloaded,
			"customer.maxInFlight: too many of your requests are in flight at this entry: retry when one has ended").WithRetryAfter(time.Second))
		return
	}
	e.execute(x)
}

// parse determines the route of a request that has been read.
func (e *Entry) parse(x *exchange, path string) *failure.Error {
	now := e.now()
	x.snapshot = e.snapshot.Load()
	index := x.snapshot.index
	if path == pathChat || path == pathCompletion {
		if f := e.parseCompletion(x, index, now); f != nil {
			return f
		}
	} else {
		x.route = index.RouteForPath(x.customer, path, now)
		x.cost = 1
	}
	if x.route == nil {
		return failure.NotRun(failure.StepRoute, "", failure.CodeNotFound, "you have no active route for this path or model; see /v1/models")
	}
	x.homesOffset = index.HomesOffset(x.route.Spec.Service)
	intent, err := httpapi.ParseIntent(x.header, defaultIntent(x.route), now, e.replica.View().Policy().ClockSkew())
	if err != nil {
		return failure.NotRun(failure.StepParse, "", failure.CodeInvalid, err.Error())
	}
	x.intent = intent
	if x.tracked() {
		x.homeServers = index.HomeServers(x.customer, x.route.Spec.Service)
	}
	x.deadline = now.Add(intent.Deadline)
	return nil
}

// readBody reads the request's body. It isn't awaited for longer than the caller waits for its response.
func (e *Entry) readBody(x *exchange) *failure.Error {
	stream := x.ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	conn, timeout := callerConn(x.ctx), readTimeout
	if deadline, found := httpapi.ParseDeadline(x.header); found {
		timeout = min(timeout, deadline)
	}
	if err := x.ctx.Conn().SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return failure.NotRun(failure.StepParse, "", failure.CodeInvalid, "set the read deadline for the body: "+err.Error())
	}
	body, err := conn.ReadBody(stream, int64(max(x.ctx.Request.Header.ContentLength(), intake.UnknownLength)), int64(e.options.MaxBody), nil)
	if err == nil {
		x.body = body
		return nil
	}
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return failure.NotRun(failure.StepParse, "", failure.CodeTooLarge,
			fmt.Sprintf("body size exceeds %d bytes: send less", e.options.MaxBody))
	case errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrGivenUp):
		return notRead(x, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.NotRun(failure.StepParse, "", failure.CodeSlowBody, "body not received within "+timeout.String()+": send it faster")
	default:
		return failure.NotRun(failure.StepParse, "", failure.CodeInvalid, "body incomplete: "+err.Error())
	}
}

// notRead returns the failure of a request for which there is no memory.
func notRead(x *exchange, cause error) *failure.Error {
	callerConn(x.ctx).LogRefusal(x.id, cause)
	return failure.NotRun(failure.StepParse, "", failure.CodeOverloaded, cause.Error()+": retry").WithRetryAfter(noMemoryRetryAfter)
}

// refuseUnread writes a failure response to a request whose body may not have been read, and closes the connection.
func (e *Entry) refuseUnread(x *exchange, f *failure.Error) {
	if x.ctx.RequestBodyStream() != nil {
		x.ctx.SetConnectionClose()
		if conn := callerConn(x.ctx); conn != nil {
			conn.Linger(int64(e.options.MaxBody))
		}
	}
	writeFailure(x, f)
}

// tracked reports whether the request has an idempotency key and is not idempotent: the
// home of its key then deduplicates it.
func (x *exchange) tracked() bool { return x.intent.Key != "" && !x.intent.Idempotent }

func (x *exchange) header(name string) string {
	return string(x.ctx.Request.Header.Peek(name))
}

func (e *Entry) parseCompletion(x *exchange, index *selector.Index, now time.Time) *failure.Error {
	if !x.ctx.IsPost() {
		return failure.NotRun(failure.StepParse, "", failure.CodeInvalid, fmt.Sprintf("method: %q: use POST", x.ctx.Method()))
	}
	release, err := callerConn(x.ctx).HoldCopy(len(x.body))
	if err != nil {
		return notRead(x, err)
	}
	completion, err := httpapi.ParseCompletion(x.body)
	release()
	if err != nil {
		return failure.NotRun(failure.StepParse, "", failure.CodeInvalid, err.Error())
	}
	x.stream = completion.Stream
	x.cost = completion.Cost()
	x.prefix = completion.Prefix()
	x.route = index.RouteForModel(x.customer, completion.Model, now)
	return nil
}

// defaultIntent returns the defaults of the route and its service for intent that a
// request doesn't specify.
func defaultIntent(route *selector.Route) httpapi.Intent {
	intent := httpapi.Intent{
		Class:      config.ClassNormal,
		Deadline:   httpapi.DefaultDeadline,
		Idempotent: route.Service.Idempotent,
	}
	for _, class := range []config.Class{route.Service.Class, route.Spec.Class} {
		if class != "" {
			intent.Class = class
		}
	}
	for _, ms := range []int64{route.Service.DeadlineMs, route.Spec.DeadlineMs} {
		if ms > 0 {
			intent.Deadline = time.Duration(ms) * time.Millisecond
		}
	}
	return intent
}

// admit counts the request against its customer's limit of requests in flight. It reports
// whether the limit allows it.
func (e *Entry) admit(x *exchange) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := x.customer.Spec.MaxInFlight
	if limit > 0 && e.inFlight[x.customer.Name] >= limit {
		return false
	}
	e.inFlight[x.customer.Name]++
	e.budget.RecordRequest(x.customer.Name)
	return true
}

// release removes a request that has ended.
func (e *Entry) release(x *exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[x.customer.Name]--
	if e.inFlight[x.customer.Name] == 0 {
		delete(e.inFlight, x.customer.Name)
	}
	delete(e.cancels, requestRef{customer: x.customer.Name, requestID: x.id})
}

// envelope returns the request's metadata for agents.
func (x *exchange) envelope() *headers.Envelope {
	return &headers.Envelope{
		RequestID: x.id, Customer: x.customer.Name, Weight: max(x.customer.Spec.Weight, 1),
		Class: x.intent.Class, Idempotent: x.intent.Idempotent, Key: x.intent.Key, Cost: x.cost, Homes: x.homesOffset,
	}
}

// noMemoryRetryAfter is the Retry-After hint when this entry has no memory for a request: another may serve it at
// once, and this is the shortest time that callers can be told.
const noMemoryRetryAfter = time.Second

// noServerRetryAfter is the Retry-After hint while the entry has no configuration.
const noServerRetryAfter = time.Second

func writeFailure(x *exchange, f *failure.Error) {
	response := &x.ctx.Response
	response.SetStatusCode(f.Status())
	response.Header.Set(headers.RequestID, x.id)
	response.Header.Set(headers.Outcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		response.Header.Set(fasthttp.HeaderRetryAfter, httpapi.RetryAfterSeconds(f.RetryAfter))
	}
	response.Header.SetContentType("application/json")
	response.SetBody(httpapi.EncodeFailure(f, x.id))
}
