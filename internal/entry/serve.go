package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/crowbridge/crowbridge/internal/selector"
	"github.com/crowbridge/crowbridge/internal/wire"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// Paths of the OpenAI-style API.
const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
	pathModels     = "/v1/models"
	pathRequests   = "/v1/requests/"
)

// exchange is one caller's request on its way through the entry.
type exchange struct {
	ctx      *fasthttp.RequestCtx
	body     []byte
	id       string
	customer *selector.Customer
	route    *selector.Route
	intent   httpapi.Intent
	deadline time.Time
	// stream is set when the caller asked for server-sent events.
	stream bool
	cost   float64
	prefix uint64
	// homes is the offset of the last change of where the service's keys live. The
	// route is from a configuration no older.
	homes int64
	// homeServers are the servers among which keys have their homes.
	homeServers []*selector.Server
	// compiled is the configuration that decided.
	compiled *compiled
}

func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	x := &exchange{ctx: ctx, id: uuid.NewString()}
	ctx.Response.Header.Set(wire.HeaderRequestID, x.id)
	if e.stopping.Load() {
		ctx.SetConnectionClose()
	}
	if f := e.authenticate(x); f != nil {
		writeFailure(x, f)
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

// serveProtocolError answers what fasthttp could not read as a request.
func serveProtocolError(ctx *fasthttp.RequestCtx, err error) {
	x := &exchange{ctx: ctx, id: uuid.NewString()}
	writeFailure(x, failure.NotRun(failure.StepParse, "", failure.CodeInvalid, err.Error()))
}

const bearer = "Bearer "

func (e *Entry) authenticate(x *exchange) *failure.Error {
	if !e.replica.View().Position.HasRecord() {
		return failure.NotRun(failure.StepAuthenticate, e.options.Name, failure.CodeNoServer,
			"this entry has no configuration yet").After(noServerRetry)
	}
	header := string(x.ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if !strings.HasPrefix(header, bearer) {
		return failure.NotRun(failure.StepAuthenticate, "", failure.CodeUnauthorized, "Authorization: missing: send Bearer and your API key")
	}
	sum := sha256.Sum256([]byte(header[len(bearer):]))
	x.customer = e.index.Load().index.CustomerByKeyHash(hex.EncodeToString(sum[:]))
	if x.customer == nil {
		return failure.NotRun(failure.StepAuthenticate, "", failure.CodeUnauthorized, "Authorization: unknown API key")
	}
	return nil
}

func (e *Entry) serveModels(x *exchange) {
	body, err := httpapi.EncodeModels(e.index.Load().index.Models(x.customer, e.now()))
	if err != nil {
		writeFailure(x, failure.NotRun(failure.StepParse, "", failure.CodeInvalid, err.Error()))
		return
	}
	x.ctx.SetContentType("application/json")
	x.ctx.SetBody(body)
}

// serveCancel cancels one of the customer's own requests at this entry.
func (e *Entry) serveCancel(x *exchange, id string) {
	if !x.ctx.IsDelete() {
		writeFailure(x, failure.NotRun(failure.StepParse, "", failure.CodeInvalid, "method: use DELETE to cancel a request"))
		return
	}
	e.mu.Lock()
	cancel := e.cancels[requestRef{customer: x.customer.Name, requestID: id}]
	e.mu.Unlock()
	if cancel == nil {
		writeFailure(x, failure.NotRun(failure.StepRoute, "", failure.CodeNotFound, "no such request of yours in flight at this entry"))
		return
	}
	cancel(nil)
	x.ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func (e *Entry) serveRequest(x *exchange, path string) {
	if f := e.parse(x, path); f != nil {
		writeFailure(x, f)
		return
	}
	if !e.enter(x) {
		writeFailure(x, failure.NotRun(failure.StepQueue, e.options.Name, failure.CodeOverloaded,
			"customer.maxInFlight reached at this entry").After(time.Second))
		return
	}
	e.execute(x)
}

// parse reads the request and finds its route.
func (e *Entry) parse(x *exchange, path string) *failure.Error {
	if f := e.readBody(x); f != nil {
		return f
	}
	now := e.now()
	x.compiled = e.index.Load()
	index := x.compiled.index
	if path == pathChat || path == pathCompletion {
		if f := e.parseCompletion(x, index, now); f != nil {
			return f
		}
	} else {
		x.route = index.RouteForPath(x.customer, path, now)
		x.cost = 1
	}
	if x.route == nil {
		return failure.NotRun(failure.StepRoute, "", failure.CodeNotFound, "no route of yours serves this path or model now; see /v1/models")
	}
	x.homes = index.HomesOffset(x.route.Spec.Service)
	intent, err := httpapi.ParseIntent(x.header, defaults(x.route), now, e.replica.View().Policy().ClockSkew())
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

// drainBytes bounds what is read of a body over the limit, so that the caller
// gets to read the refusal instead of a reset connection.
const drainBytes = 64 << 20

func (e *Entry) readBody(x *exchange) *failure.Error {
	stream := x.ctx.RequestBodyStream()
	if stream == nil {
		x.body = bytes.Clone(x.ctx.PostBody()) // fasthttp uses its buffer again
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(e.options.MaxBody)+1))
	if err != nil {
		return failure.NotRun(failure.StepParse, "", failure.CodeInvalid, "body cut: "+err.Error())
	}
	if len(body) > e.options.MaxBody {
		// What the drain meets doesn't change the refusal.
		_, _ = io.Copy(io.Discard, io.LimitReader(stream, drainBytes))
		x.ctx.SetConnectionClose()
		return failure.NotRun(failure.StepParse, "", failure.CodeTooLarge,
			fmt.Sprintf("body size over %d bytes: send less", e.options.MaxBody))
	}
	x.body = body
	return nil
}

// tracked tells whether the request must not be repeated and has a key: its home
// decides about it.
func (x *exchange) tracked() bool { return x.intent.Key != "" && !x.intent.Idempotent }

func (x *exchange) header(name string) string {
	return string(x.ctx.Request.Header.Peek(name))
}

func (e *Entry) parseCompletion(x *exchange, index *selector.Index, now time.Time) *failure.Error {
	if !x.ctx.IsPost() {
		return failure.NotRun(failure.StepParse, "", failure.CodeInvalid, "method: use POST")
	}
	completion, err := httpapi.ParseCompletion(x.body)
	if err != nil {
		return failure.NotRun(failure.StepParse, "", failure.CodeInvalid, err.Error())
	}
	x.stream = completion.Stream
	x.cost = completion.Cost()
	x.prefix = completion.Prefix()
	x.route = index.RouteForModel(x.customer, completion.Model, now)
	return nil
}

// defaults returns what the route and its service assume for silent requests.
func defaults(route *selector.Route) httpapi.Intent {
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

// enter counts the request against its customer's bound.
func (e *Entry) enter(x *exchange) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	bound := x.customer.Spec.MaxInFlight
	if bound > 0 && e.inFlight[x.customer.Name] >= bound {
		return false
	}
	e.inFlight[x.customer.Name]++
	e.budget.RecordRequest(x.customer.Name)
	return true
}

// leave forgets a request that has ended.
func (e *Entry) leave(x *exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[x.customer.Name]--
	if e.inFlight[x.customer.Name] == 0 {
		delete(e.inFlight, x.customer.Name)
	}
	delete(e.cancels, requestRef{customer: x.customer.Name, requestID: x.id})
}

// envelope is what agents need to know of the request.
func (x *exchange) envelope() *wire.Envelope {
	return &wire.Envelope{
		RequestID: x.id, Customer: x.customer.Name, Weight: max(x.customer.Spec.Weight, 1),
		Class: x.intent.Class, Idempotent: x.intent.Idempotent, Key: x.intent.Key, Cost: x.cost, Homes: x.homes,
	}
}

// noServerRetry is the hint when no server can take a request now.
const noServerRetry = time.Second

func writeFailure(x *exchange, f *failure.Error) {
	response := &x.ctx.Response
	response.SetStatusCode(f.Status())
	response.Header.Set(wire.HeaderRequestID, x.id)
	response.Header.Set(wire.HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		response.Header.Set(fasthttp.HeaderRetryAfter, httpapi.RetryAfterSeconds(f.RetryAfter))
	}
	response.Header.SetContentType("application/json")
	response.SetBody(httpapi.EncodeFailure(f, x.id))
}
