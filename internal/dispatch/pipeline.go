package dispatch

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/crowbridge/crowbridge/internal/deadline"
	"github.com/crowbridge/crowbridge/internal/drain"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/crowbridge/crowbridge/internal/quarantine"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Fleet is the pipeline's view of configuration and servers.
type Fleet interface {
	// Config and Servers return nil until known.
	Config() *fleet.Config
	Servers() *fleet.Servers
	// Allowed returns the servers of a service that a customer's requests may use now, and the
	// name of the operators' rule that applied, or "".
	Allowed(service, customer string) (servers []*fleet.Server, rule string)
}

// Pipeline processes requests from arrival to final outcome. Safe for concurrent use.
type Pipeline struct {
	fleet    Fleet
	balancer *Balancer
	chooser  Chooser
	backend  Backend
	now      func() time.Time
	log      *logrus.Entry
	ledger   outcome.Ledger
	// quarantine may be nil.
	quarantine Quarantine
	// stop is the planned stop of this process; durations tells which requests end in time.
	stop      drain.Window
	durations *drain.Durations
	// firstBytes and responses hold how long attempts took to the first byte and to the end, by route.
	firstBytes, responses *drain.Durations
	// stallTimeout replaces that of routes if it is set; tests shorten it.
	stallTimeout time.Duration
}

// NewPipeline returns a pipeline whose servers are chosen by the balancer.
func NewPipeline(f Fleet, balancer *Balancer, backend Backend, now func() time.Time, log *logrus.Entry) *Pipeline {
	return newPipeline(f, balancer, balancer, backend, now, log)
}

func newPipeline(f Fleet, balancer *Balancer, chooser Chooser, backend Backend, now func() time.Time, log *logrus.Entry) *Pipeline {
	return &Pipeline{
		fleet: f, balancer: balancer, chooser: chooser, backend: backend, now: now, log: log, durations: drain.NewDurations(),
		firstBytes: drain.NewDurations(), responses: drain.NewDurations(),
	}
}

// NewTargetPipeline returns a pipeline for frontends that route requests themselves; only
// ServeTarget may be used.
func NewTargetPipeline(f Fleet, chooser Chooser, backend Backend, now func() time.Time, log *logrus.Entry) *Pipeline {
	balancer := NewBalancer(RetryBudgetPolicy{}, "", func(int) int { return 0 })
	return newPipeline(f, balancer, chooser, backend, now, log)
}

// Result is the final outcome of a request.
type Result struct {
	// Failure is nil when the caller received a complete response.
	Failure *failure.Error
	// Started is set when the caller received part of a response. With a Failure, the connection
	// must be aborted so that the response doesn't look complete.
	Started bool
}

// exchange is the state of one request in the pipeline.
type exchange struct {
	Target
	request *Request
	route   *fleet.Route // the same as Target.Route
	// tried holds the keys of the servers that were attempted; sentAttempts counts those that
	// may have received the request.
	tried        []string
	sentAttempts int
	// mayHaveRun is set once a server that may have received the request hasn't denied running
	// it.
	mayHaveRun bool
	// caller is what the caller receives.
	caller callerResponse
	// hasRetryToken is set when a retry was acquired in advance for the next attempt,
	// retryTokenUnused from the decision to retry until the attempt begins.
	hasRetryToken, retryTokenUnused bool
	// hasSlot is set while the request counts as one of its customer's in progress.
	hasSlot bool
	// tryNextHome is set when the last home permits the request to move to the next one.
	tryNextHome bool
	// admitted is set while the quarantine counts the request as in progress.
	admitted bool
	// connectionLost is set when the connection of the last attempt was lost, unless this entry
	// or the caller closed it.
	connectionLost bool
	// parts describe the responses that were received, in order; part is that of the last attempt,
	// or nil.
	parts []*responsePart
	part  *responsePart
	// server is the ID of the last attempt's server; choice and the operators' rule led to it.
	server string
	choice Choice
	rule   string
	// sentAt is when the last attempt began; limit is its server's rate limit at that time, or
	// nil.
	sentAt time.Time
	limit  *ratelimit.Status
	// lastEventAt is when the caller was sent its last event.
	lastEventAt time.Time
	// forecast is what was last expected of the request while it could not begin, and budget the time that
	// its caller had then; waited is how long it has waited here.
	forecast deadline.Forecast
	budget   deadline.Budget
	waited   time.Duration
	// place is its place among the waiting requests; slotWaitSince is when it began to wait for a slot that isn't
	// left to others, or zero.
	place         *place
	slotWaitSince time.Time
	// needsHint is set if the last attempt's failure still lacks its retry hint.
	needsHint bool
	// firstByteAt is when the last attempt's first byte or event arrived.
	firstByteAt time.Time
}

func newExchange(r *Request, target Target, w ResponseWriter) *exchange {
	return &exchange{Target: target, request: r, route: target.Route, caller: newCallerResponse(w, r, target.HasEndEvent)}
}

// fingerprint identifies the request to the quarantine.
func (x *exchange) fingerprint() quarantine.Fingerprint { return x.request.fingerprint(x.Service) }

// digest identifies the request and the caller's repetitions of it.
func (x *exchange) digest() quarantine.Digest { return x.fingerprint().Digest }

// Serve processes a request. The context ends when the caller disconnects.
func (p *Pipeline) Serve(ctx context.Context, r *Request, w ResponseWriter) Result {
	target, f := p.resolveTarget(r)
	if f != nil {
		x := newExchange(r, target, w)
		ticket := p.ledger.Accept()
		p.recordResult(x, f)
		ticket.Close(f.Outcome)
		return Result{Failure: f}
	}
	return p.ServeTarget(ctx, r, target, w)
}

// ServeTarget processes a request that has been routed already.
func (p *Pipeline) ServeTarget(ctx context.Context, r *Request, target Target, w ResponseWriter) Result {
	x := newExchange(r, target, w)
	r.priorityGap, r.maxConnections = target.priorityGap, target.maxConnections
	ticket := p.ledger.Accept()
	run := p.durations.Begin(x.route.Name, p.now())
	attemptCtx, cancel := context.WithTimeout(ctx, x.Deadline.Sub(p.now()))
	f := p.execute(attemptCtx, x)
	cancel()
	p.releaseRetry(x)
	p.releaseQuarantine(x)
	if x.hasSlot {
		p.balancer.releaseSlot(x.Service, x.request.Customer)
	}
	f = p.finalFailure(ctx, x, f)
	p.recordResult(x, f)
	p.durations.End(run, p.now(), x.sentAttempts > 0)
	ticket.Close(outcomeOf(f))
	return Result{Failure: f, Started: x.caller.started}
}

// OutcomeCounts returns the number of requests by outcome.
func (p *Pipeline) OutcomeCounts() outcome.Counts { return p.ledger.Counts() }

// outcomeOf returns the outcome that is reported to the caller.
func outcomeOf(f *failure.Error) failure.Outcome {
	if f == nil {
		return failure.OutcomeAnswered
	}
	return f.Outcome
}

// Check returns why a request can't be served, whatever its body is, or nil.
func (p *Pipeline) Check(r *Request) *failure.Error {
	_, _, _, f := p.authorize(r)
	return f
}

// authorize routes a request and finds its customer, or nil for a public route.
func (p *Pipeline) authorize(r *Request) (*fleet.Config, *fleet.Route, *fleet.Customer, *failure.Error) {
	config := p.fleet.Config()
	if config == nil || p.fleet.Servers() == nil {
		return nil, nil, nil, failure.NotRun(failure.StepRoute, "", failure.CodeNoServer, "no configuration has been loaded yet").WithRetryAfter(p.retryAfterUnknown(r.Timeout))
	}
	route := config.Route(r.Host, r.Path)
	if route == nil {
		return config, nil, nil, failure.NotRun(failure.StepRoute, "", failure.CodeNotFound, "no route matches this host and path")
	}
	if !config.RequiresKey(route) {
		return config, route, nil, nil
	}
	customer := config.Customer(r.APIKey)
	if customer == nil {
		return config, route, nil, failure.NotRun(failure.StepAuthenticate, "", failure.CodeUnauthorized, "unknown API key")
	}
	return config, route, customer, nil
}

// resolveTarget authenticates the request and routes it. On failure, the target holds what is
// known so far.
func (p *Pipeline) resolveTarget(r *Request) (Target, *failure.Error) {
	config, route, customer, f := p.authorize(r)
	if config == nil {
		return Target{}, f
	}
	target := Target{Version: config.Version, Route: route}
	if f != nil {
		return target, f
	}
	if customer != nil {
		r.Customer = customer.Name
	}
	r.Priority = fleet.Priority(route, customer)
	service := config.Service(pickService(route, r.ID))
	if service == nil {
		return target, failure.NotRun(failure.StepRoute, route.Name, failure.CodeNoServer, "the route's service is not configured").WithRetryAfter(p.retryAfterUnknown(r.Timeout))
	}
	target.Service, target.Deadline = service.Name, r.ReceivedAt.Add(route.Timeout)
	target.maxConnections, target.engine = service.MaxConns, service.Engine
	target.priorityGap = config.PriorityGap(service.Name, r.Priority)
	if deadline := r.ReceivedAt.Add(r.Timeout); r.HasDeadline && deadline.Before(target.Deadline) {
		target.Deadline = deadline
	}
	p.balancer.countRequest(service.Name, p.now())
	return target, nil
}

// pickService distributes a route's requests over its services by weight, deterministically by
// request ID.
func pickService(route *fleet.Route, id string) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += max(target.Weight, 0)
	}
	if total == 0 {
		return route.Targets[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // hashes don't return errors
	point := int(h.Sum32() % uint32(total))
	for _, target := range route.Targets {
		if point -= max(target.Weight, 0); point < 0 {
			return target.Service
		}
	}
	return route.Targets[0].Service
}

// execute attempts the request until it succeeds or may not be retried.
func (p *Pipeline) execute(ctx context.Context, x *exchange) *failure.Error {
	for {
		if f := p.checkStop(x); f != nil {
			return f
		}
		if f := p.checkQuarantine(ctx, x); f != nil {
			return f
		}
		server, f := p.selectServer(ctx, x)
		if f != nil {
			return f
		}
		if !p.now().Before(x.Deadline) { // the VM may have been suspended, which stops timers
			return failure.NotRun(failure.StepQueue, x.Service, failure.CodeDeadline, "deadline exceeded before the request was sent")
		}
		if f := p.checkStop(x); f != nil { // the request may have waited
			return f
		}
		f = p.attempt(ctx, x, server)
		if f == nil {
			return nil
		}
		x.tried = append(x.tried, server.Key())
		retry := p.shouldRetry(ctx, x, f)
		p.logFailedAttempt(x, server, f, retry)
		if !retry {
			if x.needsHint {
				f.RetryAfter = p.retryAfterAttempt(x, server)
			}
			return f
		}
	}
}

// nextHome returns the next home to try.
func (p *Pipeline) nextHome(x *exchange) (*fleet.Server, *failure.Error) {
	if len(x.tried) < len(x.Homes) {
		return x.Homes[len(x.tried)], nil
	}
	return nil, failure.NotRun(failure.StepRoute, "", failure.CodeNoServer, "every home has closed this key").WithRetryAfter(p.retryAfterUnknown(x.Deadline.Sub(p.now())))
}

// candidates returns the servers that the operators allow for a request.
func (p *Pipeline) candidates(x *exchange) []*fleet.Server {
	servers, rule := p.fleet.Allowed(x.Service, x.request.Customer)
	x.rule = rule
	return servers
}

// shouldRetry reports whether the request may be sent to another server after a failure. It
// acquires a retry from the budget if one is needed.
func (p *Pipeline) shouldRetry(ctx context.Context, x *exchange, f *failure.Error) bool {
	if ctx.Err() != nil || x.sentAttempts >= x.route.MaxAttempts {
		return false
	}
	if f.Outcome != failure.OutcomeNotRun && !x.route.Idempotent() {
		return false
	}
	if x.Homes != nil {
		return x.tryNextHome
	}
	if !retryableElsewhere[f.Code] {
		return false
	}
	if x.caller.started && !x.caller.resumable() {
		return false
	}
	if x.sentAttempts == 0 {
		x.hasRetryToken = false
		return true
	}
	x.retryTokenUnused = x.hasRetryToken || p.chooser.AcquireRetry(x.Service, x.request.Customer, p.now())
	x.hasRetryToken = false
	return x.retryTokenUnused
}

// releaseRetry returns a retry that was acquired for an attempt that never began. When a group
// breaks, none of its streams can resume, and they must not use up the budget of other
// requests.
func (p *Pipeline) releaseRetry(x *exchange) {
	if x.retryTokenUnused || x.hasRetryToken {
		x.retryTokenUnused, x.hasRetryToken = false, false
		p.chooser.ReleaseRetry(x.Service, x.request.Customer, p.now())
	}
}

// retryableElsewhere holds the codes after which another server may succeed.
var retryableElsewhere = map[failure.Code]bool{
	failure.CodeServerLost: true, failure.CodeWrongServer: true, failure.CodeOverloaded: true,
	failure.CodeNoServer: true, failure.CodeLeaving: true, failure.CodeSlow: true,
	failure.CodeResting: true, failure.CodeLimited: true, failure.CodeEndUnconfirmed: true,
}

// ErrLeaving is the cancellation cause of requests when this process shuts down. The caller is
// still connected and may retry elsewhere.
var ErrLeaving = errors.New("this process is shutting down")

// finalFailure adjusts the last attempt's failure so that it holds for the request as a whole.
func (p *Pipeline) finalFailure(callerCtx context.Context, x *exchange, f *failure.Error) *failure.Error {
	if f == nil {
		return nil
	}
	switch {
	case errors.Is(context.Cause(callerCtx), ErrLeaving):
		f.Code, f.RetryAfter = failure.CodeLeaving, p.retryAfterElsewhere()
	case callerCtx.Err() != nil:
		f.Code = failure.CodeCanceled
	case !p.now().Before(x.Deadline):
		f.Code = failure.CodeDeadline
	}
	if x.mayHaveRun && f.Outcome == failure.OutcomeNotRun {
		f.Outcome = failure.OutcomeUnknown
	}
	if f.RetryAfter > 0 && !fixedRetryAfter[f.Code] {
		remaining := x.Deadline.Sub(p.now())
		f.RetryAfter = max(min(f.RetryAfter, remaining/retryAfterDivisor), 0)
	}
	return f
}

// fixedRetryAfter holds the codes whose retry hint isn't bounded by the caller's remaining time:
// an earlier retry can't succeed.
var fixedRetryAfter = map[failure.Code]bool{failure.CodeQuarantined: true, failure.CodeResting: true, failure.CodeLimited: true}

// retryAfterDivisor is the divisor of the remaining time that gives the longest retry hint.
// Callers ignore longer ones.
const retryAfterDivisor = 3
