package hosted

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/membership"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/pkg/errors"
)

// rankService answers holders for one agent. It implements peerrpc.Ranks.
type rankService struct {
	agent *experts.Agent
}

// Observe implements peerrpc.Ranks.
func (s *rankService) Observe(ctx context.Context, r *peerrpc.ObserveRequest) (*peerrpc.ObserveReply, error) {
	seen, err := s.agent.Observe(ctx, r.GetFence(), experts.Question{Counts: r.GetCounts(), Lists: r.GetLists()})
	reply := &peerrpc.ObserveReply{Fence: seen.Fence, State: encodeState(seen.Report)}
	if err != nil {
		reply.Failure = err.Error()
		return reply, nil
	}
	for _, n := range seen.Counts.Chosen {
		reply.Chosen = append(reply.Chosen, uint32(n))
	}
	for _, set := range seen.Experts {
		reply.Experts = append(reply.Experts, encodeExperts(set))
	}
	return reply, nil
}

// Command implements peerrpc.Ranks.
func (s *rankService) Command(ctx context.Context, r *peerrpc.CommandRequest) (*peerrpc.CommandReply, error) {
	verdict, err := s.agent.Command(ctx, decodeOrder(r))
	reply := &peerrpc.CommandReply{Verdict: int32(verdict)}
	if err != nil {
		reply.Detail = err.Error()
	}
	return reply, nil
}

func encodeExperts(list []int) *peerrpc.Experts {
	encoded := &peerrpc.Experts{Experts: make([]int32, len(list))}
	for i, expert := range list {
		encoded.Experts[i] = int32(expert)
	}
	return encoded
}

func decodeExperts(encoded *peerrpc.Experts) []int {
	list := make([]int, len(encoded.GetExperts()))
	for i, expert := range encoded.GetExperts() {
		list[i] = int(expert)
	}
	return list
}

func encodeState(r experts.RankReport) *peerrpc.RankState {
	return &peerrpc.RankState{
		Group: r.Group, Epoch: r.Epoch, Rank: int32(r.Rank), Size: int32(r.Size), Open: r.Open, Sequence: r.Sequence,
		Pass: r.Pass, Map: r.Map, Prepared: r.Prepared, Armed: r.Armed, Held: r.Held,
		Running: int32(r.Running), Pace: r.Pace,
	}
}

func decodeState(s *peerrpc.RankState) experts.RankReport {
	return experts.RankReport{
		Group: s.GetGroup(), Epoch: s.GetEpoch(), Rank: int(s.GetRank()), Size: int(s.GetSize()), Open: s.GetOpen(),
		Sequence: s.GetSequence(), Pass: s.GetPass(), Map: s.GetMap(), Prepared: s.GetPrepared(),
		Armed: s.GetArmed(), Held: s.GetHeld(), Running: int(s.GetRunning()), Pace: s.GetPace(),
	}
}

func encodeOrder(self string, o experts.Order) *peerrpc.CommandRequest {
	r := &peerrpc.CommandRequest{
		Holder: self, Fence: o.Fence, Operation: int32(o.Operation), Epoch: o.Epoch, Version: o.Version, Pass: o.Pass,
	}
	if len(o.Map) > 0 {
		r.Map = encodeMap(o.Map)
	}
	return r
}

func encodeMap(lists [][][]int) *peerrpc.ExpertMap {
	encoded := &peerrpc.ExpertMap{Sets: int32(len(lists)), Ranks: int32(len(lists[0]))}
	for _, set := range lists {
		for _, rank := range set {
			encoded.Sizes = append(encoded.Sizes, int32(len(rank)))
			for _, expert := range rank {
				encoded.Experts = append(encoded.Experts, int32(expert))
			}
		}
	}
	return encoded
}

// decodeMap reads what encodeMap wrote; what doesn't fit together is left out,
// and the engine refuses the rest.
func decodeMap(encoded *peerrpc.ExpertMap) [][][]int {
	sizes, experts := encoded.GetSizes(), encoded.GetExperts()
	ranks := int(encoded.GetRanks())
	var lists [][][]int
	for range encoded.GetSets() {
		set := make([][]int, 0, ranks)
		for range ranks {
			if len(sizes) == 0 || sizes[0] < 0 || int(sizes[0]) > len(experts) {
				return lists
			}
			rank := make([]int, sizes[0])
			for i := range rank {
				rank[i] = int(experts[i])
			}
			set = append(set, rank)
			experts, sizes = experts[sizes[0]:], sizes[1:]
		}
		lists = append(lists, set)
	}
	return lists
}

func decodeOrder(r *peerrpc.CommandRequest) experts.Order {
	o := experts.Order{
		Operation: experts.Operation(r.GetOperation()), Epoch: r.GetEpoch(), Version: r.GetVersion(),
		Pass: r.GetPass(), Fence: r.GetFence(),
	}
	if r.GetMap() != nil {
		o.Map = decodeMap(r.GetMap())
	}
	return o
}

// rankClient reaches the agents of a group's ranks. It implements experts.Ranks.
type rankClient struct {
	self    string
	group   string
	port    string
	members *membership.Membership
	client  *http.Client
	// local is this process's own agent, at rank ownRank.
	local   *experts.Agent
	ownRank int
	engine  experts.Engine
	// room is how many bytes of counts a second may come over the VM's link.
	room float64

	mu sync.Mutex // a leaf
	// silent are the ranks whose agents didn't answer, and when they are asked again.
	silent map[int]time.Time
}

// agentRetry is how long a silent agent is left alone: its engine is asked
// directly meanwhile, which costs more.
const agentRetry = time.Second

// remoteTry bounds one try of an order to an engine on another VM: some round
// trips between zones.
const remoteTry = 20 * time.Millisecond

// agentPart is the part of a call's time that an agent may take, so that time is
// left to ask its engine.
const agentPart = 0.6

// patience is how long a call to an agent may take.
func (c *rankClient) patience(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return controlTimeout
	}
	return time.Duration(agentPart * float64(time.Until(deadline)))
}

// Room implements experts.Ranks.
func (c *rankClient) Room() float64 { return c.room }

func (c *rankClient) isSilent(rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.silent[rank])
}

func (c *rankClient) markSilent(rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[rank] = time.Now().Add(agentRetry)
}

// server returns the registered server of a rank, of the newest epoch.
func (c *rankClient) server(rank int) (*fleet.Server, error) {
	servers := c.members.Servers()
	if servers == nil {
		return nil, errors.New("no servers known yet")
	}
	var found *fleet.Server
	for _, server := range servers.All() {
		r := server.Rank
		if r == nil || r.Group != c.group || r.Rank != rank {
			continue
		}
		if found == nil || r.Epoch > found.Rank.Epoch {
			found = server
		}
	}
	if found == nil {
		return nil, errors.Errorf("no server of group %s has rank %d", c.group, rank)
	}
	return found, nil
}

func (c *rankClient) agent(rank int) (peerrpc.Ranks, *fleet.Server, error) {
	server, err := c.server(rank)
	if err != nil {
		return nil, nil, err
	}
	address, err := netip.ParseAddrPort(server.Address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "server %s", server.ID)
	}
	return peerrpc.NewRanksProtobufClient("http://"+joinPort(address.Addr().String(), c.port), c.client), server, nil
}

// Observe implements experts.Ranks. When the rank's agent can't be reached, its
// engine is asked for its state alone.
func (c *rankClient) Observe(ctx context.Context, rank int, fence int64, ask experts.Question) (experts.Observation, error) {
	if rank == c.ownRank {
		return c.local.Observe(ctx, fence, ask)
	}
	agent, server, err := c.agent(rank)
	if err != nil {
		return experts.Observation{}, err
	}
	if !c.isSilent(rank) {
		seen, err := c.observeAgent(ctx, agent, server, fence, ask)
		if err == nil {
			return seen, nil
		}
		c.markSilent(rank)
	}
	report, err := c.engine.Report(ctx, server.Address)
	seen := experts.Observation{Report: report, Fence: fence}
	if err == nil && ask.Lists {
		seen.Experts, err = c.engine.Experts(ctx, server.Address)
	}
	return seen, err
}

func (c *rankClient) observeAgent(ctx context.Context, agent peerrpc.Ranks, server *fleet.Server, fence int64, ask experts.Question) (experts.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, c.patience(ctx))
	defer cancel()
	reply, err := agent.Observe(ctx, &peerrpc.ObserveRequest{Holder: c.self, Fence: fence, Lists: ask.Lists, Counts: ask.Counts})
	if err != nil {
		return experts.Observation{}, errors.Wrapf(err, "agent of server %s", server.ID)
	}
	if reply.GetFailure() != "" {
		return experts.Observation{}, errors.Errorf("agent of server %s: %s", server.ID, reply.GetFailure())
	}
	seen := experts.Observation{
		Report: decodeState(reply.GetState()), Fence: reply.GetFence(),
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
// order goes straight to the engine; engines refuse old fences themselves.
func (c *rankClient) Command(ctx context.Context, rank int, order experts.Order, direct bool) (experts.Verdict, error) {
	if rank == c.ownRank {
		return c.local.Command(ctx, order)
	}
	agent, server, err := c.agent(rank)
	if err != nil {
		return experts.Unanswered, err
	}
	if direct || c.isSilent(rank) {
		return experts.Repeat(ctx, remoteTry, func(ctx context.Context) (experts.Verdict, error) {
			return c.engine.Order(ctx, server.Address, order)
		})
	}
	calling, cancel := context.WithTimeout(ctx, c.patience(ctx))
	defer cancel()
	reply, err := agent.Command(calling, encodeOrder(c.self, order))
	if err != nil {
		return experts.Unanswered, errors.Wrapf(err, "agent of server %s", server.ID)
	}
	if reply.GetDetail() != "" {
		return experts.Verdict(reply.GetVerdict()), errors.New(reply.GetDetail())
	}
	return experts.Verdict(reply.GetVerdict()), nil
}
