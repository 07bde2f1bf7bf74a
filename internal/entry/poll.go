package entry

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/routing"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"golang.org/x/sync/errgroup"
)

const (
	reportTimeout = 800 * time.Millisecond
	// pollWorkers bounds the concurrent polls.
	pollWorkers    = 8
	vmListInterval = 2 * time.Second
)

// PollAgents polls agents for their load until the context ends, the stalest report first;
// see routing.Table.NextToPoll. PollsPerSecond bounds the rate, so that the cost doesn't
// grow with the fleet.
func (e *Entry) PollAgents(ctx context.Context) error {
	tick := time.NewTicker(e.options.PollInterval())
	defer tick.Stop()
	due := make(chan *routing.ServerState)
	group, ctx := errgroup.WithContext(ctx)
	for range pollWorkers {
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
			row := e.nextToPoll()
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

func (e *Entry) nextToPoll() *routing.ServerState {
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
		e.recordUnreachable(row.Server.Name)
		return
	}
	if report.Server != row.Server.Name {
		e.recordUnreachable(row.Server.Name) // the address was reused
		return
	}
	load := headers.LoadReport{
		InFlight: int(report.InFlight), Queued: int(report.Queued), Limit: int(report.Limit),
		Leaving: report.Leaving, ServiceTime: time.Duration(report.ServiceTimeUs) * time.Microsecond,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.UpdateLoad(e.now(), row.Server.Name, report.Incarnation, load)
}

// agentProber probes servers through their agents. It implements crash.Prober.
type agentProber struct{ entry *Entry }

// Probe implements crash.Prober.
func (p agentProber) Probe(ctx context.Context, server *fleet.Server) crash.Liveness {
	listed := p.entry.snapshot.Load().index.Servers()[server.ID]
	if listed == nil {
		return crash.Unknown
	}
	reply, err := rpc.NewAgentsProtobufClient("http://"+listed.Spec.Control, p.entry.control).Engine(ctx, &rpc.EngineRequest{})
	if err != nil {
		return crash.Unknown // an unreachable agent doesn't imply that the server exited
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
	// LeavingServers returns for each listed server whether it is leaving.
	LeavingServers(ctx context.Context) (map[string]bool, error)
}

// PollVMList polls the platform's VM list until the context ends. The list lags, so it can
// only exclude servers from routing, never include one that its agent reports as leaving.
func (e *Entry) PollVMList(ctx context.Context, list VMList) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		e.readVMList(ctx, list)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) readVMList(ctx context.Context, list VMList) {
	ctx, cancel := context.WithTimeout(ctx, vmListInterval)
	defer cancel()
	listed, err := list.LeavingServers(ctx)
	if err != nil {
		e.log.WithError(err).Debug("VM list not read; keeping the previous one")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, leaving := range listed {
		if leaving || !e.now().Before(e.vmListStaleUntil) {
			e.table.SetListedLeaving(name, leaving)
		}
	}
}

// vmListStaleTime is how long the VM list may be stale after a restore from a backup: its
// writers write the current state again within about two seconds.
const vmListStaleTime = 2300 * time.Millisecond

// VMListRestored records that the VM list was restored from a backup and may show leaving
// servers as up.
func (e *Entry) VMListRestored() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vmListStaleUntil = e.now().Add(vmListStaleTime)
}
