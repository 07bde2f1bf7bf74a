package agent

import (
	"context"
	"net/url"
	"time"

	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/pkg/errors"
)

// ControlServer implements rpc.Agents for an agent.
type ControlServer struct {
	Agent *Agent
}

// Report implements rpc.Agents.
func (c *ControlServer) Report(context.Context, *rpc.ReportRequest) (*rpc.LoadReport, error) {
	load := c.Agent.Load()
	return &rpc.LoadReport{
		Server: c.Agent.options.Server, Incarnation: c.Agent.incarnation, Leaving: load.Leaving,
		InFlight: int64(load.InFlight), Queued: int64(load.Queued), Limit: int64(load.Limit),
		ServiceTimeUs: load.ServiceTime.Microseconds(),
	}, nil
}

// engineTimeout bounds a probe of the server on the same VM.
const engineTimeout = 200 * time.Millisecond

// Engine implements rpc.Agents. It probes a resting server too: the probe only connects,
// and a late detection lets the same request crash more servers.
func (c *ControlServer) Engine(ctx context.Context, _ *rpc.EngineRequest) (*rpc.EngineReply, error) {
	backend, err := url.Parse(c.Agent.options.Backend)
	if err != nil {
		return nil, errors.Wrap(err, "parse backend URL")
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	reply := &rpc.EngineReply{Server: c.Agent.options.Server}
	switch upstream.ProbeAddress(ctx, backend.Host) {
	case crash.Listening:
		reply.State = rpc.EngineState_ENGINE_STATE_LISTENING
	case crash.Exited:
		c.Agent.markServerExited()
		reply.State = rpc.EngineState_ENGINE_STATE_ENDED
	case crash.Unknown:
	}
	return reply, nil
}
