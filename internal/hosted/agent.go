package hosted

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/loadfeed"
	"github.com/crowbridge/crowbridge/internal/membership"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
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
	// holderPace is how often an agent looks whether a holder still calls.
	holderPace = 50 * time.Millisecond
	// membersPace is the time between questions to an entry for what is newer. It
	// costs no call to the store.
	membersPace = time.Second
	// engineTimeout bounds a look at the engine on the same VM.
	engineTimeout = 200 * time.Millisecond
	// claimTimeout bounds a claim of the lease.
	claimTimeout = 1500 * time.Millisecond
	// claimPause is kept after a claim that failed.
	claimPause = 500 * time.Millisecond
)

// AgentDaemon is the daemon beside a model engine.
type AgentDaemon struct {
	settings *platform.Settings
	log      *logrus.Entry
	members  *membership.Membership
	exchange *membership.Exchange
	client   *http.Client
	store    *platform.Store
	engines  *platform.Engines
	agent    *experts.Agent
}

// NewAgentDaemon wires an agent.
func NewAgentDaemon(s *platform.Settings, log *logrus.Entry) *AgentDaemon {
	members := membership.New(platform.Records{}, time.Now, log)
	client := &http.Client{Transport: upstream.NewTransport(), Timeout: controlTimeout}
	engines := platform.NewEngines(upstream.NewTransport())
	return &AgentDaemon{
		settings: s, log: log, members: members, client: client, engines: engines,
		exchange: membership.NewExchange(members, "", s.Seeds, client, log),
		store:    platform.NewStore(s.Store, upstream.NewTransport()),
		agent:    experts.NewAgent(engines, s.LocalServer, time.Now, log),
	}
}

// Run serves holders, and is one when it has the lease, until the context ends.
func (a *AgentDaemon) Run(ctx context.Context) error {
	limitMemory(a.settings.MemoryMB)
	group, tasks := errgroup.WithContext(ctx)
	mux := http.NewServeMux()
	ranks := peerrpc.NewRanksServer(&rankService{agent: a.agent})
	mux.Handle(ranks.PathPrefix(), ranks)
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
	group.Go(func() error {
		a.followMembers(tasks)
		return nil
	})
	group.Go(func() error {
		a.hold(tasks)
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
	a.log.WithField("engine", a.settings.LocalServer).Info("agent started")
	err = errors.Wrap(group.Wait(), "agent")
	a.log.Info("agent stopped")
	return err
}

// followMembers keeps the fleet's state up to date from the entries.
func (a *AgentDaemon) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		peers := a.exchange.Peers()
		if len(peers) > 0 {
			peer := peers[rand.IntN(len(peers))]
			if err := a.exchange.Ask(ctx, peer); err != nil {
				a.log.WithError(err).WithField("peer", peer).Debug("peer not reached")
			}
		}
		wait.For(ctx, membersPace)
	}
}

// feedLoad tells the entries the engine's load.
func (a *AgentDaemon) feedLoad(ctx context.Context, sender *loadfeed.Sender) {
	for ctx.Err() == nil {
		if report := a.report(ctx); report.Size > 0 {
			if err := sender.Send(time.Now(), report, a.entries()); err != nil {
				a.log.WithError(err).Debug("load not told")
			}
		}
		wait.For(ctx, loadPace)
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

// hold claims the group's lease when no holder calls.
func (a *AgentDaemon) hold(ctx context.Context) {
	a.learnFence(ctx)
	for ctx.Err() == nil {
		wait.For(ctx, holderPace)
		report := a.agent.Last()
		fence, silent := a.agent.Silent()
		if report.Size == 0 || silent < experts.Silence(report.Rank) {
			continue
		}
		if engine, pause := a.engineModel(); engine != nil {
			a.claim(ctx, report, engine, pause, fence)
		}
	}
}

func (a *AgentDaemon) report(ctx context.Context) experts.RankReport {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := a.agent.Report(ctx)
	if err != nil {
		a.log.WithError(err).Debug("engine not reached")
	}
	return report
}

// linkPart is the part of the VM's link that a holder's counts may fill;
// otherLink is taken for a link whose rate isn't told, in bits a second.
const (
	linkPart    = 0.25
	otherLink   = 20e6
	bitsPerByte = 8
)

func (a *AgentDaemon) countRoom() float64 {
	link := a.settings.LinkMbps * 1e6
	if link <= 0 {
		link = otherLink
	}
	return linkPart * link / bitsPerByte
}

// learnFence reads the lease's history, so that an agent that started again can
// claim without waiting twice.
func (a *AgentDaemon) learnFence(ctx context.Context) {
	for ctx.Err() == nil && a.agent.Last().Size == 0 {
		wait.For(ctx, holderPace)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	newest, err := experts.Newest(ctx, a.store, a.agent.Last().Group)
	if err != nil {
		a.log.WithError(err).Info("the lease's history wasn't read: it will be when the lease is claimed")
		return
	}
	a.agent.Learn(newest)
}

// engineModel returns the published figures of the engine beside this agent,
// and the longest pause between events that its callers take as prompt.
func (a *AgentDaemon) engineModel() (*fleet.EngineModel, time.Duration) {
	config, servers := a.members.Config(), a.members.Servers()
	if config == nil || servers == nil {
		return nil, 0
	}
	server := servers.At(a.settings.LocalServer)
	if server == nil {
		return nil, 0
	}
	service := config.Service(server.Service)
	if service == nil || service.Engine == nil || service.Engine.Sets == 0 {
		return nil, 0
	}
	return service.Engine, config.EventPause(service.Name)
}

// claim tries to get the lease and steers the group while it has it.
func (a *AgentDaemon) claim(ctx context.Context, report experts.RankReport, engine *fleet.EngineModel, pauseBound time.Duration, knownFence int64) {
	claiming, cancel := context.WithTimeout(ctx, claimTimeout)
	claimed, err := experts.Claim(claiming, a.store,
		experts.LeaseRecord{Group: report.Group, Holder: a.settings.Daemon, Rank: report.Rank}, knownFence)
	cancel()
	log := a.log.WithFields(logrus.Fields{
		"group": report.Group, "rank": report.Rank, "known_fence": knownFence, "fence": claimed.Fence, "newest": claimed.Newest,
	})
	if err != nil {
		log.WithError(err).Info("lease not claimed: the store gave no answer")
		wait.For(ctx, claimPause)
		return
	}
	a.agent.Learn(claimed.Newest)
	if claimed.Fence == 0 {
		log.Info("lease not claimed: another daemon has it")
		return
	}
	log.Info("lease claimed")
	ranks := &rankClient{
		self: a.settings.Daemon, group: report.Group, port: portOf(a.settings, rankPort), members: a.members,
		client: a.client, local: a.agent, ownRank: report.Rank, engine: a.engines, room: a.countRoom(), silent: map[int]time.Time{},
	}
	lease := experts.Lease{Claimed: claimed, Size: report.Size, OwnRank: report.Rank, Engine: engine, Pause: pauseBound}
	experts.NewHolder(ranks, lease, experts.DefaultPolicy, time.Now, a.log).Run(ctx)
}
