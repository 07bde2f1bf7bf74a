package main

import (
	"context"
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

// newRank returns the agent of an engine that is a rank of a group, or nil
// without a store. It claims the group's lease when no other agent holds it.
func newRank(p *process, rep *replica.Replica) (*experts.Agent, error) {
	address := p.cmd.String("store")
	if address == "" {
		return nil, nil
	}
	backend, err := url.Parse(p.cmd.String("backend"))
	if err != nil {
		return nil, errors.Wrap(err, "backend")
	}
	store := platform.NewStore(address, upstream.NewTransport())
	engines := platform.NewEngines(upstream.NewTransport())
	rank := experts.NewAgent(engines, backend.Host, time.Now, p.log)
	trail := group.NewTrail(p.cmd.String("server"), platform.ConfigLog{Store: store, Now: time.Now}, p.log)
	options := ranks.Options{Daemon: p.cmd.String("server"), Room: countRoom, Trail: trail}
	control := daemon.NewControlClient(p.cmd.String("daemon-key"))
	leader := ranks.NewLeader(options, rank, engines, group.Directory{Replica: rep}, store, control, p.log)
	p.loop(func(ctx context.Context) { watchEngine(ctx, rank) })
	p.loop(trail.Run)
	p.loop(leader.Run)
	return rank, nil
}

// watchEngine keeps the agent's report of its engine fresh. One that can't be
// reached shows in the holder's log.
func watchEngine(ctx context.Context, rank *experts.Agent) {
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, rankTimeout)
		_, _ = rank.Report(asking)
		cancel()
		wait.For(ctx, rankPace)
	}
}
