package main

import (
	"context"
	"net"
	"net/netip"
	"net/url"
	"time"

	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/group"
	"github.com/crowbridge/crowbridge/internal/ranks"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/pkg/errors"
)

const (
	// rankPace is the time between an agent's own looks at its engine, and
	// rankTimeout bounds one: the engine is on the same VM.
	rankPace    = 120 * time.Millisecond
	rankTimeout = 200 * time.Millisecond
	// countRoom is how many bytes of counts a holder may ask for in a second: a
	// quarter of a link of 20 Mbit/s, the smallest that users have.
	countRoom = 0.25 * 20e6 / 8
)

// newRank returns the service of an engine that is a rank of a group, or nil
// without a store. Its agent claims the group's lease when no other agent holds it.
func newRank(p *process, rep *replica.Replica) (*ranks.Service, error) {
	address := p.cmd.String("store")
	if address == "" {
		return nil, nil
	}
	backend, err := url.Parse(p.cmd.String("backend"))
	if err != nil {
		return nil, errors.Wrap(err, "backend")
	}
	store := platform.NewStore(address, upstream.NewTransport())
	daemon.MonitorEra(store.Eras(), p.log)
	engines := platform.NewEngineClient(upstream.NewTransport())
	rank := experts.NewAgent(engines, backend.Host, time.Now, p.log)
	trail := group.NewAuditTrail(p.cmd.String("server"), platform.ConfigLog{Store: store, Now: time.Now}, p.log)
	options := ranks.Options{Daemon: p.cmd.String("server"), CountsBandwidth: countRoom, AuditTrail: trail}
	key, ip := p.cmd.String("daemon-key"), netip.MustParseAddrPort(p.cmd.String("control")).Addr() // checked with the settings
	datagrams, err := net.ListenPacket("udp4", p.cmd.String("control"))
	if err != nil {
		return nil, errors.Wrap(err, "control")
	}
	options.IP, options.Key = ip.String(), key
	control := daemon.NewControlClient(key)
	leader := ranks.NewLeader(options, rank, engines, group.Directory{Replica: rep}, store, control, p.log)
	service := ranks.NewService(rank)
	p.run(func(ctx context.Context) error { return ranks.Serve(ctx, datagrams, service, key, p.log) })
	p.loop(func(ctx context.Context) { watchEngine(ctx, rank) })
	p.loop(trail.Run)
	p.loop(leader.Run)
	return service, nil
}

// watchEngine keeps the agent's report of its engine fresh. One that can't be
// reached shows in the holder's log.
func watchEngine(ctx context.Context, rank *experts.Agent) {
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, rankTimeout)
		_, _ = rank.RefreshReport(asking)
		cancel()
		wait.For(ctx, rankPace)
	}
}
