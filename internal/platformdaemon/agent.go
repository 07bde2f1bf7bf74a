package platformdaemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/crowbridge/crowbridge/internal/buildinfo"
	"github.com/crowbridge/crowbridge/internal/clock"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/loadfeed"
	"github.com/crowbridge/crowbridge/internal/membership"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/ranks"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// loadInterval is the time between load reports to the entries.
	loadInterval = 120 * time.Millisecond
	// membersInterval is the time between pulls of changes from an entry. A pull costs no
	// call to the store.
	membersInterval = time.Second
	// initialMembersInterval applies until configuration and servers are known and doubles
	// up to membersInterval: when all daemons start together, entries have nothing to send
	// at first, and thousands of agents must not overload them.
	initialMembersInterval = 100 * time.Millisecond
	// configInterval is the time between pulls of the configuration once one is known.
	configInterval = 15 * time.Second
	// engineTimeout bounds a status request to the engine on the same VM.
	engineTimeout = 200 * time.Millisecond
)

// AgentDaemon runs on the VM of a model engine: it reports the engine's load and relays
// expert map commands to it.
type AgentDaemon struct {
	settings *platform.Settings
	log      *logrus.Entry
	members  *membership.Membership
	exchange *membership.Exchange
	agent    *experts.Agent
	leader   *ranks.Leader
	// configRequestedAt is the time of the last pull of the configuration.
	configRequestedAt time.Time
}

// NewAgentDaemon creates an agent from its settings.
func NewAgentDaemon(s *platform.Settings, log *logrus.Entry) *AgentDaemon {
	members := membership.New(platform.Decoder{}, clock.New(log).Now, log)
	client := &http.Client{Transport: upstream.NewTransport(), Timeout: controlTimeout}
	engines := platform.NewEngineClient(upstream.NewTransport())
	agent := experts.NewAgent(engines, s.LocalServer, time.Now, log)
	options := ranks.Options{Daemon: s.Daemon, IP: s.IP, CountsBandwidth: countsBandwidth(s.LinkMbps)}
	store := platform.NewStore(s.Store, upstream.NewTransport())
	daemon.MonitorEra(store.Eras(), log)
	exchange := membership.NewExchange(members, membership.Peer{Zone: s.Zone}, s.Seeds, client, log)
	exchange.SetEras(store.Eras())
	return &AgentDaemon{
		settings: s, log: log, members: members, agent: agent, exchange: exchange,
		leader: ranks.NewLeader(options, agent, engines, directory{settings: s, members: members}, store, client, log),
	}
}

// Run serves the group's lease holder, and acts as holder while it has the lease, until
// the context ends.
func (a *AgentDaemon) Run(ctx context.Context) error {
	daemon.LimitMemory(a.settings.MemoryMB << 20)
	group, tasks := errgroup.WithContext(ctx)
	mux := http.NewServeMux()
	service := ranks.NewService(a.agent)
	calls := peerrpc.NewRanksServer(service)
	mux.Handle(calls.PathPrefix(), calls)
	for _, s := range []struct {
		offset  int
		handler http.Handler
	}{
		{rankPort, mux},
		{metricsPort, daemon.MetricsHandler(func() bool { return true }, a.log.Logger)},
	} {
		listener, err := daemon.Listen("port_range", ownAddress(a.settings, s.offset))
		if err != nil {
			return err
		}
		group.Go(func() error { return daemon.ServeHTTP(tasks, listener, s.handler, 0) })
	}
	datagrams, err := net.ListenPacket("udp4", ownAddress(a.settings, rankPort))
	if err != nil {
		return errors.Wrap(err, "listen for rank calls")
	}
	group.Go(func() error { return ranks.Serve(tasks, datagrams, service, "", a.log) })
	group.Go(func() error {
		a.pullMembers(tasks)
		return nil
	})
	group.Go(func() error {
		a.leader.Run(tasks)
		return nil
	})
	sender, err := loadfeed.NewSender(a.settings.IP, a.settings.LocalServer, uint16(a.settings.FirstPort+loadPort))
	if err != nil {
		return err
	}
	group.Go(func() error {
		a.publishLoad(tasks, sender)
		return sender.Close()
	})
	group.Go(func() error {
		WatchSettings(tasks, a.settings, a.log, func(s *platform.Settings) { a.exchange.SetSeeds(s.Seeds) })
		return nil
	})
	a.log.WithFields(logrus.Fields{"engine": a.settings.LocalServer, "build": buildinfo.String()}).Info("agent started")
	err = errors.Wrap(group.Wait(), "agent")
	a.log.Info("agent stopped")
	flushLog(a.log)
	return err
}

// pullMembers keeps configuration and server registrations up to date by pulling them
// from a random entry.
func (a *AgentDaemon) pullMembers(ctx context.Context) {
	interval := initialMembersInterval
	for ctx.Err() == nil {
		peers := a.exchange.Peers()
		if len(peers) > 0 {
			peer := peers[rand.IntN(len(peers))]
			pull := a.exchange.PullServers
			if a.configDue() {
				pull = a.exchange.Pull
			}
			if err := pull(ctx, peer); err != nil {
				a.log.WithError(err).WithField("peer", peer).Debug("peer unreachable")
			}
		}
		if a.members.Config() != nil && a.members.Servers() != nil {
			interval = membersInterval
		}
		wait.For(ctx, interval)
		interval = min(2*interval, membersInterval)
	}
}

// configDue reports whether the next pull includes the configuration, and notes the time
// if so. The configuration may be large, and an agent needs only the parameters of its own
// service.
func (a *AgentDaemon) configDue() bool {
	if a.members.Config() != nil && time.Since(a.configRequestedAt) < configInterval {
		return false
	}
	a.configRequestedAt = time.Now()
	return true
}

// publishLoad sends the engine's load to the entries until the context ends.
func (a *AgentDaemon) publishLoad(ctx context.Context, sender *loadfeed.Sender) {
	for ctx.Err() == nil {
		if err := a.sendLoad(ctx, sender); err != nil {
			a.log.WithError(err).Debug("load report not sent")
		}
		wait.For(ctx, loadInterval)
	}
}

// sendLoad sends one load report, or an exit report when the engine refuses connections, so
// that entries sooner identify the requests that may have crashed it. It sends nothing if the
// engine didn't respond or isn't a rank of a group.
func (a *AgentDaemon) sendLoad(ctx context.Context, sender *loadfeed.Sender) error {
	report, err := a.report(ctx)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return sender.SendExited(time.Now(), a.entries())
	case report.Size > 0:
		return sender.Send(time.Now(), report, a.entries())
	default:
		return nil
	}
}

// entries returns the addresses of the known entries.
func (a *AgentDaemon) entries() []netip.Addr {
	var found []netip.Addr
	for _, peer := range a.exchange.Peers() {
		if address, err := netip.ParseAddrPort(peer); err == nil {
			found = append(found, address.Addr())
		}
	}
	return found
}

// report requests the engine's state.
func (a *AgentDaemon) report(ctx context.Context) (experts.RankReport, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := a.agent.RefreshReport(ctx)
	if err != nil {
		a.log.WithError(err).Debug("engine status request failed")
	}
	return report, err
}

const (
	// countsLinkFraction is the fraction of the VM's link that expert counts sent to a
	// holder may use.
	countsLinkFraction = 0.25
	// defaultLinkRate is assumed for a link without a configured rate, in bits per second.
	defaultLinkRate = 20e6
	bitsPerByte     = 8
)

// countsBandwidth returns the bytes per second of expert counts that a link may carry.
func countsBandwidth(linkMbps float64) float64 {
	link := linkMbps * 1e6
	if link <= 0 {
		link = defaultLinkRate
	}
	return countsLinkFraction * link / bitsPerByte
}
