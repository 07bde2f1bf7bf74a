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
	// loadPace is the time between an agent's own looks at its engine, after which it
	// tells the entries what has changed.
	loadPace = 120 * time.Millisecond
	// membersPace is the time between questions to an entry for what is newer. It
	// costs no call to the store.
	membersPace = time.Second
	// firstPace replaces it after the first question that left configuration or servers
	// unknown, and doubles up to it with each further one: when all daemons start together,
	// the entries know none at first. At membersPace, an agent knew neither for 1.05 s. It
	// grows, so that thousands of agents don't press entries that can't tell.
	firstPace = 100 * time.Millisecond
	// configPace is the time between questions for the configuration once one is known.
	configPace = 15 * time.Second
	// engineTimeout bounds a look at the engine on the same VM.
	engineTimeout = 200 * time.Millisecond
)

// AgentDaemon is the daemon beside a model engine.
type AgentDaemon struct {
	settings *platform.Settings
	log      *logrus.Entry
	members  *membership.Membership
	exchange *membership.Exchange
	agent    *experts.Agent
	leader   *ranks.Leader
	// configAt is when an entry was asked for the configuration last.
	configAt time.Time
}

// NewAgentDaemon wires an agent.
func NewAgentDaemon(s *platform.Settings, log *logrus.Entry) *AgentDaemon {
	members := membership.New(platform.Records{}, clock.New(log).Now, log)
	client := &http.Client{Transport: upstream.NewTransport(), Timeout: controlTimeout}
	engines := platform.NewEngines(upstream.NewTransport())
	agent := experts.NewAgent(engines, s.LocalServer, time.Now, log)
	options := ranks.Options{Daemon: s.Daemon, IP: s.IP, CountsBandwidth: countRoom(s.LinkMbps)}
	store := platform.NewStore(s.Store, upstream.NewTransport())
	daemon.WatchEra(store.Eras(), log)
	exchange := membership.NewExchange(members, membership.Peer{Zone: s.Zone}, s.Seeds, client, log)
	exchange.SetEras(store.Eras())
	return &AgentDaemon{
		settings: s, log: log, members: members, agent: agent, exchange: exchange,
		leader: ranks.NewLeader(options, agent, engines, directory{settings: s, members: members}, store, client, log),
	}
}

// Run serves holders, and is one when it has the lease, until the context ends.
func (a *AgentDaemon) Run(ctx context.Context) error {
	limitMemory(a.settings.MemoryMB)
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
		return errors.Wrap(err, "rank calls")
	}
	group.Go(func() error { return ranks.Serve(tasks, datagrams, service, "", a.log) })
	group.Go(func() error {
		a.followMembers(tasks)
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
		a.feedLoad(tasks, sender)
		return sender.Close()
	})
	group.Go(func() error {
		WatchSettings(tasks, a.settings, a.log, func(s *platform.Settings) { a.exchange.SetSeeds(s.Seeds) })
		return nil
	})
	a.log.WithFields(logrus.Fields{"engine": a.settings.LocalServer, "build": buildinfo.String()}).Info("agent started")
	err = errors.Wrap(group.Wait(), "agent")
	a.log.Info("agent stopped")
	return err
}

// followMembers keeps the fleet's state up to date from the entries.
func (a *AgentDaemon) followMembers(ctx context.Context) {
	pace := firstPace
	for ctx.Err() == nil {
		peers := a.exchange.Peers()
		if len(peers) > 0 {
			peer := peers[rand.IntN(len(peers))]
			ask := a.exchange.PullServers
			if a.configDue() {
				ask = a.exchange.Pull
			}
			if err := ask(ctx, peer); err != nil {
				a.log.WithError(err).WithField("peer", peer).Debug("peer not reached")
			}
		}
		if a.members.Config() != nil && a.members.Servers() != nil {
			pace = membersPace
		}
		wait.For(ctx, pace)
		pace = min(2*pace, membersPace)
	}
}

// configDue tells whether the configuration is to be asked for too. An agent
// needs little of it, the engines' figures, and the whole may be large.
func (a *AgentDaemon) configDue() bool {
	if a.members.Config() != nil && time.Since(a.configAt) < configPace {
		return false
	}
	a.configAt = time.Now()
	return true
}

// feedLoad tells the entries the engine's load.
func (a *AgentDaemon) feedLoad(ctx context.Context, sender *loadfeed.Sender) {
	for ctx.Err() == nil {
		if err := a.tellLoad(ctx, sender); err != nil {
			a.log.WithError(err).Debug("load not told")
		}
		wait.For(ctx, loadPace)
	}
}

// tellLoad looks at the engine once. That nobody listens there is news, too: the entries
// find out sooner under which requests it ended.
func (a *AgentDaemon) tellLoad(ctx context.Context, sender *loadfeed.Sender) error {
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

// entries returns the addresses of the entries heard of.
func (a *AgentDaemon) entries() []netip.Addr {
	var found []netip.Addr
	for _, peer := range a.exchange.Peers() {
		if address, err := netip.ParseAddrPort(peer); err == nil {
			found = append(found, address.Addr())
		}
	}
	return found
}

func (a *AgentDaemon) report(ctx context.Context) (experts.RankReport, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := a.agent.RefreshReport(ctx)
	if err != nil {
		a.log.WithError(err).Debug("engine not reached")
	}
	return report, err
}

// linkPart is the part of the VM's link that a holder's counts may fill;
// otherLink is taken for a link whose rate isn't told, in bits a second.
const (
	linkPart    = 0.25
	otherLink   = 20e6
	bitsPerByte = 8
)

// countRoom is how many bytes of counts a second may come over a link.
func countRoom(linkMbps float64) float64 {
	link := linkMbps * 1e6
	if link <= 0 {
		link = otherLink
	}
	return linkPart * link / bitsPerByte
}
