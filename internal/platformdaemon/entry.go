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
	"github.com/crowbridge/crowbridge/internal/loadfeed"
	"github.com/crowbridge/crowbridge/internal/membership"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/internal/steering"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// leaveDelay is how long a leaving entry goes on taking connections: the
	// platform's balancer asks once a second and needs two misses.
	leaveDelay = 2600 * time.Millisecond
	// stopMargin is kept before SIGKILL: the frontend's last answers take 0.3 s of it.
	stopMargin = 500 * time.Millisecond
	// controlTimeout bounds a call to another daemon.
	controlTimeout = 600 * time.Millisecond
)

// EntryDaemon is the daemon that callers reach.
type EntryDaemon struct {
	settings *platform.Settings
	log      *logrus.Entry
	clock    *clock.Clock
	members  *membership.Membership
	follower *membership.Follower
	exchange *membership.Exchange
	board    *dispatch.Balancer
	crashes  *crash.Detector
	pipeline *dispatch.Pipeline
	frontend *frontend.Server
	// replica has the product's own configuration, steering its selectors.
	replica  *replica.Replica
	steering *steering.Filter
	// configLog is where that configuration lies.
	configLog platform.ConfigLog
	api       *admin.Admin
	leaving   atomic.Bool
	// limitPart is the part of servers' limits that was used at the last look.
	limitPart float64
}

// NewEntryDaemon wires an entry. Without operators nobody can change the product's
// own configuration here.
func NewEntryDaemon(s *platform.Settings, operators []daemon.Operator, log *logrus.Entry) *EntryDaemon {
	clk := clock.New(log)
	members := membership.New(platform.Records{}, clk.Now, log)
	control := &http.Client{Transport: upstream.NewTransport(), Timeout: controlTimeout}
	store := platform.NewStore(s.Store, upstream.NewTransport())
	rep := replica.New(time.Now)
	rep.SetPollTimeout(selectorsWait)
	e := &EntryDaemon{
		settings: s, log: log, clock: clk, members: members, replica: rep, steering: steering.New(rep, time.Now, log),
		configLog: platform.ConfigLog{Store: store, Now: time.Now},
		board:     dispatch.NewBalancer(budgetPolicy(s), s.Zone, rand.IntN),
		crashes:   crash.New(upstream.Prober{}, clk.Now, func(d time.Duration, f func()) { time.AfterFunc(d, f) }, log),
	}
	e.exchange = membership.NewExchange(members, membership.Peer{Control: s.Control, Zone: s.Zone}, s.Seeds, control, log)
	daemon.WatchEra(store.Eras(), log)
	e.follower = membership.NewFollower(members, store, e.exchange, s.StopRouting, log)
	backend := upstream.New(platform.Wire{})
	members.OnServers(func(servers *fleet.Servers) { e.board.Prune(servers, clk.Now()) })
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
	e.crashes.SetExclusions(func(server string) *eligibility.Exclusion { return e.board.Exclusion(server, clk.Now()) })
	view := steeredFleet{Membership: members, steering: e.steering}
	e.pipeline = dispatch.NewPipeline(view, e.board, backend, clk.Now, log)
	e.pipeline.SetQuarantine(e.crashes)
	e.frontend = frontend.New(e.pipeline, platform.Wire{}, e.limits, clk.Now)
	clk.OnResume(e.woke)
	if len(operators) > 0 {
		e.api = admin.New(e, rep, e.configLog, store, operators, log)
	}
	return e
}

// woke is called when the VM has been suspended: what is known is as old as that, and the
// timers of what is due didn't run meanwhile.
func (e *EntryDaemon) woke(suspended time.Duration) {
	e.log.WithField("suspended_ms", suspended.Milliseconds()).Warn("the VM has been suspended: registrations and configuration are read again")
	e.board.Limits().Resumed(e.clock.Now())
	e.follower.RestartReads()
}

// watchSettings takes over what a changed settings file may change while the
// process runs.
func (e *EntryDaemon) watchSettings(ctx context.Context) {
	WatchSettings(ctx, e.settings, e.log, func(s *platform.Settings) {
		e.exchange.SetSeeds(s.Seeds)
		e.board.SetRetryBudget(budgetPolicy(s))
	})
}

func budgetPolicy(s *platform.Settings) dispatch.RetryBudgetPolicy {
	return dispatch.RetryBudgetPolicy{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow}
}

// limits returns the configured limits on callers.
func (e *EntryDaemon) limits() fleet.Limits {
	if config := e.members.Config(); config != nil {
		return config.Limits
	}
	return fleet.Limits{}
}

// ready tells whether the platform may send new connections.
func (e *EntryDaemon) ready() bool {
	return !e.leaving.Load() && e.steering.Ready() && e.members.Config() != nil && e.members.Servers() != nil
}

// Run serves until the context ends, then finishes what is in flight.
func (e *EntryDaemon) Run(ctx context.Context) error {
	limitMemory(e.settings.MemoryMB)
	tasks, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, tasks := errgroup.WithContext(tasks)
	callers, err := daemon.Listen("listen.front", e.settings.Callers)
	if err != nil {
		return err
	}
	if err := e.serveSide(tasks, group); err != nil {
		return err
	}
	group.Go(func() error { return e.frontend.Serve(callers) })
	load, err := net.ListenPacket("udp4", ownAddress(e.settings, loadPort))
	if err != nil {
		return errors.Wrap(err, "load feed")
	}
	receiver := loadfeed.NewReceiver(e.members.Servers, e.board, e.crashes, e.clock.Now, e.log)
	group.Go(func() error { return receiver.Serve(tasks, load) })
	crashes, err := net.ListenPacket("udp4", ownAddress(e.settings, crashPort))
	if err != nil {
		return errors.Wrap(err, "crash news")
	}
	group.Go(func() error { return e.hearCrashes(tasks, crashes) })
	limits, err := net.ListenPacket("udp4", ownAddress(e.settings, limitPort))
	if err != nil {
		return errors.Wrap(err, "limits")
	}
	group.Go(func() error { return e.hearLimits(tasks, limits) })
	for _, task := range []func(context.Context){
		e.follower.FollowConfig, e.follower.FollowServers, e.askPeers, e.watchSettings,
		e.followSelectors, e.steering.Run, e.keepSelectors, e.keepQuarantines,
		func(ctx context.Context) { e.tellCrashes(ctx, crashes) },
		func(ctx context.Context) { e.tellLimits(ctx, limits) },
	} {
		group.Go(func() error {
			task(tasks)
			return nil
		})
	}
	e.log.WithFields(logrus.Fields{
		"callers": e.settings.Callers, "store": e.settings.Store, "build": buildinfo.String(),
	}).Info("entry started")
	select {
	case <-ctx.Done():
		e.leave()
		e.sendLimits(limits, e.board.Limits().DepartureMessage())
	case <-tasks.Done():
	}
	end()
	return errors.Wrap(group.Wait(), "entry")
}

// leave ends the entry within the grace of a planned stop.
func (e *EntryDaemon) leave() {
	e.log.Info("planned stop: no longer ready")
	e.leaving.Store(true)
	e.frontend.Leave()
	time.Sleep(leaveDelay)
	ctx, cancel := context.WithTimeout(context.Background(), max(e.settings.Grace-leaveDelay-stopMargin, 0))
	defer cancel()
	if err := e.frontend.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("requests cut off at the end of the grace period")
	}
	e.log.Info("entry stopped")
}

// serveSide serves readiness, other daemons and metrics.
func (e *EntryDaemon) serveSide(ctx context.Context, group *errgroup.Group) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintf(w, `{"configuration_confirmed_ms":%d}`, e.members.ConfigAge().Milliseconds())
	})
	metrics.GetOrCreateGauge(`crowbridge_configuration_confirmed_age_seconds`, func() float64 { return e.members.ConfigAge().Seconds() })
	metrics.GetOrCreateGauge(`crowbridge_limited_servers`, func() float64 { return float64(e.board.Limits().LimitedServers()) })
	metrics.GetOrCreateGauge(`crowbridge_limits_part`, func() float64 {
		part, _ := e.board.Limits().Share(e.clock.Now())
		return part
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

// followSelectors follows the product's own configuration, from the store or else
// from other entries.
func (e *EntryDaemon) followSelectors(ctx context.Context) {
	client := &http.Client{Transport: upstream.NewTransport()}
	e.replica.Follow(ctx, []replica.Source{
		replica.LogSource{Log: e.configLog},
		peersSource{daemon: e.settings.Daemon, peers: e.exchange.Peers, client: client},
	}, e.log)
}

// keepSelectors keeps that configuration where it lasts.
func (e *EntryDaemon) keepSelectors(ctx context.Context) {
	e.replica.PersistSnapshots(ctx, e.configLog, e.log)
}

const (
	// peersPace is the time between rounds of asking other daemons while the store
	// can't be reached, and peersAtOnce how many are asked in a round.
	peersPace   = 300 * time.Millisecond
	peersAtOnce = 3
	// calmPace is the time between questions to one other daemon otherwise, to stay
	// known to them and because a long read of the store may hang without an error: a
	// third of the two seconds within which a configuration must be in force.
	calmPace = 650 * time.Millisecond
)

// askPeers asks other daemons for what is newer while the store can't be reached.
func (e *EntryDaemon) askPeers(ctx context.Context) {
	for ctx.Err() == nil {
		peers := e.exchange.Peers()
		e.board.SetEntries(e.settings.Control, peers)
		e.crashes.RetainPeers(peers)
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		pace, most := peersPace, peersAtOnce
		if e.follower.Healthy() {
			pace, most = calmPace, 1
		}
		for _, peer := range peers[:min(len(peers), most)] {
			if err := e.exchange.Pull(ctx, peer); err != nil {
				e.log.WithError(err).WithField("peer", peer).Debug("peer not reached")
			}
		}
		timer := time.NewTimer(pace)
		select {
		case <-timer.C:
		case <-e.follower.Unreachable():
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
