// Package entry serves callers: it authenticates, routes, sends each request to
// a backend server's agent, and answers for its outcome.
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
	// MaxBody and MaxAnswer bound a request's and an unstreamed answer's bytes.
	MaxBody     int
	MaxResponse int64
	// MaxConcurrent bounds the requests in flight.
	MaxConcurrent int
	// PollsPerSecond bounds the polling of agents, whatever the fleet's size.
	PollsPerSecond int
}

// PollInterval is the time between two reports asked of agents.
func (o Options) PollInterval() time.Duration {
	return time.Second / time.Duration(o.PollsPerSecond)
}

// Entry is one entry VM's daemon.
//
// Lock order: mu is a leaf and guards the routing table, the retry budget, the
// random source and the counts per customer. Nothing that blocks is done under it.
type Entry struct {
	options Options
	log     *logrus.Entry
	replica *replica.Replica
	now     func() time.Time
	client  *http.Client
	control *http.Client
	server  *fasthttp.Server

	index    atomic.Pointer[compiled]
	pipeline *dispatch.Pipeline
	crashes  *crash.Detector

	mu       sync.Mutex
	table    *routing.Table
	picker   *routing.Picker
	budget   *routing.RetryBudget
	random   *rand.Rand
	inFlight map[string]int // requests in flight by customer
	cancels  map[requestRef]context.CancelCauseFunc
	// listOlderUntil is until when the platform's list may be older than what is known.
	listOlderUntil time.Time

	stopping atomic.Bool
}

// requestRef names a request of one customer; nobody else's can match it.
type requestRef struct {
	customer  string
	requestID string
}

const (
	dialTimeout = time.Second
	idleConns   = 512
	// idleConnTime is how long a connection to an agent is kept unused: one that has fallen
	// silent meanwhile shows it only in a request, which it holds until its deadline.
	idleConnTime = 900 * time.Millisecond
)

// New returns an entry that routes by the replica's configuration.
func New(options Options, rep *replica.Replica, now func() time.Time, log *logrus.Entry) *Entry {
	table := routing.NewTable(options.Zone)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTime,
		DisableCompression:  true,
	}
	upstream.EnableSendChecks(transport)
	e := &Entry{
		options:  options,
		log:      log,
		replica:  rep,
		now:      now,
		client:   &http.Client{Transport: transport},
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
	e.pipeline = dispatch.NewTargetPipeline(noFleet{}, tableChooser{e}, agentBackend{e}, now, log)
	e.pipeline.SetQuarantine(e.crashes)
	e.server = &fasthttp.Server{
		Handler:               e.serve,
		Name:                  "crowbridge",
		MaxRequestBodySize:    prefetchBody,
		Concurrency:           options.MaxConcurrent,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		StreamRequestBody:     true,
		Logger:                log,
		ErrorHandler:          serveProtocolError,
	}
	return e
}

const (
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// prefetchBody is how much of a body is read before the handler runs; the
	// handler reads the rest and enforces MaxBody.
	prefetchBody = 64 << 10
	// lastAnswers bounds the answers to requests given up by a stop: one way to a
	// caller.
	lastAnswers = time.Second
)

// Serve answers callers on the listener until Stop.
func (e *Entry) Serve(listener net.Listener) error { return e.server.Serve(listener) }

// Leave makes every answer the last of its connection and the entry not ready. What
// is closed by Stop afterwards is hardly used any more, so that few requests cross it.
func (e *Entry) Leave() { e.stopping.Store(true) }

// Stop refuses new connections and returns when every request in flight has
// ended. Those that are left when the context ends are given up and answered.
func (e *Entry) Stop(ctx context.Context) error {
	e.Leave()
	bounded, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		e.giveUp()
		time.AfterFunc(lastAnswers, cancel)
	})()
	return errors.Wrap(e.server.ShutdownWithContext(bounded), "stop: requests in flight")
}

// giveUp ends every request in flight.
func (e *Entry) giveUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.WithField("requests", len(e.cancels)).Warn("drain timeout: requests in flight are given up")
	for _, cancel := range e.cancels {
		cancel(dispatch.ErrLeaving)
	}
}

// Ready tells whether the balancer should send requests here.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.replica.View().Position.HasRecord()
}

// CrashDetector is what the entry knows of requests that end servers.
func (e *Entry) CrashDetector() *crash.Detector { return e.crashes }

// OutcomeCounts implements admin.Host.
func (e *Entry) OutcomeCounts() outcome.Counts { return e.pipeline.OutcomeCounts() }

// WatchConfiguration brings each change into force until the context
// ends.
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

// rebuild compiles the routes if the configuration has changed since. Leases and
// other records, which come far more often, don't touch them.
func (e *Entry) rebuild() {
	view := e.replica.View()
	if c := e.index.Load(); c != nil && c.index.ConfigOffset() == view.Configured {
		return
	}
	index, err := selector.NewIndex(view)
	if err != nil {
		// The fold validates selectors and references, so this is a fault of ours;
		// going on with the routes in force is the safe answer.
		e.log.WithError(err).Error("configuration doesn't compile; keeping the routes in force")
		return
	}
	c := newCompiled(index)
	e.index.Store(c)
	e.crashes.SetServers(c.registry())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Sync(index.Servers())
	e.budget.SetPercent(view.Policy().RetryPercent)
}
