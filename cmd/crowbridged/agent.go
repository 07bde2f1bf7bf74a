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
	"github.com/crowbridge/crowbridge/internal/intake"
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
		Usage: "run the proxy in front of one backend server: queue, admit and count its requests",
		Flags: append(append(
			commonFlags(),
			stringFlag("server", "", "name of the backend server in the configuration"),
			stringFlag("backend", "", "base URL of the backend server"),
			stringFlag("protocol", string(config.ProtocolEngine), "engine or plain"),
			intFlag("max-body", defaultMaxBody, "maximum size of a request body, in bytes"),
			intFlag("max-answer", defaultMaxResponse, "maximum size of a response that isn't streamed, in bytes"),
			stringFlag("store", "", "IP:port of the platform's store, only for an engine that is a rank of a group"),
			intFlag("max-queued", 2000, "maximum number of queued requests"),
			intFlag("max-concurrency", 8, "maximum number of running requests"),
			durationFlag("config-timeout", 3*time.Second, "maximum time to wait for the configuration at startup before using defaults"),
		), processLimitFlags()...),
		Action: runAgent,
	}
}

func checkAgent(cmd *cli.Command) (peers []settings.Peer, callers intake.Options, err error) {
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
	callers = processLimits(cmd, &c)
	peers = c.Peers("entry-peer", cmd.StringSlice("entry-peer"))
	if len(peers) == 0 {
		c.AddError("entry-peer", "", errors.New("set at least one entry as zone=IP:port"))
	}
	return peers, callers, c.Err()
}

func runAgent(ctx context.Context, cmd *cli.Command) error {
	peers, callers, err := checkAgent(cmd)
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
	daemon.LimitMemory(callers.Memory)
	rep := replica.New(time.Now)
	p.runLoop(func(ctx context.Context) { rep.Follow(ctx, agentSources(cmd, peers), p.log) })
	awaitConfiguration(ctx, cmd, rep, p.log)
	a := agent.New(agent.Options{
		Server: cmd.String("server"), Backend: cmd.String("backend"),
		Protocol: config.Protocol(cmd.String("protocol")),
		MaxBody:  int64(cmd.Int("max-body")), MaxResponse: int64(cmd.Int("max-answer")),
		MaxQueued: cmd.Int("max-queued"), MaxConcurrency: maxConcurrency(cmd, rep.View()),
		Key: cmd.String("daemon-key"), SuspendAwareNow: clock.New(p.log).Now,
	}, rep.View().Policy(), time.Now, p.log)
	daemon.ExportOutcomeCounts(a.OutcomeCounts)
	p.runLoop(func(ctx context.Context) { followConfiguration(ctx, cmd, a, rep) })
	recorder := agent.NewRecorder(a, rep, entryAddresses(peers, cmd.String("zone")), daemon.NewControlClient(cmd.String("daemon-key")), p.log)
	p.runTask(recorder.RecordStart)
	err = serveAgent(p, a, rep, callers)
	if err == nil && p.awaitStop() {
		drainAgent(p, a, recorder)
	}
	if taskErr := p.finish(); err == nil {
		err = taskErr
	}
	p.log.WithField("ledger", a.OutcomeCounts()).Info("agent stopped")
	return err
}

// awaitConfiguration waits for the first configuration. After a timeout the agent uses defaults.
func awaitConfiguration(ctx context.Context, cmd *cli.Command, rep *replica.Replica, log *logrus.Entry) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("config-timeout"))
	defer cancel()
	if err := rep.Wait(ctx, func() bool { return rep.View().Position.HasRecord() }); err != nil {
		log.WithError(err).Warn("no configuration received in time: using defaults")
	}
}

// followConfiguration applies each configuration change to the agent.
func followConfiguration(ctx context.Context, cmd *cli.Command, a *agent.Agent, rep *replica.Replica) {
	for {
		changed := rep.Changed()
		a.Configure(agentConfiguration(cmd, rep.View()))
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// agentConfiguration returns this agent's part of the configuration.
func agentConfiguration(cmd *cli.Command, view *config.View) agent.Configuration {
	c := agent.Configuration{Policy: view.Policy(), MaxConcurrency: maxConcurrency(cmd, view)}
	if server := view.Get(config.KindBackendServer, cmd.String("server")); server != nil {
		c.HomesChange = view.HomesChange(server.BackendServer.Service)
		c.Draining = server.BackendServer.Draining
	}
	return c
}

// maxConcurrency returns the limit of the server's service, or else that of the flag.
func maxConcurrency(cmd *cli.Command, view *config.View) int {
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

// serveAgent starts the agent's servers.
func serveAgent(p *process, a *agent.Agent, rep *replica.Replica, callers intake.Options) error {
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
	if err := p.serveCallers("listen", a, callers); err != nil {
		return err
	}
	p.log.WithField("listen", p.cmd.String("listen")).Info("agent started")
	return nil
}

// drainAgent rejects new requests and waits for those in flight, at most for the drain timeout. If
// all have finished, it records the table of idempotency keys for the next incarnation.
func drainAgent(p *process, a *agent.Agent, recorder *agent.Recorder) {
	timeout := p.cmd.Duration("drain-timeout")
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-a.Leave(time.Now().Add(timeout)):
		recorder.Seal(p.tasks)
	case <-timer.C:
		p.log.Warn("drain timeout: canceling requests in flight")
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

// entryAddresses returns the entries' control addresses, those of this zone first.
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

// agentSources returns the entries that an agent may read the configuration from, those of its zone
// first. The order within each part depends on the agent's name, to spread the load.
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
