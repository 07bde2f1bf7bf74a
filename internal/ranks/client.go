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
	link      *link
	// http carries what is too large for a datagram.
	http *http.Client
	// local is this process's own agent, at rank ownRank.
	local   *experts.Agent
	ownRank int
	engine  experts.Engine
	// room is how many bytes of counts a second may come over the VM's link.
	room float64

	mu sync.Mutex // a leaf
	// places is where each rank was last: registrations lapse while a zone is cut off,
	// and come back seconds after the rank itself.
	places map[int]Endpoints
	// maps bounds the maps that are on their way at once.
	maps *semaphore.Weighted
	// told is the map of the last prepare order, and difference what was sent of it.
	told       namedMap
	difference *peerrpc.MapDifference
	// silent are the ranks whose agents didn't answer; it's true while one is probed.
	silent map[int]bool
}

// probeTimeout bounds a call to a silent agent, whose engine is asked directly
// meanwhile. It's below the time after which an agent that hears of no holder
// claims the lease.
const probeTimeout = 200 * time.Millisecond

// mapsAtOnce is how many maps are on their way at once: more would queue on the
// smallest VMs' link, 8 Mbit/s, for longer than a call waits before it's repeated.
const mapsAtOnce = 16

// remoteTry bounds one try of an order to an engine on another VM: some round
// trips between zones.
const remoteTry = 20 * time.Millisecond

// agentTimeout bounds a call to an agent when the caller sets no bound.
const agentTimeout = 600 * time.Millisecond

// agentPart is the part of a call's time that an agent may take, so that time is
// left to ask its engine.
const agentPart = 0.6

// patience is how long a call to an agent may take.
func (c *client) patience(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return agentTimeout
	}
	return time.Duration(agentPart * float64(time.Until(deadline)))
}

// Room implements experts.Ranks.
func (c *client) CountsBandwidth() float64 { return c.room }

// place returns where a rank is, or was last. Who is there tells its own rank, so
// an address that has changed hands shows.
func (c *client) place(rank int) (Endpoints, error) {
	at, err := c.directory.Endpoints(c.group, rank)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.places[rank] = at
		return at, nil
	}
	if last, known := c.places[rank]; known {
		return last, nil
	}
	return Endpoints{}, err
}

// check tells whether a report is that of a rank of this group.
func (c *client) check(rank int, at Endpoints, report experts.RankReport) error {
	if report.Group != c.group || report.Rank != rank {
		return errors.Errorf("server %s is rank %d of group %q, not rank %d of %s", at.Server, report.Rank, report.Group, rank, c.group)
	}
	return nil
}

func (c *client) isSilent(rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, silent := c.silent[rank]
	return silent
}

func (c *client) markSilent(rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[rank] = false
}

// beginProbe tells whether a silent agent is to be probed now.
func (c *client) beginProbe(rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if probed, silent := c.silent[rank]; !silent || probed {
		return false
	}
	c.silent[rank] = true
	return true
}

// endProbe notes whether a silent agent has answered.
func (c *client) endProbe(rank int, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		delete(c.silent, rank)
		return
	}
	c.silent[rank] = false
}

// probe calls a silent agent in the background, so that it hears of its holder as
// soon as it can, and is asked first again.
func (c *client) probe(ctx context.Context, rank int, at Endpoints, fence int64) {
	if !c.beginProbe(rank) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	go func() {
		defer cancel()
		_, err := c.observeAgent(ctx, at, fence, experts.Query{})
		c.endProbe(rank, err == nil)
	}()
}

// agent returns a client of the agent at a place.
func (c *client) agent(at Endpoints) peerrpc.Ranks {
	return peerrpc.NewRanksProtobufClient("http://"+at.Agent, c.http)
}

// Observe implements experts.Ranks. When the rank's agent can't be reached, its
// engine is asked for its state alone.
func (c *client) Observe(ctx context.Context, rank int, fence int64, ask experts.Query) (experts.Observation, error) {
	if rank == c.ownRank {
		return c.local.Observe(ctx, fence, ask)
	}
	at, err := c.place(rank)
	if err != nil {
		return experts.Observation{}, err
	}
	if c.isSilent(rank) {
		c.probe(ctx, rank, at, fence)
	} else {
		seen, err := c.observeAgent(ctx, at, fence, ask)
		if err == nil && seen.Fence > fence {
			return seen, nil // another holder's; nothing else is told
		}
		if err == nil {
			return seen, c.check(rank, at, seen.Report)
		}
		c.markSilent(rank)
	}
	report, err := c.engine.Report(ctx, at.Engine)
	seen := experts.Observation{Report: report, Fence: fence}
	if err == nil {
		err = c.check(rank, at, report)
	}
	if err == nil && ask.Experts {
		seen.Experts, err = c.engine.Experts(ctx, at.Engine)
	}
	return seen, err
}

func (c *client) observeAgent(ctx context.Context, at Endpoints, fence int64, ask experts.Query) (experts.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, c.patience(ctx))
	defer cancel()
	answer, err := c.link.call(ctx, at.Agent, &peerrpc.RankCall{Observe: &peerrpc.ObserveRequest{
		Fence: fence, Lists: ask.Experts, CountsFrom: int32(ask.From), CountsTo: int32(ask.To),
	}})
	if err != nil {
		return experts.Observation{}, errors.Wrapf(err, "agent of server %s", at.Server)
	}
	reply := answer.GetObserve()
	if reply.GetFailure() != "" {
		return experts.Observation{}, errors.Errorf("agent of server %s: %s", at.Server, reply.GetFailure())
	}
	seen := experts.Observation{
		Report: decodeState(reply.GetState()), Fence: reply.GetFence(), Counts: experts.Counts{Offset: ask.From},
	}
	for _, n := range reply.GetChosen() {
		seen.Counts.Chosen = append(seen.Counts.Chosen, float64(n))
	}
	for _, set := range reply.GetExperts() {
		seen.Experts = append(seen.Experts, decodeExperts(set))
	}
	return seen, nil
}

// Command implements experts.Ranks. When the rank's agent can't be reached, the
// order goes straight to the engine, if that refuses old fences itself. Without
// that, only the agent keeps a former holder's orders away.
func (c *client) SendCommand(ctx context.Context, rank int, order experts.Command, direct bool) (experts.Result, error) {
	if rank == c.ownRank {
		return c.local.Execute(ctx, order)
	}
	at, err := c.place(rank)
	if err != nil {
		return experts.NoResponse, err
	}
	if at.ChecksFence && (direct || c.isSilent(rank)) {
		return experts.Retry(ctx, remoteTry, func(ctx context.Context) (experts.Result, error) {
			return c.engine.Execute(ctx, at.Engine, order)
		})
	}
	ctx, cancel := context.WithTimeout(ctx, c.patience(ctx))
	defer cancel()
	reply, err := c.commandAgent(ctx, rank, at, order)
	if err != nil {
		return experts.NoResponse, errors.Wrapf(err, "agent of server %s", at.Server)
	}
	if reply.GetDetail() != "" {
		return experts.Result(reply.GetVerdict()), errors.New(reply.GetDetail())
	}
	return experts.Result(reply.GetVerdict()), nil
}

// commandAgent gives an agent an order as a datagram, or over HTTP when that is
// too small for the order's map.
func (c *client) commandAgent(ctx context.Context, rank int, at Endpoints, order experts.Command) (*peerrpc.CommandReply, error) {
	request := encodeOrder(order)
	request.Group, request.Rank = c.group, int32(rank)
	if len(order.Map) > 0 {
		if err := c.maps.Acquire(ctx, 1); err != nil {
			return nil, errors.Wrap(err, "waiting to send a map")
		}
		defer c.maps.Release(1)
		request.Difference = c.differenceOf(order)
	}
	call := &peerrpc.RankCall{Command: request}
	if proto.Size(call) <= maxDatagram {
		answer, err := c.link.call(ctx, at.Agent, call)
		if err != nil || !answer.GetCommand().GetBaseUnknown() {
			return answer.GetCommand(), err
		}
		if len(order.Map) == 0 {
			return nil, errors.New("the order has no map, but the agent lacks the base of one")
		}
	}
	request.Map, request.Difference = encodeMap(order.Map), nil
	return c.agent(at).Command(ctx, request)
}

// differenceOf returns how the map of a prepare order differs from that of the
// one before it, or from the default map. It's worked out once for all ranks.
func (c *client) differenceOf(order experts.Command) *peerrpc.MapDifference {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := namedMap{epoch: order.Epoch, fence: order.Fence, version: order.Version, lists: order.Map}
	if c.told.sameHolder(next) && c.told.version == next.version {
		return c.difference
	}
	base := c.told
	if !base.sameHolder(next) {
		base = namedMap{lists: defaultMap(len(order.Map), len(order.Map[0]), expertsOf(order.Map))}
	}
	c.told, c.difference = next, difference(base, order.Map)
	return c.difference
}
