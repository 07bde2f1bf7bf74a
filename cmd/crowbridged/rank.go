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
	// reportInterval is the time between an agent's reads of the state of its engine, which is on the
	// same VM.
	reportInterval = 120 * time.Millisecond
	// reportTimeout limits one read.
	reportTimeout = 200 * time.Millisecond
	// countsBandwidth is the bandwidth for expert counts that a lease holder may use, in bytes per
	// second: a quarter of the smallest link, 20 Mbit/s.
	countsBandwidth = 0.25 * 20e6 / 8
)

// newRank returns the service for an engine that is a rank of a group, or nil without a store. It
// starts the tasks of the rank, which claims the group's lease when no other agent holds it.
func newRank(p *process, rep *replica.Replica) (*ranks.Service, error) {
	address := p.cmd.String("store")
	if address == "" {
		return nil, nil
	}
	backend, err := url.Parse(p.cmd.String("backend"))
	if err != nil {
		return nil, errors.Wrap(err, "setting backend")
	}
	store := platform.NewStore(address, upstream.NewTransport())
	daemon.MonitorEra(store.Eras(), p.log)
	engines := platform.NewEngineClient(upstream.NewTransport())
	rank := experts.NewAgent(engines, backend.Host, time.Now, p.log)
	auditTrail := group.NewAuditTrail(p.cmd.String("server"), platform.ConfigLog{Store: store, Now: time.Now}, p.log)
	options := ranks.Options{Daemon: p.cmd.String("server"), CountsBandwidth: countsBandwidth, AuditTrail: auditTrail}
	key, ip := p.cmd.String("daemon-key"), netip.MustParseAddrPort(p.cmd.String("control")).Addr() // validated by checkAgent
	datagrams, err := net.ListenPacket("udp4", p.cmd.String("control"))
	if err != nil {
		return nil, errors.Wrap(err, "setting control")
	}
	options.IP, options.Key = ip.String(), key
	control := daemon.NewControlClient(key)
	leader := ranks.NewLeader(options, rank, engines, group.Directory{Replica: rep}, store, control, p.log)
	service := ranks.NewService(rank)
	p.runTask(func(ctx context.Context) error { return ranks.Serve(ctx, datagrams, service, key, p.log) })
	p.runLoop(func(ctx context.Context) { refreshReports(ctx, rank) })
	p.runLoop(auditTrail.Run)
	p.runLoop(leader.Run)
	return service, nil
}

// refreshReports regularly reads the engine's state. It ignores errors: the lease holder logs
// unreachable engines.
func refreshReports(ctx context.Context, rank *experts.Agent) {
	for ctx.Err() == nil {
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, _ = rank.RefreshReport(reportCtx)
		cancel()
		wait.For(ctx, reportInterval)
	}
}
