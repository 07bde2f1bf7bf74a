package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/crowbridge/crowbridge/internal/agent"
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/internal/settings"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "stand before one backend server: queue, start, refuse, account",
		Flags: append(
			commonFlags(),
			stringFlag("server", "", "name of the backend server in the configuration"),
			stringFlag("backend", "", "base URL of the backend server"),
			stringFlag("protocol", string(config.ProtocolEngine), "engine or plain"),
			intFlag("max-body", defaultMaxBody, "largest request body in bytes"),
			intFlag("max-answer", defaultMaxAnswer, "largest unstreamed answer in bytes"),
			stringFlag("group", "", "group of which the engine is a rank; empty for none"),
			intFlag("rank", 0, "the engine's rank in its group"),
			intFlag("max-queued", 2000, "most waiting requests"),
			intFlag("max-concurrency", 8, "most running requests"),
			durationFlag("config-timeout", 3*time.Second, "how long the start waits for the configuration before it goes on with defaults"),
		),
		Action: runAgent,
	}
}

func checkAgent(cmd *cli.Command) ([]settings.Peer, error) {
	var c settings.Checker
	for _, name := range []string{"server", "zone", "daemon-key"} {
		c.Required(name, cmd.String(name))
	}
	for _, name := range []string{"listen", "control", "metrics"} {
		c.IPPort(name, cmd.String(name))
	}
	c.URL("backend", cmd.String("backend"))
	for _, name := range []string{"max-body", "max-answer", "max-queued", "max-concurrency"} {
		c.Positive(name, int64(cmd.Int(name)))
	}
	protocol := config.Protocol(cmd.String("protocol"))
	if protocol != config.ProtocolEngine && protocol != config.ProtocolPlain {
		c.Fail("protocol", string(protocol), errors.New("use engine or plain"))
	}
	peers := c.Peers("entry-peer", cmd.StringSlice("entry-peer"))
	if len(peers) == 0 {
		c.Fail("entry-peer", "", errors.New("name at least one entry"))
	}
	return peers, c.Err()
}

func runAgent(ctx context.Context, cmd *cli.Command) error {
	peers, err := checkAgent(cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		printSettings(os.Stdout, cmd)
		return nil
	}
	logger, err := daemon.NewLogger(cmd.String("log-level"))
	if err != nil {
		return err
	}
	log := logger.WithFields(logrus.Fields{"daemon": cmd.String("server"), "zone": cmd.String("zone")})
	rep := replica.New(time.Now)
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { rep.Follow(background, agentSources(cmd, peers), log); return nil })
	awaitConfiguration(ctx, cmd, rep, log)
	a := agent.New(agent.Options{
		Server: cmd.String("server"), Backend: cmd.String("backend"),
		Protocol: config.Protocol(cmd.String("protocol")),
		MaxBody:  int64(cmd.Int("max-body")), MaxAnswer: int64(cmd.Int("max-answer")),
		MaxQueued: cmd.Int("max-queued"), MaxConcurrency: concurrency(cmd, rep.View()),
		Key: cmd.String("daemon-key"),
	}, rep.View().Policy(), time.Now, log)
	daemon.ExportLedger(a.Ledger)
	return serveAgent(ctx, background, stopBackground, cmd, group, a, rep, log)
}

// awaitConfiguration gives the first configuration a moment to arrive. An agent
// that is cut off serves with defaults.
func awaitConfiguration(ctx context.Context, cmd *cli.Command, rep *replica.Replica, log *logrus.Entry) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("config-timeout"))
	defer cancel()
	if err := rep.Wait(ctx, func() bool { return rep.Offset() > config.NoOffset }); err != nil {
		log.WithError(err).Warn("no configuration yet; going on with defaults")
	}
}

// concurrency returns the bound from the server's service, or the flag's.
func concurrency(cmd *cli.Command, view *config.View) int {
	server := view.Get(config.KindBackendServer, cmd.String("server"))
	if server == nil {
		return cmd.Int("max-concurrency")
	}
	service := view.Get(config.KindService, server.BackendServer.Service)
	if service == nil || service.Service.MaxConcurrency == 0 {
		return cmd.Int("max-concurrency")
	}
	return service.Service.MaxConcurrency
}

func serveAgent(ctx, background context.Context, stopBackground context.CancelFunc, cmd *cli.Command, group *errgroup.Group, a *agent.Agent, rep *replica.Replica, log *logrus.Entry) error {
	requests, err := daemon.Listen("listen", cmd.String("listen"))
	if err != nil {
		return err
	}
	control, err := daemon.Listen("control", cmd.String("control"))
	if err != nil {
		return err
	}
	metrics, err := daemon.Listen("metrics", cmd.String("metrics"))
	if err != nil {
		return err
	}
	var rank *agent.RankControl
	if name := cmd.String("group"); name != "" {
		rank = agent.NewRankControl(name, cmd.Int("rank"), agent.NewHTTPEngine(cmd.String("backend")), log)
	}
	group.Go(func() error { return daemon.ServeHTTP(background, requests, a, time.Second) })
	group.Go(func() error {
		return daemon.ServeHTTP(background, control, agentControl(cmd.String("daemon-key"), a, rep, rank), time.Second)
	})
	if rank != nil {
		group.Go(func() error { return rank.Run(background) })
	}
	recorder := agent.NewRecorder(a, rep, entryAddresses(cmd), daemon.NewControlClient(cmd.String("daemon-key")), log)
	group.Go(func() error { return recorder.Run(background) })
	group.Go(func() error {
		ready := func() bool { return !a.Load().Leaving }
		return daemon.ServeHTTP(background, metrics, daemon.MetricsHandler(ready, log.Logger), time.Second)
	})
	log.WithField("listen", requests.Addr().String()).Info("agent serves")
	select {
	case <-ctx.Done():
	case <-background.Done():
		return group.Wait()
	}
	log.Info("planned stop: finishing the requests in flight")
	timer := time.NewTimer(cmd.Duration("drain-timeout"))
	defer timer.Stop()
	select {
	case <-a.Leave():
		recorder.Seal(context.WithoutCancel(ctx))
	case <-timer.C:
		log.Warn("drain timeout: requests in flight are cut off")
	}
	stopBackground()
	err = group.Wait()
	log.WithField("ledger", a.Ledger()).Info("agent stopped")
	return err
}

func agentControl(key string, a *agent.Agent, rep *replica.Replica, rank *agent.RankControl) http.Handler {
	agents := rpc.NewAgentsServer(&agent.Control{Agent: a, Offset: rep.Offset})
	peers := rpc.NewPeersServer(&replica.PeerServer{Replica: rep})
	mux := http.NewServeMux()
	mux.Handle(agents.PathPrefix(), daemon.RequireKey(key, agents))
	mux.Handle(peers.PathPrefix(), daemon.RequireKey(key, peers))
	if rank != nil {
		ranks := rpc.NewRanksServer(rank)
		mux.Handle(ranks.PathPrefix(), daemon.RequireKey(key, ranks))
	}
	return mux
}

// entryAddresses returns the entries' control addresses, the own zone's first.
func entryAddresses(cmd *cli.Command) []string {
	var own, others []string
	for _, value := range cmd.StringSlice("entry-peer") {
		peer, err := settings.ParsePeer(value)
		if err != nil {
			continue // checked at the start
		}
		if peer.Zone == cmd.String("zone") {
			own = append(own, peer.Address)
		} else {
			others = append(others, peer.Address)
		}
	}
	return append(own, others...)
}

// agentSources orders the entries an agent reads from: its own zone's first,
// beginning at one that differs by agent.
func agentSources(cmd *cli.Command, peers []settings.Peer) []replica.Source {
	name := cmd.String("server")
	client := daemon.NewControlClient(cmd.String("daemon-key"))
	var own, others []replica.Source
	for _, peer := range peers {
		source := replica.NewPeerSource(peer.Address, name, client)
		if peer.Zone == cmd.String("zone") {
			own = append(own, source)
		} else {
			others = append(others, source)
		}
	}
	return append(replica.Spread(own, name), replica.Spread(others, name)...)
}
