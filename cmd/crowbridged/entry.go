package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/crowbridge/crowbridge/internal/admin"
	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/entry"
	"github.com/crowbridge/crowbridge/internal/intake"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/internal/settings"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/urfave/cli/v3"
)

const (
	defaultMaxBody     = 8 << 20
	defaultMaxResponse = 16 << 20
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "serve callers: authenticate and route their requests",
		Flags: append(append(
			commonFlags(),
			stringFlag("name", "", "unique name of this daemon"),
			stringFlag("store", "", "IP:port of the platform's store, which contains the configuration log and the server list"),
			operatorFlag(),
			intFlag("max-body", defaultMaxBody, "maximum size of a request body, in bytes"),
			intFlag("max-answer", defaultMaxResponse, "maximum size of a response that isn't streamed, in bytes"),
			intFlag("max-concurrent", 20000, "maximum number of callers' connections; memory and descriptors may bound them further"),
			durationFlag("config-timeout", 3*time.Second, "maximum time to wait for the configuration at startup before serving callers"),
			intFlag("reports-per-second", 30, "load reports requested from agents per second"),
		), processLimitFlags()...),
		Action: runEntry,
	}
}

func operatorFlag() cli.Flag {
	return listFlag("operator", "name:role:sha256-of-token of an operator, with role read or change; repeat for each operator")
}

func parseOperators(cmd *cli.Command) ([]daemon.Operator, error) {
	var operators []daemon.Operator
	for _, value := range cmd.StringSlice("operator") {
		operator, err := daemon.ParseOperator(value)
		if err != nil {
			return nil, err
		}
		operators = append(operators, operator)
	}
	return operators, nil
}

type entrySettings struct {
	peers     []settings.Peer
	operators []daemon.Operator
	callers   intake.Options
}

func checkEntry(cmd *cli.Command) (*entrySettings, error) {
	var c settings.Checker
	for _, name := range []string{"name", "zone", "daemon-key"} {
		c.Required(name, cmd.String(name))
	}
	for _, name := range []string{"listen", "control", "metrics", "store"} {
		c.IPPort(name, cmd.String(name))
	}
	for _, name := range []string{"max-body", "max-answer", "max-concurrent", "reports-per-second"} {
		c.Positive(name, int64(cmd.Int(name)))
	}
	s := &entrySettings{peers: c.Peers("entry-peer", cmd.StringSlice("entry-peer"))}
	operators, err := parseOperators(cmd)
	c.AddError("operator", "(hidden)", err)
	s.operators = operators
	s.callers = processLimits(cmd, &c)
	if s.callers.Connections == 0 {
		s.callers.Connections = cmd.Int("max-concurrent")
	}
	return s, c.Err()
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	s, err := checkEntry(cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		printSettings(os.Stdout, cmd)
		return nil
	}
	p, err := newProcess(ctx, cmd, cmd.String("name"))
	if err != nil {
		return err
	}
	daemon.LimitMemory(s.callers.Memory)
	rep := replica.New(time.Now)
	e := entry.New(entry.Options{
		Name: cmd.String("name"), Zone: cmd.String("zone"), DaemonKey: cmd.String("daemon-key"),
		MaxBody: cmd.Int("max-body"), MaxResponse: int64(cmd.Int("max-answer")),
		MaxConcurrent: cmd.Int("max-concurrent"), Callers: s.callers, PollsPerSecond: cmd.Int("reports-per-second"),
	}, rep, time.Now, p.log)
	daemon.ExportOutcomeCounts(e.OutcomeCounts)
	err = serveEntry(p, s, e, rep)
	if err == nil {
		p.awaitStop()
		err = stopEntry(p, e)
	}
	if taskErr := p.finish(); err == nil {
		err = taskErr
	}
	p.log.WithField("ledger", e.OutcomeCounts()).Info("entry stopped")
	return err
}

// leaveDelay is how long a stopping entry still accepts requests. Each connection closes after its
// next response, so that busy callers move to other entries without an error.
const leaveDelay = 500 * time.Millisecond

// stopEntry waits for the requests in flight. If a task has failed, it stops immediately.
func stopEntry(p *process, e *entry.Entry) error {
	ctx, cancel := context.WithTimeout(p.tasks, p.cmd.Duration("drain-timeout"))
	defer cancel()
	e.Leave(ctx)
	wait.For(ctx, leaveDelay)
	return e.Stop(ctx)
}

// serveEntry starts the entry's servers and tasks.
func serveEntry(p *process, s *entrySettings, e *entry.Entry, rep *replica.Replica) error {
	key := p.cmd.String("daemon-key")
	store := platform.NewStore(p.cmd.String("store"), upstream.NewTransport())
	daemon.MonitorEra(store.Eras(), p.log)
	store.Eras().OnAdvance(func(int64, int64) {
		rep.RestartRead()
		e.VMListRestored()
	})
	log := platform.ConfigLog{Store: store, Now: time.Now}
	api := admin.New(e, rep, log, store, s.operators, p.log)
	if err := p.serve("control", controlHandler(key, api, rep, log, e.CrashDetector())); err != nil {
		return err
	}
	if err := p.serve("metrics", daemon.MetricsHandler(e.Ready, p.log.Logger)); err != nil {
		return err
	}
	p.runLoop(func(ctx context.Context) { rep.Follow(ctx, entrySources(p.cmd, s, log), p.log) })
	p.runLoop(e.WatchConfiguration)
	crashes, others, client := e.CrashDetector(), otherEntries(p.cmd, s), daemon.NewControlClient(key)
	crashes.SetRefresh(func(ctx context.Context) { crashes.PullFromSeveral(ctx, others, client) })
	p.runLoop(func(ctx context.Context) { crashes.Gossip(ctx, others, client) })
	p.runLoop(crash.NewStore(e.CrashDetector(), rep, log, p.cmd.String("name"), time.Now).Run)
	p.runTask(e.PollAgents)
	p.runLoop(func(ctx context.Context) { e.PollVMList(ctx, store) })
	if readsLog(p.cmd, s) {
		p.runLoop(func(ctx context.Context) { rep.PersistSnapshots(ctx, log, p.log) })
	}
	awaitReplicaSync(p.stopRequested, p.cmd.Duration("config-timeout"), rep)
	callers, err := p.listen("listen")
	if err != nil {
		return err
	}
	p.group.Go(func() error { return e.Serve(callers) })
	p.log.WithField("listen", callers.Addr().String()).Info("entry started")
	return nil
}

// awaitReplicaSync waits until the replica has a configuration or knows that there is none yet, so
// that a restarted entry doesn't reject requests for lack of one.
func awaitReplicaSync(ctx context.Context, timeout time.Duration, rep *replica.Replica) {
	const pollInterval = 10 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !rep.View().Position.HasRecord() && !rep.HasSynced() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func controlHandler(key string, api *admin.Admin, rep *replica.Replica, log replica.Log, detector *crash.Detector) http.Handler {
	peers := rpc.NewPeersServer(&replica.PeerServer{Replica: rep, Log: log, OnPeerPosition: api.RecordPeerOffset})
	mux := http.NewServeMux()
	mux.Handle(peers.PathPrefix(), daemon.RequireKey(key, peers))
	crashes := peerrpc.NewCrashesServer(crash.RPCServer{Detector: detector})
	mux.Handle(crashes.PathPrefix(), daemon.RequireKey(key, crashes))
	mux.Handle(api.PathPrefix(), api.Handler())
	return mux
}

// otherEntries returns the control addresses of all other entries.
func otherEntries(cmd *cli.Command, s *entrySettings) []string {
	var others []string
	for _, peer := range s.peers {
		if peer.Address != cmd.String("control") {
			others = append(others, peer.Address)
		}
	}
	return others
}

// zoneEntries returns the entries of this entry's zone and the index of this entry among them.
func zoneEntries(cmd *cli.Command, s *entrySettings) (own []settings.Peer, index int) {
	for _, peer := range s.peers {
		if peer.Zone != cmd.String("zone") {
			continue
		}
		if peer.Address == cmd.String("control") {
			index = len(own)
		}
		own = append(own, peer)
	}
	return own, index
}

// readsLog reports whether this entry reads the log itself instead of from another entry. Such entries
// also persist snapshots.
func readsLog(cmd *cli.Command, s *entrySettings) bool {
	_, index := zoneEntries(cmd, s)
	_, child := replica.Parent(index)
	return !child
}

// entrySources returns the sources of an entry's configuration in order of preference. The first
// entries of a zone read the log; the others read from their parent in the zone's tree. All fall back
// to the other entries of the zone, the log, and the entries of other zones.
func entrySources(cmd *cli.Command, s *entrySettings, log replica.Log) []replica.Source {
	self := cmd.String("control")
	client := daemon.NewControlClient(cmd.String("daemon-key"))
	source := func(peer settings.Peer) replica.Source {
		return replica.NewPeerSource(peer.Address, cmd.String("name"), client)
	}
	own, index := zoneEntries(cmd, s)
	var others []replica.Source
	for _, peer := range s.peers {
		if peer.Zone != cmd.String("zone") {
			others = append(others, source(peer))
		}
	}
	fromLog := replica.LogSource{Log: log}
	var sources []replica.Source
	parent, child := replica.Parent(index)
	if child {
		sources = append(sources, source(own[parent]))
	} else {
		sources = append(sources, fromLog)
	}
	for i, peer := range own {
		if peer.Address != self && (!child || i != parent) {
			sources = append(sources, source(peer))
		}
	}
	if child {
		sources = append(sources, fromLog)
	}
	return append(sources, others...)
}
