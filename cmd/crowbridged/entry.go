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
	defaultMaxBody   = 8 << 20
	defaultMaxAnswer = 16 << 20
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "serve callers: authenticate, route, answer",
		Flags: append(
			commonFlags(),
			stringFlag("name", "", "name of this daemon, unique in the deployment"),
			stringFlag("store", "", "IP:port of the platform's store: the log of configuration and the list of servers"),
			operatorFlag(),
			intFlag("max-body", defaultMaxBody, "largest request body in bytes"),
			intFlag("max-answer", defaultMaxAnswer, "largest unstreamed answer in bytes"),
			intFlag("max-concurrent", 20000, "most requests in flight"),
			durationFlag("config-timeout", 3*time.Second, "how long the start waits for the configuration before callers are let in"),
			intFlag("reports-per-second", 30, "load reports asked of agents per second"),
		),
		Action: runEntry,
	}
}

func operatorFlag() cli.Flag {
	return listFlag("operator", "name:role:sha256-of-token of an operator; role is read or change; repeat for each")
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
	rep := replica.New(time.Now)
	e := entry.New(entry.Options{
		Name: cmd.String("name"), Zone: cmd.String("zone"), DaemonKey: cmd.String("daemon-key"),
		MaxBody: cmd.Int("max-body"), MaxResponse: int64(cmd.Int("max-answer")),
		MaxConcurrent: cmd.Int("max-concurrent"), PollsPerSecond: cmd.Int("reports-per-second"),
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

// leaveDelay is how long a stopping entry goes on answering on open connections,
// each of which ends with its next answer: busy callers use theirs several times in it.
const leaveDelay = 500 * time.Millisecond

// stopEntry finishes the requests in flight; when a task has failed, it closes
// at once.
func stopEntry(p *process, e *entry.Entry) error {
	ctx, cancel := context.WithTimeout(p.tasks, p.cmd.Duration("drain-timeout"))
	defer cancel()
	e.Leave()
	wait.For(ctx, leaveDelay)
	return e.Stop(ctx)
}

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
	p.loop(func(ctx context.Context) { rep.Follow(ctx, entrySources(p.cmd, s, log), p.log) })
	p.loop(e.WatchConfiguration)
	p.loop(func(ctx context.Context) {
		e.CrashDetector().Gossip(ctx, otherEntries(p.cmd, s), daemon.NewControlClient(key))
	})
	p.loop(crash.NewStore(e.CrashDetector(), rep, log, p.cmd.String("name"), time.Now).Run)
	p.run(e.PollAgents)
	p.loop(func(ctx context.Context) { e.PollVMList(ctx, store) })
	if readsLog(p.cmd, s) {
		p.loop(func(ctx context.Context) { rep.PersistSnapshots(ctx, log, p.log) })
	}
	awaitFirstNews(p.asked, p.cmd.Duration("config-timeout"), rep)
	callers, err := p.listen("listen")
	if err != nil {
		return err
	}
	p.group.Go(func() error { return e.Serve(callers) })
	p.log.WithField("listen", callers.Addr().String()).Info("entry serves")
	return nil
}

// awaitFirstNews waits until the replica has a configuration, or has heard that
// there is none yet, so that a replaced entry refuses nobody for want of one.
func awaitFirstNews(ctx context.Context, timeout time.Duration, rep *replica.Replica) {
	const poll = 10 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for !rep.View().Position.HasRecord() && !rep.HasSynced() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func controlHandler(key string, api *admin.Admin, rep *replica.Replica, log replica.Log, watch *crash.Detector) http.Handler {
	peers := rpc.NewPeersServer(&replica.PeerServer{Replica: rep, Log: log, OnPeerPosition: api.RecordPeerOffset})
	mux := http.NewServeMux()
	mux.Handle(peers.PathPrefix(), daemon.RequireKey(key, peers))
	crashes := peerrpc.NewCrashesServer(crash.RPCServer{Detector: watch})
	mux.Handle(crashes.PathPrefix(), daemon.RequireKey(key, crashes))
	mux.Handle(api.PathPrefix(), api.Handler())
	return mux
}

// otherEntries are the control addresses of all entries but this one.
func otherEntries(cmd *cli.Command, s *entrySettings) []string {
	var others []string
	for _, peer := range s.peers {
		if peer.Address != cmd.String("control") {
			others = append(others, peer.Address)
		}
	}
	return others
}

// ownZone returns the entries of this entry's zone, and its own place among them.
func ownZone(cmd *cli.Command, s *entrySettings) (own []settings.Peer, place int) {
	for _, peer := range s.peers {
		if peer.Zone != cmd.String("zone") {
			continue
		}
		if peer.Address == cmd.String("control") {
			place = len(own)
		}
		own = append(own, peer)
	}
	return own, place
}

// readsLog tells whether this entry is among those that read the log themselves;
// these also keep the state on the store.
func readsLog(cmd *cli.Command, s *entrySettings) bool {
	_, place := ownZone(cmd, s)
	_, child := replica.Parent(place)
	return !child
}

// entrySources orders where an entry reads from. The first entries of a zone
// read the log; each other one reads from its parent in the zone's tree. All
// fall back on the rest of the zone, the log, and the other zones.
func entrySources(cmd *cli.Command, s *entrySettings, log replica.Log) []replica.Source {
	self := cmd.String("control")
	client := daemon.NewControlClient(cmd.String("daemon-key"))
	source := func(peer settings.Peer) replica.Source {
		return replica.NewPeerSource(peer.Address, cmd.String("name"), client)
	}
	own, place := ownZone(cmd, s)
	var others []replica.Source
	for _, peer := range s.peers {
		if peer.Zone != cmd.String("zone") {
			others = append(others, source(peer))
		}
	}
	fromLog := replica.LogSource{Log: log}
	var sources []replica.Source
	parent, child := replica.Parent(place)
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
