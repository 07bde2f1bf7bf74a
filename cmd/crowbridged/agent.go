package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/crowbridge/crowbridge/internal/agent"
	"github.com/crowbridge/crowbridge/internal/clock"
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/ranks"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/internal/settings"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
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
			stringFlag("store", "", "IP:port of the platform's store, for an engine that is a rank of a group; empty for others"),
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
	if store := cmd.String("store"); store != "" {
		c.IPPort("store", store)
	}
	protocol := config.Protocol(cmd.String("protocol"))
	if protocol != config.ProtocolEngine && protocol != config.ProtocolPlain {
		c.AddError("protocol", string(protocol), errors.New("use engine or plain"))
	}
	peers := c.Peers("entry-peer", cmd.StringSlice("entry-peer"))
	if len(peers) == 0 {
		c.AddError("entry-peer", "", errors.New("name at least one entry"))
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
	p, err := newProcess(ctx, cmd, cmd.String("server"))
	if err != nil {
		return err
	}
	rep := replica.New(time.Now)
	p.loop(func(ctx context.Context) { rep.Follow(ctx, agentSources(cmd, peers), p.log) })
	awaitConfiguration(ctx, cmd, rep, p.log)
	a := agent.New(agent.Options{
		Server: cmd.String("server"), Backend: cmd.String("backend"),
		Protocol: config.Protocol(cmd.String("protocol")),
		MaxBody:  int64(cmd.Int("max-body")), MaxResponse: int64(cmd.Int("max-answer")),
		MaxQueued: cmd.Int("max-queued"), MaxConcurrency: concurrency(cmd, rep.View()),
		Key: cmd.String("daemon-key"), SuspendAwareNow: clock.New(p.log).Now,
	}, rep.View().Policy(), time.Now, p.log)
	daemon.ExportOutcomeCounts(a.OutcomeCounts)
	p.loop(func(ctx context.Context) { followConfiguration(ctx, cmd, a, rep) })
	recorder := agent.NewRecorder(a, rep, entryAddresses(peers, cmd.String("zone")), daemon.NewControlClient(cmd.String("daemon-key")), p.log)
	p.run(recorder.RecordStart)
	err = serveAgent(p, a, rep)
	if err == nil && p.awaitStop() {
		leave(p, a, recorder)
	}
	if taskErr := p.finish(); err == nil {
		err = taskErr
	}
	p.log.WithField("ledger", a.OutcomeCounts()).Info("agent stopped")
	return err
}

// awaitConfiguration gives the first configuration a moment to arrive. An agent
// that is cut off serves with defaults.
func awaitConfiguration(ctx context.Context, cmd *cli.Command, rep *replica.Replica, log *logrus.Entry) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("config-timeout"))
	defer cancel()
	if err := rep.Wait(ctx, func() bool { return rep.View().Position.HasRecord() }); err != nil {
		log.WithError(err).Warn("no configuration yet; going on with defaults")
	}
}

// followConfiguration brings each change into force at the agent.
func followConfiguration(ctx context.Context, cmd *cli.Command, a *agent.Agent, rep *replica.Replica) {
	for {
		changed := rep.Changed()
		a.Configure(configuration(cmd, rep.View()))
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// configuration returns what a view says for this agent.
func configuration(cmd *cli.Command, view *config.View) agent.Configuration {
	c := agent.Configuration{Policy: view.Policy(), MaxConcurrency: concurrency(cmd, view)}
	if server := view.Get(config.KindBackendServer, cmd.String("server")); server != nil {
		c.HomesChange = view.HomesChange(server.BackendServer.Service)
		c.Draining = server.BackendServer.Draining
	}
	return c
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

func serveAgent(p *process, a *agent.Agent, rep *replica.Replica) error {
	rank, err := newRank(p, rep)
	if err != nil {
		return err
	}
	if err := p.serve("control", agentControl(p.cmd.String("daemon-key"), a, rep, rank)); err != nil {
		return err
	}
	ready := func() bool { return !a.Load().Leaving }
	if err := p.serve("metrics", daemon.MetricsHandler(ready, p.log.Logger)); err != nil {
		return err
	}
	if err := p.serve("listen", a); err != nil {
		return err
	}
	p.log.WithField("listen", p.cmd.String("listen")).Info("agent serves")
	return nil
}

// leave refuses new work, waits for the requests in flight, and hands the key
// table over.
func leave(p *process, a *agent.Agent, recorder *agent.Recorder) {
	timer := time.NewTimer(p.cmd.Duration("drain-timeout"))
	defer timer.Stop()
	select {
	case <-a.Leave():
		recorder.Seal(p.tasks)
	case <-timer.C:
		p.log.Warn("drain timeout: requests in flight are cut off")
	}
}

func agentControl(key string, a *agent.Agent, rep *replica.Replica, rank *ranks.Service) http.Handler {
	agents := rpc.NewAgentsServer(&agent.ControlServer{Agent: a})
	peers := rpc.NewPeersServer(&replica.PeerServer{Replica: rep})
	mux := http.NewServeMux()
	mux.Handle(agents.PathPrefix(), daemon.RequireKey(key, agents))
	mux.Handle(peers.PathPrefix(), daemon.RequireKey(key, peers))
	if rank != nil {
		calls := peerrpc.NewRanksServer(rank)
		mux.Handle(calls.PathPrefix(), daemon.RequireKey(key, calls))
	}
	return mux
}

// entryAddresses returns the entries' control addresses, the own zone's first.
func entryAddresses(peers []settings.Peer, zone string) []string {
	var own, others []string
	for _, peer := range peers {
		if peer.Zone == zone {
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
	return append(replica.RotateByName(own, name), replica.RotateByName(others, name)...)
}
