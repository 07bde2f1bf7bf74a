package agent

import (
	"context"

	"github.com/crowbridge/crowbridge/internal/rpc"
)

// Control serves rpc.Agents for an agent.
type Control struct {
	// Agent is what is served.
	Agent *Agent
}

// Report implements rpc.Agents.
func (c *Control) Report(context.Context, *rpc.ReportRequest) (*rpc.LoadReport, error) {
	load := c.Agent.Load()
	return &rpc.LoadReport{
		Server: c.Agent.options.Server, Incarnation: c.Agent.incarnation, Leaving: load.Leaving,
		InFlight: int64(load.InFlight), Queued: int64(load.Queued), Limit: int64(load.Limit),
		ServiceTimeUs: load.ServiceTime.Microseconds(),
	}, nil
}
