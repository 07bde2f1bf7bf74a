package dispatch

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/outcome"
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
	board   *Board
	backend Backend
	now     func() time.Time
	log     *logrus.Entry
	ledger  outcome.Ledger
}

// NewPipeline returns a pipeline over a view of the fleet.
func NewPipeline(f Fleet, board *Board, backend Backend, now func() time.Time, log *logrus.Entry) *Pipeline {
	return &Pipeline{fleet: f, board: board, backend: backend, now: now, log: log}
}

// Result is how a request ended.
type Result struct {
	// Failure is nil when the caller got a server's whole answer.
	Failure *failure.Error
	// Begun is set when the caller got a part of an answer: with a Failure, the
	// connection has to be broken so that the part doesn't look whole.
	Begun bool
}

// exchange is one request on its way through the pipeline.
type exchange struct {
	request *Request
	config  *fleet.Config
	route   *fleet.Route
	service *fleet.Service
	// limit is when the caller gets its final answer at the latest.
	limit time.Time
	// tried are the servers that had their chance; sent counts those that may have
	// got the request.
	tried []string
	sent  int
	// mayHaveRun is set once a server that got the request hasn't said that it didn't run it.
	mayHaveRun bool
	begun      bool
	// paid is set when the next attempt has been taken from the retry budget.
	paid bool
	// repeated is set when the caller has tried before.
	repeated bool
	// lastEvent is the last event that the caller got, or -1.
	lastEvent int64
	status    int
	// server got the last attempt; picked and the operators' rule decided for it.
	server string
	picked choice
	rule   string
}

// Serve takes one request to its end. The context ends when the caller leaves.
func (p *Pipeline) Serve(ctx context.Context, r *Request, caller Caller) Result {
	x := &exchange{request: r, lastEvent: -1}
	ticket := p.ledger.Accept()
	f := p.accept(x)
	if f == nil {
		limited, cancel := context.WithTimeout(ctx, x.limit.Sub(p.now()))
		f = p.execute(limited, x, caller)
		cancel()
		f = p.explain(ctx, x, f)
	}
	p.record(x, f)
	ticket.Close(outcomeOf(f))
	return Result{Failure: f, Begun: x.begun}
}

// Ledger returns how the requests ended.
func (p *Pipeline) Ledger() outcome.Counts { return p.ledger.Counts() }

// outcomeOf is what the caller of a request may rely on.
func outcomeOf(f *failure.Error) failure.Outcome {
	if f == nil {
		return failure.OutcomeAnswered
	}
	return f.Outcome
}

// accept authenticates the request and finds its route and limit.
func (p *Pipeline) accept(x *exchange) *failure.Error {
	r := x.request
	x.config = p.fleet.Config()
	if x.config == nil || p.fleet.Servers() == nil {
		return failure.NotRun(failure.StepRoute, "", failure.CodeNoServer, "no configuration is known yet").After(unconfiguredRetry)
	}
	x.route = x.config.Route(r.Host, r.Path)
	if x.route == nil {
		return failure.NotRun(failure.StepRoute, "", failure.CodeNotFound, "no route has this host and path")
	}
	var customer *fleet.Customer
	if x.config.NeedsKey(x.route) {
		customer = x.config.Customer(r.APIKey)
		if customer == nil {
			return failure.NotRun(failure.StepAuthenticate, "", failure.CodeUnauthorized, "unknown API key")
		}
		r.Customer = customer.Name
	}
	r.Priority = fleet.Priority(x.route, customer)
	x.service = x.config.Service(pickTarget(x.route, r.ID))
	if x.service == nil {
		return failure.NotRun(failure.StepRoute, x.route.Name, failure.CodeNoServer, "the route's service isn't configured").After(noServerRetry)
	}
	x.limit = r.Arrived.Add(x.route.Timeout)
	if deadline := r.Arrived.Add(r.Patience); r.HasDeadline && deadline.Before(x.limit) {
		x.limit = deadline
	}
	x.repeated = p.board.countRequest(x.service.Name, x.route.Name, r, p.now())
	return nil
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
func (p *Pipeline) execute(ctx context.Context, x *exchange, caller Caller) *failure.Error {
	for {
		server, f := p.choose(ctx, x)
		if f != nil {
			return f
		}
		f = p.attempt(ctx, x, server, caller)
		if f == nil {
			return nil
		}
		x.tried = append(x.tried, server.ID)
		again := p.mayRepeat(ctx, x, f)
		p.logAttempt(x, server, f, again)
		if !again {
			return f
		}
	}
}

// choose picks a server, or refuses.
func (p *Pipeline) choose(ctx context.Context, x *exchange) (*fleet.Server, *failure.Error) {
	if f := p.awaitGroup(ctx, x); f != nil {
		return nil, f
	}
	picked := p.board.pick(p.now(), p.candidates(x), x.tried)
	if picked.server == nil {
		return nil, failure.NotRun(failure.StepRoute, x.service.Name, failure.CodeNoServer,
			"no server of the service can take the request").After(noServerRetry)
	}
	if f := p.admit(x, picked); f != nil {
		return nil, f
	}
	x.picked = picked
	return picked.server, nil
}

// candidates are the servers that the operators allow for a request.
func (p *Pipeline) candidates(x *exchange) []*fleet.Server {
	servers, rule := p.fleet.Allowed(x.service.Name, x.request.Customer)
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
	if f.Code == failure.CodeCanceled || f.Code == failure.CodeDeadline {
		return false
	}
	if x.begun && x.lastEvent < 0 {
		return false
	}
	if x.paid {
		x.paid = false
		return true
	}
	return x.sent == 0 || p.board.mayRepeat(x.service.Name, p.now())
}

// explain turns the final failure into one that is true of the whole request.
func (p *Pipeline) explain(caller context.Context, x *exchange, f *failure.Error) *failure.Error {
	if f == nil {
		return nil
	}
	switch {
	case caller.Err() != nil:
		f.Code = failure.CodeCanceled
	case !p.now().Before(x.limit):
		f.Code = failure.CodeDeadline
	}
	if x.mayHaveRun && f.Outcome == failure.OutcomeNotRun {
		f.Outcome = failure.OutcomeUnknown
	}
	if f.RetryAfter > 0 {
		left := x.limit.Sub(p.now())
		f.RetryAfter = max(min(f.RetryAfter, left/retryAfterPart), 0)
	}
	return f
}

// retryAfterPart is the part of the time left up to which callers follow a hint
// to come back.
const retryAfterPart = 3
