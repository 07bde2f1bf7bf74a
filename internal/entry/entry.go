// Package entry implements the entry daemon: it authenticates callers, routes each request
// to the agent of a backend server and relays the response.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/intake"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/routing"
	"github.com/crowbridge/crowbridge/internal/selector"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// Options are an entry's settings.
type Options struct {
	// Name identifies the daemon; Zone is its availability zone.
	Name string
	Zone string
	// DaemonKey authenticates daemons to each other.
	DaemonKey string
	// MaxBody and MaxResponse bound the bytes of a request body and of a buffered response.
	MaxBody     int
	MaxResponse int64
	// MaxConcurrent bounds the callers' connections.
	MaxConcurrent int
	// Callers bounds what callers make the process hold.
	Callers intake.Options
	// PollsPerSecond bounds the polling of agents regardless of the fleet's size.
	PollsPerSecond int
}

// PollInterval returns the time between two polls of agents.
func (o Options) PollInterval() time.Duration {
	return time.Second / time.Duration(o.PollsPerSecond)
}

// Entry is the daemon of an entry VM.
//
// mu is a leaf in the lock order and guards the fields below it. No blocking call is made
// while it is held.
type Entry struct {
	options Options
	log     *logrus.Entry
	replica *replica.Replica
	now     func() time.Time
	client  *http.Client // for requests to agents
	control *http.Client // for control calls to agents
	server  *fasthttp.Server
	callers *intake.Budget

	snapshot atomic.Pointer[snapshot]
	pipeline *dispatch.Pipeline
	crashes  *crash.Detector

	mu       sync.Mutex
	table    *routing.Table
	picker   *routing.Picker
	budget   *routing.RetryBudget
	random   *rand.Rand
	inFlight map[string]int // requests in flight by customer
	cancels  map[requestRef]context.CancelCauseFunc
	// vmListStaleUntil is when the platform's VM list is current again after a restore.
	vmListStaleUntil time.Time

	stopping atomic.Bool
}

// requestRef identifies a request within its customer, so that no other customer can
// refer to it.
type requestRef struct {
	customer  string
	requestID string
}

const (
	dialTimeout = time.Second
	idleConns   = 512
	// idleConnTime bounds the reuse of idle connections to agents: a connection that broke
	// unnoticed would block the next request until its deadline.
	idleConnTime = 900 * time.Millisecond
)

// New returns an entry that routes according to the replica's configuration.
func New(options Options, rep *replica.Replica, now func() time.Time, log *logrus.Entry) *Entry {
	table := routing.NewTable(options.Zone)
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout, Control: upstream.BoundReceiveBuffer}).DialContext,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleConnTime,
		MaxResponseHeaderBytes: headers.MaxAgentBytes,
		DisableCompression:     true,
	}
	upstream.CheckConnections(transport)
	e := &Entry{
		options:  options,
		log:      log,
		callers:  intake.New(options.Callers, log),
		replica:  rep,
		now:      now,
		client:   &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		control:  daemon.NewControlClient(options.DaemonKey),
		table:    table,
		picker:   routing.NewPicker(table),
		budget:   routing.NewRetryBudget(config.Policy{}.WithDefaults().RetryPercent),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		inFlight: map[string]int{},
		cancels:  map[requestRef]context.CancelCauseFunc{},
	}
	e.crashes = crash.New(agentProber{e}, now, func(d time.Duration, f func()) { time.AfterFunc(d, f) }, log)
	e.rebuild()
	e.pipeline = dispatch.NewTargetPipeline(emptyFleet{}, tableChooser{e}, agentBackend{e}, now, log)
	e.pipeline.SetQuarantine(e.crashes)
	e.server = &fasthttp.Server{
		Handler:               e.serve,
		Name:                  "crowbridge",
		MaxRequestBodySize:    prefetchBody,
		Concurrency:           options.MaxConcurrent,
		ConnState:             connStateChanged,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		StreamRequestBody:     true,
		// Parsing would read a form of any size before the handler runs, and encode it anew.
		DisablePreParseMultipartForm: true,
		Logger:                       log,
		ErrorHandler:                 serveProtocolError,
	}
	return e
}

// connStateChanged is the fasthttp.Server's ConnState hook.
func connStateChanged(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle {
		intake.StateChanged(conn, http.StateIdle)
	}
}

const (
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// prefetchBody is the number of body bytes read before the handler runs, the least that fasthttp can. The handler
	// reads the rest and enforces MaxBody.
	prefetchBody = 1
	// finalResponseTime is the time to send failures for the requests that a stop canceled. It
	// covers the one-way delay to a caller.
	finalResponseTime = time.Second
)

// Serve serves callers on the listener until Stop.
func (e *Entry) Serve(listener net.Listener) error {
	bounded, err := e.callers.Listen(listener)
	if err != nil {
		return err
	}
	e.callers.Export()
	return e.server.Serve(bounded)
}

// Leave begins a planned stop that cancels the requests in flight when the context ends. The entry
// isn't ready and closes each connection after its next response, so that few requests arrive on
// connections that Stop closes.
func (e *Entry) Leave(ctx context.Context) {
	e.stopping.Store(true)
	if cutAt, bounded := ctx.Deadline(); bounded {
		e.pipeline.BeginStop(cutAt)
	}
}

// Stop refuses new connections and returns when every request in flight has ended. When
// the context ends first, the remaining requests are canceled and get a failure response. It
// returns an error if that takes longer than finalResponseTime.
func (e *Entry) Stop(ctx context.Context) error {
	e.Leave(ctx)
	e.pipeline.ListenerClosed()
	bounded, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		e.cancelInFlight()
		time.AfterFunc(finalResponseTime, cancel)
	})()
	return errors.Wrap(e.server.ShutdownWithContext(bounded), "drain requests in flight")
}

// cancelInFlight cancels every request in flight.
func (e *Entry) cancelInFlight() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.WithField("requests", len(e.cancels)).Warn("drain timeout: canceling requests in flight")
	for _, cancel := range e.cancels {
		cancel(dispatch.ErrLeaving)
	}
}

// Ready reports whether the balancer should send requests to this entry.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.replica.View().Position.HasRecord()
}

// CrashDetector returns the detector of requests that crash servers.
func (e *Entry) CrashDetector() *crash.Detector { return e.crashes }

// OutcomeCounts implements admin.Host.
func (e *Entry) OutcomeCounts() outcome.Counts { return e.pipeline.OutcomeCounts() }

// WatchConfiguration applies each change of the configuration until the context ends.
func (e *Entry) WatchConfiguration(ctx context.Context) {
	for {
		changed := e.replica.Changed()
		e.rebuild()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// rebuild compiles the routes if the configuration has changed. Other records, such as
// leases, are far more frequent and don't affect the routes.
func (e *Entry) rebuild() {
	view := e.replica.View()
	if current := e.snapshot.Load(); current != nil && current.index.ConfigOffset() == view.Configured {
		return
	}
	index, err := selector.NewIndex(view)
	if err != nil {
		// Selectors and references are validated before they are applied, so this is a bug.
		// Keeping the current routes is safe.
		e.log.WithError(err).Error("configuration doesn't compile; keeping the current routes")
		return
	}
	current := newSnapshot(index)
	e.snapshot.Store(current)
	e.crashes.SetServers(current.registry())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Sync(index.Servers())
	e.budget.SetPercent(view.Policy().RetryPercent)
}
