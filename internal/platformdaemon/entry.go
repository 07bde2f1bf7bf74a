package platformdaemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/admin"
	"github.com/crowbridge/crowbridge/internal/buildinfo"
	"github.com/crowbridge/crowbridge/internal/clock"
	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/frontend"
	"github.com/crowbridge/crowbridge/internal/intake"
	"github.com/crowbridge/crowbridge/internal/loadfeed"
	"github.com/crowbridge/crowbridge/internal/membership"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/internal/steering"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// leaveDelay is how long a leaving entry still accepts connections: the platform's
	// balancer checks readiness once a second and removes an entry after two failures.
	leaveDelay = 2600 * time.Millisecond
	// stopMargin is reserved before SIGKILL; the frontend's last responses take 0.3 s of it.
	stopMargin = 500 * time.Millisecond
	// controlTimeout bounds a call to another daemon.
	controlTimeout = 600 * time.Millisecond
)

// EntryDaemon accepts callers' requests and forwards them to backend servers.
type EntryDaemon struct {
	settings *platform.Settings
	log      *logrus.Entry
	clock    *clock.Clock
	members  *membership.Membership
	follower *membership.Follower
	exchange *membership.Exchange
	balancer *dispatch.Balancer
	crashes  *crash.Detector
	pipeline *dispatch.Pipeline
	frontend *frontend.Server
	callers  *intake.Budget
	// checkedMaxBody is the configured size of bodies that was compared with callers last.
	checkedMaxBody atomic.Int64
	// replica holds the product's own configuration, which configLog stores; steering applies
	// its selectors.
	replica   *replica.Replica
	steering  *steering.Filter
	configLog platform.ConfigLog
	api       *admin.Admin
	leaving   atomic.Bool
	// limitShare is the last logged fraction of servers' limits that the reachable entries use.
	limitShare float64
}

// NewEntryDaemon creates an entry from its settings. Without operators it serves no
// administration API.
func NewEntryDaemon(s *platform.Settings, operators []daemon.Operator, log *logrus.Entry) *EntryDaemon {
	clk := clock.New(log)
	members := membership.New(platform.Decoder{}, clk.Now, log)
	control := &http.Client{Transport: upstream.NewTransport(), Timeout: controlTimeout}
	store := platform.NewStore(s.Store, upstream.NewTransport())
	rep := replica.New(time.Now)
	rep.SetPollTimeout(selectorsPollTimeout)
	e := &EntryDaemon{
		settings: s, log: log, clock: clk, members: members, replica: rep, steering: steering.New(rep, time.Now, log),
		configLog: platform.ConfigLog{Store: store, Now: time.Now},
		balancer:  dispatch.NewBalancer(budgetPolicy(s), s.Zone, rand.IntN),
		crashes:   crash.New(upstream.Prober{}, clk.Now, func(d time.Duration, f func()) { time.AfterFunc(d, f) }, log),
	}
	e.exchange = membership.NewExchange(members, membership.Peer{Control: s.Control, Zone: s.Zone}, s.Seeds, control, log)
	daemon.MonitorEra(store.Eras(), log)
	e.follower = membership.NewFollower(members, store, e.exchange, s.StopRouting, log)
	backend := upstream.New(platform.Dialect{})
	members.OnServers(func(servers *fleet.Servers) { e.balancer.Prune(servers, clk.Now()) })
	members.OnServers(backend.Prune)
	members.OnServers(e.crashes.UpdateRegistry)
	e.exchange.SetEras(store.Eras())
	e.follower.OnReachable(rep.RestartRead)
	store.Eras().OnAdvance(func(int64, int64) {
		e.follower.RestartReads()
		rep.RestartRead()
	})
	e.exchange.SetCrashes(e.crashes)
	e.exchange.SetConfiguration(rep)
	e.crashes.SetExclusions(func(server string) *eligibility.Exclusion { return e.balancer.Exclusion(server, clk.Now()) })
	view := filteredFleet{Membership: members, steering: e.steering}
	e.pipeline = dispatch.NewPipeline(view, e.balancer, backend, clk.Now, log)
	e.pipeline.SetQuarantine(e.crashes)
	e.crashes.SetRefresh(e.pullFromSeveral)
	e.callers = intake.New(callerLimits(s, intake.Options{}), log)
	e.frontend = frontend.New(e.pipeline, platform.Dialect{}, e.limits, e.callers, clk.Now, log)
	clk.OnResume(e.resumed)
	if len(operators) > 0 {
		e.api = admin.New(e, rep, e.configLog, store, operators, log)
	}
	return e
}

// SetCallerLimits replaces the limits of what callers make the process hold. The settings give its memory and
// descriptors. It must be called before Run.
func (e *EntryDaemon) SetCallerLimits(options intake.Options) {
	e.callers = intake.New(callerLimits(e.settings, options), e.log)
	e.frontend.SetBudget(e.callers)
}

func callerLimits(s *platform.Settings, options intake.Options) intake.Options {
	options.Memory, options.Descriptors = s.MemoryMB<<20, s.Descriptors
	return options
}

// resumed is called after a suspension of the VM: state may be stale, and timers did not
// run meanwhile.
func (e *EntryDaemon) resumed(suspended time.Duration) {
	e.log.WithField("suspended_ms", suspended.Milliseconds()).Warn("VM was suspended; rereading registrations and configuration")
	e.balancer.Limits().Resumed(e.clock.Now())
	e.follower.RestartReads()
}

// watchSettings applies the settings that can change while the process runs.
func (e *EntryDaemon) watchSettings(ctx context.Context) {
	WatchSettings(ctx, e.settings, e.log, func(s *platform.Settings) {
		e.exchange.SetSeeds(s.Seeds)
		e.balancer.SetRetryBudget(budgetPolicy(s))
	})
}

func budgetPolicy(s *platform.Settings) dispatch.RetryBudgetPolicy {
	return dispatch.RetryBudgetPolicy{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow}
}

// limits returns the configured limits for callers.
func (e *EntryDaemon) limits() fleet.Limits {
	config := e.members.Config()
	if config == nil {
		return fleet.Limits{}
	}
	e.checkBodyLimit(config.Limits.MaxBodyBytes)
	return config.Limits
}

// checkBodyLimit warns once of a configured body size that this process has no memory for.
func (e *EntryDaemon) checkBodyLimit(maxBody int64) {
	if e.checkedMaxBody.Load() == maxBody || e.checkedMaxBody.Swap(maxBody) == maxBody || e.callers.Fits(maxBody) {
		return
	}
	e.log.WithField("max_body", maxBody).Warn("bodies of the configured size don't fit into this process's memory for requests")
}

// ready reports whether the platform's balancer may send new connections.
func (e *EntryDaemon) ready() bool {
	return !e.leaving.Load() && e.steering.Ready() && e.members.Config() != nil && e.members.Servers() != nil
}

// Run serves until the context ends, then finishes the requests in flight.
func (e *EntryDaemon) Run(ctx context.Context) error {
	daemon.LimitMemory(e.settings.MemoryMB << 20)
	e.callers.Export()
	tasks, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, tasks := errgroup.WithContext(tasks)
	callers, err := daemon.Listen("listen.front", e.settings.Callers)
	if err != nil {
		return err
	}
	if err := e.serveInternal(tasks, group); err != nil {
		return err
	}
	group.Go(func() error { return e.frontend.Serve(callers) })
	load, err := net.ListenPacket("udp4", ownAddress(e.settings, loadPort))
	if err != nil {
		return errors.Wrap(err, "listen for load reports")
	}
	receiver := loadfeed.NewReceiver(e.members.Servers, e.balancer, e.crashes, e.clock.Now, e.log)
	group.Go(func() error { return receiver.Serve(tasks, load) })
	crashes, err := net.ListenPacket("udp4", ownAddress(e.settings, crashPort))
	if err != nil {
		return errors.Wrap(err, "listen for crash evidence")
	}
	group.Go(func() error { return e.receiveCrashes(tasks, crashes) })
	limits, err := net.ListenPacket("udp4", ownAddress(e.settings, limitPort))
	if err != nil {
		return errors.Wrap(err, "listen for server limits")
	}
	group.Go(func() error { return e.receiveLimits(tasks, limits) })
	for _, task := range []func(context.Context){
		e.follower.FollowConfig, e.follower.FollowServers, e.pullFromPeers, e.watchSettings,
		e.followSelectors, e.steering.Run, e.persistSelectors, e.persistQuarantines,
		func(ctx context.Context) { e.publishCrashes(ctx, crashes) },
		func(ctx context.Context) { e.publishLimits(ctx, limits) },
	} {
		group.Go(func() error {
			task(tasks)
			return nil
		})
	}
	e.log.WithFields(logrus.Fields{
		"callers": e.settings.Callers, "store": e.settings.Store, "build": buildinfo.String(),
	}).Info("entry started")
	err = superviseTasks(ctx, tasks, group, end, func(cause error) {
		e.leave(cause)
		e.sendLimits(limits, e.balancer.Limits().DepartureMessage())
	})
	e.log.WithField("error", errorText(err)).Info("entry stopped")
	flushLog(e.log)
	return errors.Wrap(err, "entry")
}

// superviseTasks waits until a planned stop is requested, by ctx, or a task has failed, then calls
// leave with the cause, ends the tasks and returns the first error of one. The tasks of a planned
// stop go on until leave has returned.
func superviseTasks(ctx, tasks context.Context, group *errgroup.Group, end func(), leave func(cause error)) error {
	select {
	case <-ctx.Done():
		leave(nil)
	case <-tasks.Done():
		leave(context.Cause(tasks))
	}
	end()
	return group.Wait()
}

// errorText returns an error's text for the log, or "".
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// leave shuts the frontend down within the grace period of a planned stop. A task that has failed
// causes one too: requests in flight don't need the tasks.
func (e *EntryDaemon) leave(cause error) {
	liftLogRate(e.log)
	grace := max(e.settings.Grace-stopMargin, leaveDelay)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	e.leaving.Store(true)
	e.pipeline.BeginStop(e.clock.Now().Add(grace))
	e.log.WithFields(logrus.Fields{"grace_ms": grace.Milliseconds(), "error": errorText(cause)}).Info("planned stop: no longer ready")
	e.frontend.Leave()
	wait.For(ctx, leaveDelay)
	e.pipeline.ListenerClosed()
	e.log.WithFields(stopFields(e.frontend.StopCounts())).Info("planned stop: closing the listener")
	if err := e.frontend.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("grace period expired with requests in flight")
	}
	e.log.WithFields(stopFields(e.frontend.StopCounts())).Info("planned stop: requests have ended")
}

func stopFields(c frontend.StopCounts) logrus.Fields {
	return logrus.Fields{
		"in_flight": c.InFlight, "read": c.Read, "served": c.Served, "refused": c.Refused, "failed": c.Failed,
		"cut": c.Cut, "unread": c.Unread,
	}
}

// serveInternal serves readiness, the control API and metrics.
func (e *EntryDaemon) serveInternal(ctx context.Context, group *errgroup.Group) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintf(w, `{"configuration_confirmed_ms":%d}`, e.members.ConfigAge().Milliseconds())
	})
	metrics.GetOrCreateGauge(`crowbridge_configuration_confirmed_age_seconds`, func() float64 { return e.members.ConfigAge().Seconds() })
	metrics.GetOrCreateGauge(`crowbridge_limited_servers`, func() float64 { return float64(e.balancer.Limits().LimitedServers()) })
	metrics.GetOrCreateGauge(`crowbridge_limits_part`, func() float64 {
		share, _ := e.balancer.Limits().Share(e.clock.Now())
		return share
	})
	control := http.NewServeMux()
	peers := peerrpc.NewMembershipServer(e.exchange)
	control.Handle(peers.PathPrefix(), peers)
	selectors := rpc.NewPeersServer(&replica.PeerServer{Replica: e.replica})
	control.Handle(selectors.PathPrefix(), selectors)
	if e.api != nil {
		control.Handle(e.api.PathPrefix(), e.api.Handler())
	}
	for _, s := range []struct {
		setting, address string
		handler          http.Handler
	}{
		{"listen.ready", e.settings.Readiness, ready},
		{"listen.admin", e.settings.Control, control},
		{"port_range", ownAddress(e.settings, metricsPort), daemon.MetricsHandler(e.ready, e.log.Logger)},
	} {
		if s.address == "" {
			continue
		}
		listener, err := daemon.Listen(s.setting, s.address)
		if err != nil {
			return err
		}
		group.Go(func() error { return daemon.ServeHTTP(ctx, listener, s.handler, 0) })
	}
	return nil
}

// followSelectors replicates the product's own configuration from the store, or from other
// entries when the store is unreachable.
func (e *EntryDaemon) followSelectors(ctx context.Context) {
	client := &http.Client{Transport: upstream.NewTransport()}
	e.replica.Follow(ctx, []replica.Source{
		replica.LogSource{Log: e.configLog},
		peerSource{daemon: e.settings.Daemon, peers: e.exchange.Peers, client: client},
	}, e.log)
}

// persistSelectors writes snapshots of the product's own configuration to the store.
func (e *EntryDaemon) persistSelectors(ctx context.Context) {
	e.replica.PersistSnapshots(ctx, e.configLog, e.log)
}

const (
	// outagePullInterval is the time between rounds of pulls while the store is unreachable.
	outagePullInterval  = 300 * time.Millisecond
	outagePeersPerRound = 3
	// peerPullInterval is the time between pulls from one peer otherwise. They keep this
	// entry known to its peers and cover a long poll of the store that hangs without an
	// error. It is a third of the 2 s within which a configuration must take effect.
	peerPullInterval = 650 * time.Millisecond
)

// pullFromPeers pulls changes from other entries, more often while the store is
// unreachable.
func (e *EntryDaemon) pullFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		e.crashes.RecordPull(ctx)
		peers := e.exchange.Peers()
		e.balancer.SetEntries(e.settings.Control, peers)
		e.crashes.RetainPeers(peers)
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		interval, count := outagePullInterval, outagePeersPerRound
		if e.follower.Healthy() {
			interval, count = peerPullInterval, 1
		}
		for _, peer := range peers[:min(len(peers), count)] {
			e.pull(ctx, peer)
			e.crashes.RecordPull(ctx)
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-e.follower.Unreachable():
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// pull pulls changes from another entry.
func (e *EntryDaemon) pull(ctx context.Context, peer string) {
	e.logUnreachable(peer, e.exchange.Pull(ctx, peer))
}

// pullFromSeveral pulls changes from several entries at once, without the configuration, which may
// be large.
func (e *EntryDaemon) pullFromSeveral(ctx context.Context) {
	crash.RefreshFrom(e.exchange.Peers(), func(peer string) {
		e.logUnreachable(peer, e.exchange.PullServers(ctx, peer))
	})
}

// logUnreachable logs a failed call to another entry.
func (e *EntryDaemon) logUnreachable(peer string, err error) {
	if err != nil {
		e.log.WithError(err).WithField("peer", peer).Debug("peer unreachable")
	}
}
