package ranks

import (
	"context"

	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
)

// Service answers holders for one agent. It implements peerrpc.Ranks.
type Service struct {
	Agent *experts.Agent
}

// Observe implements peerrpc.Ranks.
func (s *Service) Observe(ctx context.Context, r *peerrpc.ObserveRequest) (*peerrpc.ObserveReply, error) {
	seen, err := s.Agent.Observe(ctx, r.GetFence(), experts.Question{Counts: r.GetCounts(), Lists: r.GetLists()})
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
	verdict, err := s.Agent.Command(ctx, decodeOrder(r))
	reply := &peerrpc.CommandReply{Verdict: int32(verdict)}
	if err != nil {
		reply.Detail = err.Error()
	}
	return reply, nil
}
