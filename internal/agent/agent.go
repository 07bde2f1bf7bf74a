// Package agent is the door of one backend server. All requests to the server
// pass it, from whichever entry they come, so it alone decides what starts: it
// holds the queue, the table of idempotency keys, and the refusal when leaving.
package agent

import (
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/admission"
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
	"github.com/crowbridge/crowbridge/internal/wire"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

// Options are an agent's settings.
type Options struct {
	// Server is the backend server's name in the configuration.
	Server string
	// Backend is the server's base URL, such as http://10.0.0.7:8000.
	Backend string
	// Protocol tells how the server is spoken to.
	Protocol config.Protocol
	// MaxBody and MaxAnswer bound a request's and an unstreamed answer's bytes.
	MaxBody     int64
	MaxResponse int64
	// MaxQueued bounds the waiting requests.
	MaxQueued int
	// MaxConcurrency bounds the running requests until the configuration says it.
	MaxConcurrency int
	// Key authenticates daemons to each other.
	Key string
	// SuspendAwareNow gives times that count suspensions of the VM, for comparing with each other
	// only; nil for those of the agent's own clock.
	SuspendAwareNow func() time.Time
}

const (
	// comeBack is the hint for callers when another server, or this one soon, can
	// take the request.
	comeBack    = time.Second
	maxKeys     = 200000
	maxKeyBytes = 48 << 20
)

// Agent is the aggregate of queue, key table and ledger of one backend server.
//
// Lock order: mu only; the ledger's lock is a leaf that may be taken under it.
// Nothing that blocks is done under mu.
type Agent struct {
	options     Options
	log         *logrus.Entry
	incarnation string
	now         func() time.Time
	elapsed     func() time.Time

	mu      sync.Mutex
	queue   *admission.Queue
	keys    *outcome.Keys
	waiters map[string]*waiter
	leaving bool
	// draining is set while the operators drain the server.
	draining bool
	homes    int64 // offset of the last change of where the service's keys live
	timer    *time.Timer
	// notice is what the server has said of itself, lookedAt when it was last looked
	// whether it has ended.
	notice   eligibility.Report
	lookedAt time.Time
	// limits has the limit that the server has named.
	limits *ratelimit.Table
	active int // handlers between arrival and the last byte of the answer

	ledger outcome.Ledger
	idle   chan struct{} // closed when leaving and nothing is active
}

// waiter is a queued request's handler.
type waiter struct {
	start   chan struct{}
	refused chan *failure.Error
}

// New returns an agent. now gives the time; its wall clock is compared with the
// times in idempotency keys.
func New(options Options, policy config.Policy, now func() time.Time, log *logrus.Entry) *Agent {
	a := &Agent{
		options:     options,
		log:         log,
		incarnation: uuid.NewString(),
		now:         now,
		elapsed:     options.SuspendAwareNow,
		waiters:     map[string]*waiter{},
		idle:        make(chan struct{}),
		homes:       config.NoOffset,
		limits:      newLimits(),
	}
	if a.elapsed == nil {
		a.elapsed = now
	}
	a.queue = admission.NewQueue(admission.Options{
		Limit: admission.LimitOptions{
			Min: 1, Max: options.MaxConcurrency,
		},
		MaxQueued:      options.MaxQueued,
		PatientPercent: policy.PatientPercent,
	})
	a.keys = outcome.NewKeys(outcome.KeysOptions{
		Started: now(), Window: policy.KeyWindow(), Skew: policy.ClockSkew(),
		MaxKeys: maxKeys, MaxBytes: maxKeyBytes,
	})
	return a
}

// Configuration is what of the deployment's configuration concerns an agent.
type Configuration struct {
	Policy config.Policy
	// MaxConcurrency bounds the running requests.
	MaxConcurrency int
	// HomesChange is the last change of where the service's keys live; zero if unknown.
	HomesChange config.HomesChange
	// Draining is set while the operators drain the server: its keys move on.
	Draining bool
}

// Configure brings a configuration into force.
func (a *Agent) Configure(c Configuration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = c.Draining
	a.queue.Configure(c.MaxConcurrency, c.Policy.PatientPercent)
	a.keys.SetWindow(a.now(), c.Policy.KeyWindow(), c.Policy.ClockSkew())
	if c.HomesChange != (config.HomesChange{}) {
		a.homes = c.HomesChange.Offset
		a.keys.MarkHomesChanged(time.UnixMilli(c.HomesChange.TimeMs))
	}
	a.pump()
}

// Incarnation identifies this run of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// OutcomeCounts returns how the requests that arrived here ended.
func (a *Agent) OutcomeCounts() outcome.Counts { return a.ledger.Counts() }

// Load returns the present load report.
func (a *Agent) Load() wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return wire.Load{
		InFlight: a.queue.Running(), Queued: a.queue.Queued(), Limit: a.queue.Limit(),
		Leaving: a.leaving, ServiceTime: a.queue.ServiceTime(),
	}
}

// Leave refuses new work from now on. Requests that were taken finish. The
// channel is closed when none is left.
func (a *Agent) Leave() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.leaving {
		a.leaving = true
		a.signalIdle()
	}
	return a.idle
}

func (a *Agent) signalIdle() {
	if !a.leaving || a.active > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

func (a *Agent) enter() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active++
}

func (a *Agent) exit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	a.signalIdle()
}

// offer queues the request. The waiter tells when it may start or that it won't.
func (a *Agent) offer(request admission.Request) (*waiter, *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return nil, failure.NotRun(failure.StepQueue, a.options.Server, failure.CodeLeaving, "the server is leaving").After(comeBack)
	}
	if bar := a.bar(); bar != nil {
		return nil, a.barred(bar)
	}
	if f := a.overLimit(request); f != nil {
		return nil, f
	}
	if f := a.queue.Offer(a.now(), request); f != nil {
		f.Peer = a.options.Server
		return nil, f
	}
	w := &waiter{start: make(chan struct{}), refused: make(chan *failure.Error, 1)}
	a.waiters[request.ID] = w
	a.pump()
	return w, nil
}

// withdraw takes a waiting request out. True means that it never starts.
func (a *Agent) withdraw(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queue.Withdraw(id) {
		return false
	}
	if w := a.take(id); w != nil {
		w.refused <- failure.NotRun(failure.StepQueue, a.options.Server, failure.CodeCanceled, "withdrawn while waiting")
	}
	a.pump()
	return true
}

// done ends a started request.
func (a *Agent) done(id string, cost float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Done(a.now(), id, cost, ok)
	a.pump()
}

// pump hands out refusals and starts, and sets the timer for the next deadline.
// The caller holds mu.
func (a *Agent) pump() {
	now := a.now()
	a.refuseExpired(now)
	for _, request := range a.queue.Dispatch(now) {
		if w := a.take(request.ID); w != nil {
			close(w.start)
		}
	}
	a.refuseExpired(now)
	a.arm(now)
}

func (a *Agent) refuseExpired(now time.Time) {
	for _, refusal := range a.queue.TakeRefusals(now) {
		refusal.Failure.Peer = a.options.Server
		if w := a.take(refusal.Request.ID); w != nil {
			w.refused <- refusal.Failure
		}
	}
}

func (a *Agent) take(id string) *waiter {
	w := a.waiters[id]
	delete(a.waiters, id)
	return w
}

func (a *Agent) arm(now time.Time) {
	at, any := a.queue.NextDeadline()
	if !any {
		return
	}
	delay := max(at.Sub(now), time.Millisecond)
	if a.timer == nil {
		a.timer = time.AfterFunc(delay, a.onDeadline)
		return
	}
	a.timer.Reset(delay)
}

func (a *Agent) onDeadline() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pump()
}

// verdictStale says that entry and agent disagree about where keys live; it's
// the agent's own, beside those of the key table.
const verdictStale outcome.Decision = -1

// beginKey asks the key table whether a keyed request may start. A key that was
// never seen is taken only from an entry that knows the same homes: one of the
// two would send it elsewhere.
func (a *Agent) beginKey(key outcome.Key, bodyHash string, homes int64) (outcome.Decision, outcome.Response, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if homes != a.homes && !a.keys.Has(key) {
		return verdictStale, outcome.Response{}, nil
	}
	bar := a.bar()
	serverLeaves := bar != nil && bar.Reason == eligibility.Leaving
	return a.keys.Begin(a.now(), key, bodyHash, a.leaving || a.draining || serverLeaves)
}

// endKey records how a keyed request that was permitted to run ended.
func (a *Agent) endKey(key outcome.Key, end failure.Outcome, answer outcome.Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch end {
	case failure.OutcomeAnswered:
		a.keys.Finish(a.now(), key, answer)
	case failure.OutcomeNotRun:
		a.keys.Release(key)
	case failure.OutcomeUnknown:
		a.keys.MarkLost(a.now(), key)
	default:
		a.keys.MarkLost(a.now(), key)
	}
}
