package dispatch

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Fleet is what the pipeline asks about the world.
type Fleet interface {
	// Config and Servers are nil until known.
	Config() *fleet.Config
	Servers() *fleet.Servers
	// Allowed returns the servers of a service that a customer's requests may go to now,
	// and the operators' rule that decided, or "".
	Allowed(service, customer string) (servers []*fleet.Server, rule string)
}

// Pipeline takes requests from their arrival to their end. Safe for concurrent use.
type Pipeline struct {
	fleet   Fleet
	board   *Balancer
	chooser Chooser
	backend Backend
	now     func() time.Time
	log     *logrus.Entry
	ledger  outcome.Ledger
	// quarantine may be nil.
	quarantine Quarantine
	// streamStall is the constant of that name, or what a spec sets.
	streamStall time.Duration
}

// NewPipeline returns a pipeline over a view of the fleet. The board chooses servers.
func NewPipeline(f Fleet, board *Balancer, backend Backend, now func() time.Time, log *logrus.Entry) *Pipeline {
	return &Pipeline{fleet: f, board: board, chooser: board, backend: backend, now: now, log: log, streamStall: streamStall}
}

// NewTargetPipeline returns a pipeline for frontends that know where their requests
// go: it takes ServeTarget only.
func NewTargetPipeline(f Fleet, chooser Chooser, backend Backend, now func() time.Time, log *logrus.Entry) *Pipeline {
	board := NewBalancer(RetryBudgetPolicy{}, "", func(int) int { return 0 })
	return &Pipeline{fleet: f, board: board, chooser: chooser, backend: backend, now: now, log: log, streamStall: streamStall}
}

// Result is how a request ended.
type Result struct {
	// Failure is nil when the caller got a server's whole answer.
	Failure *failure.Error
	// Started is set when the caller got a part of an answer: with a Failure, the
	// connection has to be broken so that the part doesn't look whole.
	Started bool
}

// exchange is one request on its way through the pipeline.
type exchange struct {
	Target
	request *Request
	route   *fleet.Route // Target's
	// tried are the keys of the servers that had their chance; sent counts those that may have
	// got the request.
	tried []string
	sent  int
	// mayHaveRun is set once a server that got the request hasn't said that it didn't run it.
	mayHaveRun bool
	begun      bool
	// paid is set when the next attempt has been taken from the retry budget, spent while it
	// hasn't begun.
	paid, spent bool
	// hasPlace is set once the request counts as its customer's in progress.
	hasPlace bool
	// movesOn is set when the last home has let the request go to the next.
	movesOn bool
	// entered is set while the request counts as in progress for the quarantine.
	entered bool
	// cutOff is set when the last attempt ended with its connection, and not by our doing.
	cutOff bool
	// lastEvent is the last event that the caller got, or -1.
	lastEvent int64
	status    int
	// server got the last attempt; picked and the operators' rule decided for it.
	server string
	picked Choice
	rule   string
	// askedAt is when the last attempt began, limit the limit of its server as it got the
	// request, or nil.
	askedAt time.Time
	limit   *ratelimit.Status
}

// Serve takes one request to its end. The context ends when the caller leaves.
func (p *Pipeline) Serve(ctx context.Context, r *Request, caller ResponseWriter) Result {
	target, f := p.accept(r)
	if f != nil {
		x := &exchange{Target: target, request: r, route: target.Route, lastEvent: -1}
		ticket := p.ledger.Accept()
		p.record(x, f)
		ticket.Close(f.Outcome)
		return Result{Failure: f}
	}
	return p.ServeTarget(ctx, r, target, caller)
}

// ServeTarget takes a request to its end whose target is known.
func (p *Pipeline) ServeTarget(ctx context.Context, r *Request, target Target, caller ResponseWriter) Result {
	x := &exchange{Target: target, request: r, route: target.Route, lastEvent: -1}
	r.behind, r.repeated, r.connections = target.behind, target.repeated, target.connections
	ticket := p.ledger.Accept()
	limited, cancel := context.WithTimeout(ctx, x.Deadline.Sub(p.now()))
	f := p.execute(limited, x, caller)
	cancel()
	p.giveBack(x)
	p.leave(x)
	if x.hasPlace {
		p.board.leftPlace(x.Service, x.request.Customer)
	}
	f = p.explain(ctx, x, f)
	p.record(x, f)
	ticket.Close(outcomeOf(f))
	return Result{Failure: f, Started: x.begun}
}

// OutcomeCounts returns how the requests ended.
func (p *Pipeline) OutcomeCounts() outcome.Counts { return p.ledger.Counts() }

// outcomeOf is what the caller of a request may rely on.
func outcomeOf(f *failure.Error) failure.Outcome {
	if f == nil {
		return failure.OutcomeAnswered
	}
	return f.Outcome
}

// accept authenticates the request and finds its target. With a failure, the target
// says what is known of it.
func (p *Pipeline) accept(r *Request) (Target, *failure.Error) {
	config := p.fleet.Config()
	if config == nil || p.fleet.Servers() == nil {
		return Target{}, failure.NotRun(failure.StepRoute, "", failure.CodeNoServer, "no configuration is known yet").After(unconfiguredRetry)
	}
	route := config.Route(r.Host, r.Path)
	target := Target{Version: config.Version, Route: route}
	if route == nil {
		return target, failure.NotRun(failure.StepRoute, "", failure.CodeNotFound, "no route has this host and path")
	}
	var customer *fleet.Customer
	if config.RequiresKey(route) {
		customer = config.Customer(r.APIKey)
		if customer == nil {
			return target, failure.NotRun(failure.StepAuthenticate, "", failure.CodeUnauthorized, "unknown API key")
		}
		r.Customer = customer.Name
	}
	r.Priority = fleet.Priority(route, customer)
	service := config.Service(pickTarget(route, r.ID))
	if service == nil {
		return target, failure.NotRun(failure.StepRoute, route.Name, failure.CodeNoServer, "the route's service isn't configured").After(noServerRetry)
	}
	target.Service, target.Deadline = service.Name, r.ReceivedAt.Add(route.Timeout)
	target.connections = service.MaxConns
	target.behind = config.PriorityGap(service.Name, r.Priority)
	if deadline := r.ReceivedAt.Add(r.Timeout); r.HasDeadline && deadline.Before(target.Deadline) {
		target.Deadline = deadline
	}
	target.repeated = p.board.countRequest(service.Name, route.Name, r, p.now())
	return target, nil
}

const (
	// unconfiguredRetry is the hint while a new entry learns its configuration.
	unconfiguredRetry = 300 * time.Millisecond
	// noServerRetry is the hint while no server of a service is there.
	noServerRetry = 500 * time.Millisecond
)

// pickTarget spreads the requests of a route over its services by weight. The
// same request ID always goes to the same one.
func pickTarget(route *fleet.Route, id string) string {
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
	_, _ = h.Write([]byte(id)) // a hash can't fail
	at := int(h.Sum32() % uint32(total))
	for _, target := range route.Targets {
		if at -= max(target.Weight, 0); at < 0 {
			return target.Service
		}
	}
	return route.Targets[0].Service
}

// execute sends the request until it has an end that can't be improved.
func (p *Pipeline) execute(ctx context.Context, x *exchange, caller ResponseWriter) *failure.Error {
	for {
		if f := p.enter(ctx, x); f != nil {
			return f
		}
		server, f := p.choose(ctx, x)
		if f != nil {
			return f
		}
		if !p.now().Before(x.Deadline) { // the VM was suspended meanwhile: timers don't show it
			return failure.NotRun(failure.StepQueue, x.Service, failure.CodeDeadline, "its time was over before a server got it")
		}
		f = p.attempt(ctx, x, server, caller)
		if f == nil {
			return nil
		}
		x.tried = append(x.tried, server.Key())
		again := p.mayRepeat(ctx, x, f)
		p.logAttempt(x, server, f, again)
		if !again {
			return f
		}
	}
}

// choose picks a server, or refuses.
func (p *Pipeline) choose(ctx context.Context, x *exchange) (*fleet.Server, *failure.Error) {
	if x.Homes != nil {
		return nextHome(x)
	}
	picked, f := p.pick(ctx, x)
	if f != nil {
		return nil, f
	}
	if picked.Server == nil {
		x.picked.Excluded, x.picked.Limited, x.picked.Full = picked.Excluded, picked.Limited, picked.Full
		return nil, p.noneTakes(x)
	}
	if f := p.admit(x, picked); f != nil {
		return nil, f
	}
	x.picked = picked
	return picked.Server, nil
}

// nextHome returns the home that decides about a request now.
func nextHome(x *exchange) (*fleet.Server, *failure.Error) {
	if len(x.tried) < len(x.Homes) {
		return x.Homes[len(x.tried)], nil
	}
	return nil, failure.NotRun(failure.StepRoute, "", failure.CodeNoServer, "every server has closed this key").After(noServerRetry)
}

// candidates are the servers that the operators allow for a request.
func (p *Pipeline) candidates(x *exchange) []*fleet.Server {
	servers, rule := p.fleet.Allowed(x.Service, x.request.Customer)
	x.rule = rule
	return servers
}

// mayRepeat decides whether another server may be asked after a failure.
func (p *Pipeline) mayRepeat(ctx context.Context, x *exchange, f *failure.Error) bool {
	if ctx.Err() != nil || x.sent >= x.route.MaxAttempts {
		return false
	}
	if f.Outcome != failure.OutcomeNotRun && !x.route.Idempotent() {
		return false
	}
	if x.Homes != nil {
		return x.movesOn
	}
	if !elsewhere[f.Code] {
		return false
	}
	if x.begun && x.lastEvent < 0 {
		return false
	}
	if x.sent == 0 {
		x.paid = false
		return true
	}
	x.spent = x.paid || p.chooser.AcquireRetry(x.Service, x.request.Customer, p.now())
	x.paid = false
	return x.spent
}

// giveBack gives back what was taken from the retry budget for an attempt that nobody gets: of
// all streams that a broken group cuts off, none can go on before it's back, and other requests
// would lack what theirs had taken.
func (p *Pipeline) giveBack(x *exchange) {
	if x.spent {
		x.spent = false
		p.chooser.ReleaseRetry(x.Service, x.request.Customer, p.now())
	}
}

// elsewhere are the causes after which another server may do better.
var elsewhere = map[failure.Code]bool{
	failure.CodeServerLost: true, failure.CodeWrongServer: true, failure.CodeOverloaded: true,
	failure.CodeNoServer: true, failure.CodeLeaving: true, failure.CodeSlow: true,
	failure.CodeResting: true, failure.CodeLimited: true,
}

// ErrLeaving is the cause of a request's context that ended because this process
// stops: the caller is still there, and may ask another.
var ErrLeaving = errors.New("this process is leaving")

// explain turns the final failure into one that is true of the whole request.
func (p *Pipeline) explain(caller context.Context, x *exchange, f *failure.Error) *failure.Error {
	if f == nil {
		return nil
	}
	switch {
	case errors.Is(context.Cause(caller), ErrLeaving):
		f.Code, f.RetryAfter = failure.CodeLeaving, noServerRetry
	case caller.Err() != nil:
		f.Code = failure.CodeCanceled
	case !p.now().Before(x.Deadline):
		f.Code = failure.CodeDeadline
	}
	if x.mayHaveRun && f.Outcome == failure.OutcomeNotRun {
		f.Outcome = failure.OutcomeUnknown
	}
	if f.RetryAfter > 0 && !untilThen[f.Code] {
		left := x.Deadline.Sub(p.now())
		f.RetryAfter = max(min(f.RetryAfter, left/retryAfterPart), 0)
	}
	return f
}

// untilThen are the causes that last until the time of their hint: coming back sooner makes
// no sense, however little time the caller has left.
var untilThen = map[failure.Code]bool{failure.CodeQuarantined: true, failure.CodeResting: true, failure.CodeLimited: true}

// retryAfterPart is the part of the time left up to which callers follow a hint
// to come back.
const retryAfterPart = 3
