package ranks

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"
)

// client calls the agents of a group's ranks for a holder. It implements
// experts.RankClient.
type client struct {
	group     string
	directory Directory
	udp       *udpClient
	// http carries requests that don't fit into a datagram.
	http *http.Client
	// local is the agent of this process, on rank ownRank.
	local   *experts.Agent
	ownRank int
	engine  experts.Engine
	// countsBandwidth is how many bytes of counts may be received per second.
	countsBandwidth float64

	mu sync.Mutex // leaf lock
	// lastEndpoints has the last known endpoints of each rank. Registrations expire
	// during a partition of a zone and return seconds after the rank is reachable again.
	lastEndpoints map[int]Endpoints
	// mapTransfers bounds concurrent map transfers.
	mapTransfers *semaphore.Weighted
	// lastMap is the map of the last Prepare, lastDifference its encoded difference.
	lastMap        versionedMap
	lastDifference *peerrpc.MapDifference
	// unresponsive has the ranks whose agents didn't respond; the value is true while
	// the agent is being probed.
	unresponsive map[int]bool
}

// probeTimeout bounds a probe of an unresponsive agent. It is below
// experts.ClaimDelay, so that a probe arrives before the agent claims the lease.
const probeTimeout = 200 * time.Millisecond

// maxMapTransfers bounds concurrent map transfers, so that a map isn't queued for
// longer than the call timeout on the slowest link of a VM, 8 Mbit/s.
const maxMapTransfers = 16

// remoteAttemptTimeout bounds one attempt to send a command to an engine on another
// VM. It allows for several round trips between zones.
const remoteAttemptTimeout = 20 * time.Millisecond

// defaultAgentTimeout bounds a call to an agent if the context has no deadline.
const defaultAgentTimeout = 600 * time.Millisecond

// agentTimeFraction is the fraction of the time until the deadline that a call to an
// agent may take. The rest is for the fallback to the engine.
const agentTimeFraction = 0.6

// agentTimeout returns the timeout of a call to an agent.
func (c *client) agentTimeout(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return defaultAgentTimeout
	}
	return time.Duration(agentTimeFraction * float64(time.Until(deadline)))
}

// CountsBandwidth implements experts.RankClient.
func (c *client) CountsBandwidth() float64 { return c.countsBandwidth }

// endpoints returns the current or last known endpoints of a rank. Reports contain the
// rank, so checkIdentity detects a reused address.
func (c *client) endpoints(rank int) (Endpoints, error) {
	to, err := c.directory.Endpoints(c.group, rank)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.lastEndpoints[rank] = to
		return to, nil
	}
	if last, known := c.lastEndpoints[rank]; known {
		return last, nil
	}
	return Endpoints{}, err
}

// checkIdentity returns an error unless a report is from the given rank of this group.
func (c *client) checkIdentity(rank int, to Endpoints, report experts.RankReport) error {
	if report.Group != c.group || report.Rank != rank {
		return errors.Errorf("server %s is rank %d of group %q, not rank %d of %s", to.Server, report.Rank, report.Group, rank, c.group)
	}
	return nil
}

func (c *client) isUnresponsive(rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, unresponsive := c.unresponsive[rank]
	return unresponsive
}

func (c *client) markUnresponsive(rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive[rank] = false
}

// beginProbe reports whether an unresponsive agent needs a probe, and marks it as
// being probed.
func (c *client) beginProbe(rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if probed, unresponsive := c.unresponsive[rank]; !unresponsive || probed {
		return false
	}
	c.unresponsive[rank] = true
	return true
}

// endProbe records the outcome of a probe.
func (c *client) endProbe(rank int, responded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if responded {
		delete(c.unresponsive, rank)
		return
	}
	c.unresponsive[rank] = false
}

// probe calls an unresponsive agent in the background, so that it sees the holder's
// fencing token and is used again as soon as it responds.
func (c *client) probe(ctx context.Context, rank int, to Endpoints, fence int64) {
	if !c.beginProbe(rank) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	go func() {
		defer cancel()
		_, err := c.observeAgent(ctx, to, fence, experts.Query{})
		c.endProbe(rank, err == nil)
	}()
}

// agentClient returns an HTTP client of an agent.
func (c *client) agentClient(to Endpoints) peerrpc.Ranks {
	return peerrpc.NewRanksProtobufClient("http://"+to.Agent, c.http)
}

// Observe implements experts.RankClient. If the rank's agent is unreachable, it reads
// the state from the engine, without counts.
func (c *client) Observe(ctx context.Context, rank int, fence int64, query experts.Query) (experts.Observation, error) {
	if rank == c.ownRank {
		return c.local.Observe(ctx, fence, query)
	}
	to, err := c.endpoints(rank)
	if err != nil {
		return experts.Observation{}, err
	}
	if c.isUnresponsive(rank) {
		c.probe(ctx, rank, to, fence)
	} else {
		observation, err := c.observeAgent(ctx, to, fence, query)
		if err == nil && observation.Fence > fence {
			return observation, nil // superseded: the response has no state
		}
		if err == nil {
			return observation, c.checkIdentity(rank, to, observation.Report)
		}
		c.markUnresponsive(rank)
	}
	report, err := c.engine.Report(ctx, to.Engine)
	observation := experts.Observation{Report: report, Fence: fence}
	if err == nil {
		err = c.checkIdentity(rank, to, report)
	}
	if err == nil && query.Experts {
		observation.Experts, err = c.engine.Experts(ctx, to.Engine)
	}
	return observation, err
}

func (c *client) observeAgent(ctx context.Context, to Endpoints, fence int64, query experts.Query) (experts.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, c.agentTimeout(ctx))
	defer cancel()
	response, err := c.udp.call(ctx, to.Agent, &peerrpc.RankCall{Observe: &peerrpc.ObserveRequest{
		Fence: fence, Lists: query.Experts, CountsFrom: int32(query.From), CountsTo: int32(query.To),
	}})
	if err != nil {
		return experts.Observation{}, errors.Wrapf(err, "agent of server %s", to.Server)
	}
	reply := response.GetObserve()
	if reply.GetFailure() != "" {
		return experts.Observation{}, errors.Errorf("agent of server %s: %s", to.Server, reply.GetFailure())
	}
	observation := experts.Observation{
		Report: decodeState(reply.GetState()), Fence: reply.GetFence(), Counts: experts.Counts{Offset: query.From},
	}
	for _, n := range reply.GetChosen() {
		observation.Counts.Selections = append(observation.Counts.Selections, float64(n))
	}
	for _, layer := range reply.GetExperts() {
		observation.Experts = append(observation.Experts, decodeExperts(layer))
	}
	return observation, nil
}

// SendCommand implements experts.RankClient. If the rank's agent is unreachable, the
// command goes directly to the engine, provided that the engine checks fencing tokens.
// Otherwise only the agent can reject commands of a former holder.
func (c *client) SendCommand(ctx context.Context, rank int, command experts.Command, direct bool) (experts.Result, error) {
	if rank == c.ownRank {
		return c.local.Execute(ctx, command)
	}
	to, err := c.endpoints(rank)
	if err != nil {
		return experts.NoResponse, err
	}
	if to.ChecksFence && (direct || c.isUnresponsive(rank)) {
		return experts.Retry(ctx, remoteAttemptTimeout, func(ctx context.Context) (experts.Result, error) {
			return c.engine.Execute(ctx, to.Engine, command)
		})
	}
	ctx, cancel := context.WithTimeout(ctx, c.agentTimeout(ctx))
	defer cancel()
	reply, err := c.commandAgent(ctx, rank, to, command)
	if err != nil {
		return experts.NoResponse, errors.Wrapf(err, "agent of server %s", to.Server)
	}
	if reply.GetDetail() != "" {
		return experts.Result(reply.GetVerdict()), errors.New(reply.GetDetail())
	}
	return experts.Result(reply.GetVerdict()), nil
}

// commandAgent sends a command to an agent as a datagram, or over HTTP if the map
// doesn't fit or the agent lacks the base of the difference.
func (c *client) commandAgent(ctx context.Context, rank int, to Endpoints, command experts.Command) (*peerrpc.CommandReply, error) {
	request := encodeCommand(command)
	request.Group, request.Rank = c.group, int32(rank)
	if len(command.Map) > 0 {
		if err := c.mapTransfers.Acquire(ctx, 1); err != nil {
			return nil, errors.Wrap(err, "wait for a map transfer slot")
		}
		defer c.mapTransfers.Release(1)
		request.Difference = c.mapDifference(command)
	}
	call := &peerrpc.RankCall{Command: request}
	if proto.Size(call) <= maxDatagram {
		response, err := c.udp.call(ctx, to.Agent, call)
		if err != nil || !response.GetCommand().GetBaseUnknown() {
			return response.GetCommand(), err
		}
		if len(command.Map) == 0 {
			return nil, errors.New("agent reports an unknown base map for a command that has no map")
		}
	}
	request.Map, request.Difference = encodeMap(command.Map), nil
	return c.agentClient(to).Command(ctx, request)
}

// mapDifference returns the difference of a command's map from the previous map of the
// same holder and epoch, or from the default map. It is computed once for all ranks.
func (c *client) mapDifference(command experts.Command) *peerrpc.MapDifference {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := versionedMap{epoch: command.Epoch, fence: command.Fence, version: command.Version, lists: command.Map}
	if c.lastMap.sameHolder(next) && c.lastMap.version == next.version {
		return c.lastDifference
	}
	base := c.lastMap
	if !base.sameHolder(next) {
		base = versionedMap{lists: defaultMap(len(command.Map), len(command.Map[0]), expertCount(command.Map))}
	}
	c.lastMap, c.lastDifference = next, encodeDifference(base, command.Map)
	return c.lastDifference
}
