package entry

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/routing"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/internal/wire"
	"golang.org/x/sync/errgroup"
)

const (
	reportTimeout = 800 * time.Millisecond
	// reportWorkers is the size of the pool that polls agents.
	reportWorkers = 8
	vmListEvery   = 2 * time.Second
)

// PollAgents polls agents for their load until the context ends. The rate is
// bounded by ReportsPerSecond, so the cost stays level as the fleet grows: the
// server whose report is oldest comes next, servers of the own zone counting as
// four times older.
func (e *Entry) PollAgents(ctx context.Context) error {
	tick := time.NewTicker(e.options.PollInterval())
	defer tick.Stop()
	due := make(chan *routing.ServerState)
	group, ctx := errgroup.WithContext(ctx)
	for range reportWorkers {
		group.Go(func() error {
			for row := range due {
				e.poll(ctx, row)
			}
			return nil
		})
	}
	group.Go(func() error {
		defer close(due)
		for {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return nil
			}
			row := e.stalest()
			if row == nil {
				continue
			}
			select {
			case due <- row:
			case <-ctx.Done():
				return nil
			}
		}
	})
	return group.Wait()
}

func (e *Entry) stalest() *routing.ServerState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.NextToPoll(e.now())
}

func (e *Entry) poll(ctx context.Context, row *routing.ServerState) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	client := rpc.NewAgentsProtobufClient("http://"+row.Server.Spec.Control, e.control)
	report, err := client.Report(ctx, &rpc.ReportRequest{Daemon: e.options.Name})
	if err != nil {
		e.noteFailed(row.Server.Name)
		return
	}
	if report.Server != row.Server.Name {
		e.noteFailed(row.Server.Name) // the address was reused
		return
	}
	load := wire.Load{
		InFlight: int(report.InFlight), Queued: int(report.Queued), Limit: int(report.Limit),
		Leaving: report.Leaving, ServiceTime: time.Duration(report.ServiceTimeUs) * time.Microsecond,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.UpdateLoad(e.now(), row.Server.Name, report.Incarnation, load)
}

// agentProber asks the agents whether the servers behind them listen. It implements
// crash.Prober.
type agentProber struct{ entry *Entry }

// Probe implements crash.Prober.
func (p agentProber) Probe(ctx context.Context, server *fleet.Server) crash.Liveness {
	listed := p.entry.index.Load().index.Servers()[server.ID]
	if listed == nil {
		return crash.Unknown
	}
	reply, err := rpc.NewAgentsProtobufClient("http://"+listed.Spec.Control, p.entry.control).Engine(ctx, &rpc.EngineRequest{})
	if err != nil {
		return crash.Unknown // the agent is lost, which says nothing of the request
	}
	switch reply.GetState() {
	case rpc.EngineState_ENGINE_STATE_ENDED:
		return crash.Exited
	case rpc.EngineState_ENGINE_STATE_LISTENING:
		return crash.Listening
	case rpc.EngineState_ENGINE_STATE_UNKNOWN:
	}
	return crash.Unknown
}

// VMList is the platform's list of backend servers.
type VMList interface {
	// Leaving tells of each listed server whether it is leaving.
	Leaving(ctx context.Context) (map[string]bool, error)
}

// PollVMList reads the platform's list until the context ends. The list lags, so
// it only ever takes servers out of routing; what agents say comes first.
func (e *Entry) PollVMList(ctx context.Context, list VMList) {
	ticker := time.NewTicker(vmListEvery)
	defer ticker.Stop()
	for {
		e.readVMs(ctx, list)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) readVMs(ctx context.Context, list VMList) {
	ctx, cancel := context.WithTimeout(ctx, vmListEvery)
	defer cancel()
	listed, err := list.Leaving(ctx)
	if err != nil {
		e.log.WithError(err).Debug("VM list not read; keeping the last one")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, leaving := range listed {
		if leaving || !e.now().Before(e.listOlderUntil) {
			e.table.SetListedLeaving(name, leaving)
		}
	}
}

// relistTime is how long the platform's list may be older than what is known, after it has
// come back from a copy: what its writers wrote meanwhile is back within about two seconds.
const relistTime = 2300 * time.Millisecond

// VMListRestored notes that the platform's list has come back from an older copy, which may
// list leaving servers as up.
func (e *Entry) VMListRestored() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listOlderUntil = e.now().Add(relistTime)
}
