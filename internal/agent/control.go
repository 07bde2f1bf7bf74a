package agent

import (
	"context"

	"github.com/crowbridge/crowbridge/internal/rpc"
)

// Control serves rpc.Agents for an agent.
type Control struct {
	// Agent is what is served.
	Agent *Agent
	// Offset returns the configuration offset in force here.
	Offset func() int64
}

// Report implements rpc.Agents.
func (c *Control) Report(context.Context, *rpc.ReportRequest) (*rpc.LoadReport, error) {
	load := c.Agent.Load()
	return &rpc.LoadReport{
		Server: c.Agent.options.Server, Incarnation: c.Agent.incarnation, Leaving: load.Leaving,
		InFlight: int64(load.InFlight), Queued: int64(load.Queued), Limit: int64(load.Limit),
		Offset: c.Offset(), ServiceTimeUs: load.ServiceTime.Microseconds(),
		Ledgers: []*rpc.Ledger{rpc.LedgerFrom(c.Agent.options.Server, c.Agent.Ledger())},
	}, nil
}
