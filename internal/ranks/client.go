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

// client reaches the agents of a group's ranks for a holder. It implements
// experts.Ranks.
type client struct {
	group     string
	directory Directory
	udp       *udpClient
	// http carries what is too large for a datagram.
	http *http.Client
	// local is this process's own agent, at rank ownRank.
	local   *experts.Agent
	ownRank int
	engine  experts.Engine
	// room is how many bytes of counts a second may come over the VM's link.
	countsBandwidth float64

	mu sync.Mutex // a leaf
	// places is where each rank was last: registrations lapse while a zone is cut off,
	// and come back seconds after the rank itself.
	lastEndpoints map[int]Endpoints
	// maps bounds the maps that are on their way at once.
	mapTransfers *semaphore.Weighted
	// told is the map of the last prepare order, and difference what was sent of it.
	lastMap        versionedMap
	lastDifference *peerrpc.MapDifference
	// silent are the ranks whose agents didn't answer; it's true while one is probed.
	unresponsive map[int]bool
}

// probeTimeout bounds a call to a silent agent, whose engine is asked directly
// meanwhile. It's below the time after which an agent that hears of no holder
// claims the lease.
const probeTimeout = 200 * time.Millisecond

// mapsAtOnce is how many maps are on their way at once: more would queue on the
// smallest VMs' link, 8 Mbit/s, for longer than a call waits before it's repeated.
const maxMapTransfers = 16

// remoteTry bounds one try of an order to an engine on another VM: some round
// trips between zones.
const remoteAttemptTimeout = 20 * time.Millisecond

// agentTimeout bounds a call to an agent when the caller sets no bound.
const defaultAgentTimeout = 600 * time.Millisecond

// agentPart is the part of a call's time that an agent may take, so that time is
// left to ask its engine.
const agentTimeFraction = 0.6

// patience is how long a call to an agent may take.
func (c *client) agentTimeout(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return defaultAgentTimeout
	}
	return time.Duration(agentTimeFraction * float64(time.Until(deadline)))
}

// Room implements experts.Ranks.
func (c *client) CountsBandwidth() float64 { return c.countsBandwidth }

// place returns where a rank is, or was last. Who is there tells its own rank, so
// an address that has changed hands shows.
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

// check tells whether a report is that of a rank of this group.
func (c *client) checkIdentity(rank int, to Endpoints, report experts.RankReport) error {
	if report.Group != c.group || report.Rank != rank {
		return errors.Errorf("server %s is rank %d of group %q, not rank %d of %s", to.Server, report.Rank, report.Group, rank, c.group)
	}
	return nil
}

func (c *client) isUnresponsive(rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, silent := c.unresponsive[rank]
	return silent
}

func (c *client) markUnresponsive(rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive[rank] = false
}

// beginProbe tells whether a silent agent is to be probed now.
func (c *client) beginProbe(rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if probed, silent := c.unresponsive[rank]; !silent || probed {
		return false
	}
	c.unresponsive[rank] = true
	return true
}

// endProbe notes whether a silent agent has answered.
func (c *client) endProbe(rank int, responded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if responded {
		delete(c.unresponsive, rank)
		return
	}
	c.unresponsive[rank] = false
}

// probe calls a silent agent in the background, so that it hears of its holder as
// soon as it can, and is asked first again.
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

// agent returns a client of the agent at a place.
func (c *client) agentClient(to Endpoints) peerrpc.Ranks {
	return peerrpc.NewRanksProtobufClient("http://"+to.Agent, c.http)
}

// Observe implements experts.Ranks. When the rank's agent can't be reached, its
// engine is asked for its state alone.
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
			return observation, nil // another holder's; nothing else is told
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
		observation.Counts.Chosen = append(observation.Counts.Chosen, float64(n))
	}
	for _, set := range reply.GetExperts() {
		observation.Experts = append(observation.Experts, decodeExperts(set))
	}
	return observation, nil
}

// Command implements experts.Ranks. When the rank's agent can't be reached, the
// order goes straight to the engine, if that refuses old fences itself. Without
// that, only the agent keeps a former holder's orders away.
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

// commandAgent gives an agent an order as a datagram, or over HTTP when that is
// too small for the order's map.
func (c *client) commandAgent(ctx context.Context, rank int, to Endpoints, command experts.Command) (*peerrpc.CommandReply, error) {
	request := encodeCommand(command)
	request.Group, request.Rank = c.group, int32(rank)
	if len(command.Map) > 0 {
		if err := c.mapTransfers.Acquire(ctx, 1); err != nil {
			return nil, errors.Wrap(err, "waiting to send a map")
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
			return nil, errors.New("the order has no map, but the agent lacks the base of one")
		}
	}
	request.Map, request.Difference = encodeMap(command.Map), nil
	return c.agentClient(to).Command(ctx, request)
}

// differenceOf returns how the map of a prepare order differs from that of the
// one before it, or from the default map. It's worked out once for all ranks.
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
