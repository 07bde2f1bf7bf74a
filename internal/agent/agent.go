// Package agent implements the proxy in front of one backend server. All requests to the
// server pass its agent, which queues them, deduplicates them by idempotency key and
// enforces the server's limits.
package agent

import (
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/admission"
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/drain"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

// Options are an agent's settings.
type Options struct {
	// Server is the backend server's name in the configuration.
	Server string
	// Backend is the server's base URL, such as http://10.0.0.7:8000.
	Backend string
	// Protocol is the server's protocol.
	Protocol config.Protocol
	// MaxBody and MaxResponse bound the bytes of a request body and of a buffered response.
	MaxBody     int64
	MaxResponse int64
	// MaxQueued bounds the queued requests.
	MaxQueued int
	// MaxConcurrency bounds the running requests until a configuration is applied.
	MaxConcurrency int
	// Key authenticates daemons to each other.
	Key string
	// SuspendAwareNow returns times that include suspensions of the VM and are comparable
	// only with each other. If nil, the agent's clock is used.
	SuspendAwareNow func() time.Time
}

const (
	// retryHint is the Retry-After hint when this server or another can probably accept the
	// request soon: the shortest time that callers can be told, in whole seconds.
	retryHint = time.Second
	// maxKeys and maxKeyBytes bound the table of idempotency keys.
	maxKeys     = 200000
	maxKeyBytes = 48 << 20
)

// Agent proxies and queues the requests to one backend server.
//
// The ledger's lock may be taken while mu is held. No blocking call is made under mu.
type Agent struct {
	options         Options
	log             *logrus.Entry
	incarnation     string
	now             func() time.Time
	suspendAwareNow func() time.Time

	mu      sync.Mutex
	queue   *admission.Queue
	keys    *outcome.Keys
	waiters map[string]*waiter
	leaving bool
	// draining is set while an operator drains the server.
	draining    bool
	homesOffset int64 // offset of the last change of the homes of the service's keys
	timer       *time.Timer
	// serverReport holds the rest or leaving notice of the server's current process.
	serverReport eligibility.Report
	// leftAt is when the last leaving server was found to have stopped listening, or zero.
	leftAt time.Time
	// exitCheckedAt is the time of the last check whether a leaving server has exited.
	exitCheckedAt time.Time
	// limits holds the rate limit that the server reported.
	limits *ratelimit.Table
	active int // handlers that have not finished their response

	// stop is the planned stop of this process.
	stop   drain.Window
	ledger outcome.Ledger
	idle   chan struct{} // closed when the agent is leaving and no handler is active
}

// waiter signals the outcome of queueing to a request's handler.
type waiter struct {
	start   chan struct{}
	refused chan *failure.Error
}

// New returns an agent. The wall clock of now is compared with the timestamps in
// idempotency keys.
func New(options Options, policy config.Policy, now func() time.Time, log *logrus.Entry) *Agent {
	a := &Agent{
		options:         options,
		log:             log,
		incarnation:     uuid.NewString(),
		now:             now,
		suspendAwareNow: options.SuspendAwareNow,
		waiters:         map[string]*waiter{},
		idle:            make(chan struct{}),
		homesOffset:     config.NoOffset,
		limits:          newLimits(),
	}
	if a.suspendAwareNow == nil {
		a.suspendAwareNow = now
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

// Configuration is the part of the deployment's configuration that applies to an agent.
type Configuration struct {
	Policy config.Policy
	// MaxConcurrency bounds the running requests.
	MaxConcurrency int
	// HomesChange is the last change of the homes of the service's keys; zero if unknown.
	HomesChange config.HomesChange
	// Draining is set while an operator drains the server. New keys then go to their next
	// home.
	Draining bool
}

// Configure applies a configuration.
func (a *Agent) Configure(c Configuration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = c.Draining
	a.queue.Configure(c.MaxConcurrency, c.Policy.PatientPercent)
	a.keys.SetWindow(a.now(), c.Policy.KeyWindow(), c.Policy.ClockSkew())
	if c.HomesChange != (config.HomesChange{}) {
		a.homesOffset = c.HomesChange.Offset
		a.keys.MarkHomesChanged(time.UnixMilli(c.HomesChange.TimeMs))
	}
	a.dispatchQueued()
}

// Incarnation identifies this process of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// OutcomeCounts returns the outcomes of the requests that this agent received.
func (a *Agent) OutcomeCounts() outcome.Counts { return a.ledger.Counts() }

// Load returns the current load report.
func (a *Agent) Load() headers.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return headers.LoadReport{
		InFlight: a.queue.Running(), Queued: a.queue.Queued(), Limit: a.queue.Limit(),
		Leaving: a.leaving, ServiceTime: a.queue.ServiceTime(),
	}
}

// Leave refuses new requests from now on, and queued ones that might not end before cutAt. The returned
// channel is closed when all accepted requests have finished.
func (a *Agent) Leave(cutAt time.Time) <-chan struct{} {
	a.stop.Begin(a.now(), cutAt)
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

// enqueue queues the request. The returned waiter signals its start or refusal.
func (a *Agent) enqueue(request admission.Request) (*waiter, *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return nil, failure.NotRun(failure.StepQueue, a.options.Server, failure.CodeLeaving, "the server is leaving").WithRetryAfter(retryHint)
	}
	if exclusion := a.exclusion(); exclusion != nil {
		return nil, a.excludedFailure(exclusion)
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
	a.dispatchQueued()
	return w, nil
}

// withdraw removes a request from the queue. It reports whether the request was still
// queued and so never starts.
func (a *Agent) withdraw(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queue.Withdraw(id) {
		return false
	}
	if w := a.removeWaiter(id); w != nil {
		w.refused <- failure.NotRun(failure.StepQueue, a.options.Server, failure.CodeCanceled, "withdrawn while queued")
	}
	a.dispatchQueued()
	return true
}

// done records the end of a started request.
func (a *Agent) done(id string, cost float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Done(a.now(), id, cost, ok)
	a.dispatchQueued()
}

// dispatchQueued refuses expired requests, starts those that fit and sets the timer for the
// next deadline. The caller must hold mu.
func (a *Agent) dispatchQueued() {
	now := a.now()
	a.refuseExpired(now)
	for _, request := range a.queue.Dispatch(now) {
		if w := a.removeWaiter(request.ID); w != nil {
			close(w.start)
		}
	}
	a.refuseExpired(now)
	a.setTimer(now)
}

func (a *Agent) refuseExpired(now time.Time) {
	for _, refusal := range a.queue.TakeRefusals(now) {
		refusal.Failure.Peer = a.options.Server
		if w := a.removeWaiter(refusal.Request.ID); w != nil {
			w.refused <- refusal.Failure
		}
	}
}

func (a *Agent) removeWaiter(id string) *waiter {
	w := a.waiters[id]
	delete(a.waiters, id)
	return w
}

func (a *Agent) setTimer(now time.Time) {
	deadline, ok := a.queue.NextDeadline()
	if !ok {
		return
	}
	delay := max(deadline.Sub(now), time.Millisecond)
	if a.timer == nil {
		a.timer = time.AfterFunc(delay, a.onDeadline)
		return
	}
	a.timer.Reset(delay)
}

func (a *Agent) onDeadline() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatchQueued()
}

// decisionStale means that entry and agent disagree about the homes of keys. It extends
// the decisions of the key table.
const decisionStale outcome.Decision = -1

// beginKey returns the key table's decision on a keyed request. An unknown key is accepted
// only from an entry with the same homes, since another entry may send it to another home.
func (a *Agent) beginKey(key outcome.Key, bodyHash string, homesOffset int64) (outcome.Decision, outcome.Response, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if homesOffset != a.homesOffset && !a.keys.Has(key) {
		return decisionStale, outcome.Response{}, nil
	}
	exclusion := a.exclusion()
	serverLeaves := exclusion != nil && exclusion.Reason == eligibility.Leaving
	return a.keys.Begin(a.now(), key, bodyHash, a.leaving || a.draining || serverLeaves)
}

// endKey records the outcome of a keyed request that was allowed to run.
func (a *Agent) endKey(key outcome.Key, result failure.Outcome, response outcome.Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch result {
	case failure.OutcomeAnswered:
		a.keys.Finish(a.now(), key, response)
	case failure.OutcomeNotRun:
		a.keys.Release(key)
	case failure.OutcomeUnknown:
		a.keys.MarkLost(a.now(), key)
	default:
		a.keys.MarkLost(a.now(), key)
	}
}
