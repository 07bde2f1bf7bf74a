package ranks

import (
	"context"
	"fmt"
	"sync"

	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
)

// Service serves rank calls for one agent. It implements peerrpc.Ranks.
type Service struct {
	agent *experts.Agent

	mu sync.Mutex // leaf lock
	// baseMap is the newest map received, the base of the next difference.
	baseMap versionedMap
}

// NewService returns the service of an agent.
func NewService(agent *experts.Agent) *Service { return &Service{agent: agent} }

// Observe implements peerrpc.Ranks.
func (s *Service) Observe(ctx context.Context, r *peerrpc.ObserveRequest) (*peerrpc.ObserveReply, error) {
	observation, err := s.agent.Observe(ctx, r.GetFence(), experts.Query{
		From: int(r.GetCountsFrom()), To: int(r.GetCountsTo()), Experts: r.GetLists(),
	})
	reply := &peerrpc.ObserveReply{Fence: observation.Fence, State: encodeState(observation.Report)}
	if err != nil {
		reply.Failure = err.Error()
		return reply, nil
	}
	for _, n := range observation.Counts.Selections {
		reply.Chosen = append(reply.Chosen, uint32(n))
	}
	for _, layer := range observation.Experts {
		reply.Experts = append(reply.Experts, encodeExperts(layer))
	}
	return reply, nil
}

// Command implements peerrpc.Ranks.
func (s *Service) Command(ctx context.Context, r *peerrpc.CommandRequest) (*peerrpc.CommandReply, error) {
	if own := s.agent.LastReport(); own.Group != r.GetGroup() || own.Rank != int(r.GetRank()) {
		return &peerrpc.CommandReply{
			Verdict: int32(experts.Refused),
			Detail:  fmt.Sprintf("command is for rank %d of group %q, but this is rank %d of group %q", r.GetRank(), r.GetGroup(), own.Rank, own.Group),
		}, nil
	}
	command, known := s.decodeCommand(r)
	if !known {
		return &peerrpc.CommandReply{BaseUnknown: true}, nil
	}
	result, err := s.agent.Execute(ctx, command)
	reply := &peerrpc.CommandReply{Verdict: int32(result)}
	if err != nil {
		reply.Detail = err.Error()
	}
	return reply, nil
}

// decodeCommand decodes a command. It returns false if the map is a difference from
// an unknown base.
func (s *Service) decodeCommand(r *peerrpc.CommandRequest) (experts.Command, bool) {
	command := experts.Command{
		Operation: experts.Operation(r.GetOperation()), Epoch: r.GetEpoch(), Version: r.GetVersion(),
		Pass: r.GetPass(), Fence: r.GetFence(),
	}
	if r.GetMap() == nil && r.GetDifference() == nil {
		return command, true
	}
	target := versionedMap{epoch: command.Epoch, fence: command.Fence, version: command.Version}
	s.mu.Lock()
	defer s.mu.Unlock()
	lists, known := s.resolveMap(target, r)
	if !known {
		return experts.Command{}, false
	}
	command.Map, target.lists = lists, lists
	s.baseMap = target
	return command, true
}

// resolveMap returns the map of a request, to be identified by target. The caller holds mu.
func (s *Service) resolveMap(target versionedMap, r *peerrpc.CommandRequest) ([][][]int, bool) {
	d := r.GetDifference()
	switch {
	case r.GetMap() != nil:
		return decodeMap(r.GetMap()), true
	case s.baseMap.sameHolder(target) && s.baseMap.version == target.version:
		return s.baseMap.lists, true // repeated command
	case !validDifference(d):
		return nil, false
	case d.GetBase() == 0:
		return applyDifference(defaultMap(int(d.GetSets()), int(d.GetRanks()), int(d.GetExperts())), d)
	case s.baseMap.sameHolder(target) && s.baseMap.version == d.GetBase():
		return applyDifference(s.baseMap.lists, d)
	default:
		return nil, false
	}
}
