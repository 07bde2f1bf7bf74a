package ranks

import (
	"context"
	"fmt"
	"sync"

	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
)

// Service answers holders for one agent. It implements peerrpc.Ranks.
type Service struct {
	agent *experts.Agent

	mu sync.Mutex // a leaf
	// known is the newest map that a holder has told, the base of the next difference.
	known namedMap
}

// NewService returns the service of an agent.
func NewService(agent *experts.Agent) *Service { return &Service{agent: agent} }

// Observe implements peerrpc.Ranks.
func (s *Service) Observe(ctx context.Context, r *peerrpc.ObserveRequest) (*peerrpc.ObserveReply, error) {
	seen, err := s.agent.Observe(ctx, r.GetFence(), experts.Query{
		From: int(r.GetCountsFrom()), To: int(r.GetCountsTo()), Experts: r.GetLists(),
	})
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
func (s *Service) Command(ctx context.Context, r *peerrpc.CommandRequest) (*peerrpc.CommandReply, error) {
	if own := s.agent.LastReport(); own.Group != r.GetGroup() || own.Rank != int(r.GetRank()) {
		return &peerrpc.CommandReply{
			Verdict: int32(experts.Refused),
			Detail:  fmt.Sprintf("meant for rank %d of group %q; this is rank %d of %q", r.GetRank(), r.GetGroup(), own.Rank, own.Group),
		}, nil
	}
	order, known := s.decodeOrder(r)
	if !known {
		return &peerrpc.CommandReply{BaseUnknown: true}, nil
	}
	verdict, err := s.agent.Execute(ctx, order)
	reply := &peerrpc.CommandReply{Verdict: int32(verdict)}
	if err != nil {
		reply.Detail = err.Error()
	}
	return reply, nil
}

// decodeOrder reads an order. It returns false when its map is the difference to
// one that isn't known here.
func (s *Service) decodeOrder(r *peerrpc.CommandRequest) (experts.Command, bool) {
	order := experts.Command{
		Operation: experts.Operation(r.GetOperation()), Epoch: r.GetEpoch(), Version: r.GetVersion(),
		Pass: r.GetPass(), Fence: r.GetFence(),
	}
	if r.GetMap() == nil && r.GetDifference() == nil {
		return order, true
	}
	told := namedMap{epoch: order.Epoch, fence: order.Fence, version: order.Version}
	s.mu.Lock()
	defer s.mu.Unlock()
	lists, known := s.mapOf(told, r)
	if !known {
		return experts.Command{}, false
	}
	order.Map, told.lists = lists, lists
	s.known = told
	return order, true
}

// mapOf returns the map that an order tells under a name. The caller holds mu.
func (s *Service) mapOf(told namedMap, r *peerrpc.CommandRequest) ([][][]int, bool) {
	d := r.GetDifference()
	switch {
	case r.GetMap() != nil:
		return decodeMap(r.GetMap()), true
	case s.known.sameHolder(told) && s.known.version == told.version:
		return s.known.lists, true // the same order again
	case !plausible(d):
		return nil, false
	case d.GetBase() == 0:
		return apply(defaultMap(int(d.GetSets()), int(d.GetRanks()), int(d.GetExperts())), d)
	case s.known.sameHolder(told) && s.known.version == d.GetBase():
		return apply(s.known.lists, d)
	default:
		return nil, false
	}
}
