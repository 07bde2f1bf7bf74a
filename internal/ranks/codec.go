package ranks

import (
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
)

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
		Group: r.Group, Epoch: r.Epoch, Rank: int32(r.Rank), Size: int32(r.Size), Open: r.Open,
		Pass: r.Pass, Map: r.Map, Prepared: r.Prepared, Armed: r.Armed, Held: r.Held,
		Running: int32(r.Running), Pace: r.Slowdown,
	}
}

func decodeState(s *peerrpc.RankState) experts.RankReport {
	return experts.RankReport{
		Group: s.GetGroup(), Epoch: s.GetEpoch(), Rank: int(s.GetRank()), Size: int(s.GetSize()), Open: s.GetOpen(),
		Pass: s.GetPass(), Map: s.GetMap(), Prepared: s.GetPrepared(),
		Armed: s.GetArmed(), Held: s.GetHeld(), Running: int(s.GetRunning()), Slowdown: s.GetPace(),
	}
}

// encodeCommand encodes a command without its map.
func encodeCommand(c experts.Command) *peerrpc.CommandRequest {
	return &peerrpc.CommandRequest{
		Fence: c.Fence, Operation: int32(c.Operation), Epoch: c.Epoch, Version: c.Version, Pass: c.Pass,
	}
}

func encodeMap(lists [][][]int) *peerrpc.ExpertMap {
	encoded := &peerrpc.ExpertMap{Sets: int32(len(lists)), Ranks: int32(len(lists[0]))}
	for _, layer := range lists {
		for _, rank := range layer {
			encoded.Sizes = append(encoded.Sizes, int32(len(rank)))
			for _, expert := range rank {
				encoded.Experts = append(encoded.Experts, int32(expert))
			}
		}
	}
	return encoded
}

// decodeMap decodes a map. It stops at inconsistent sizes; the engine refuses an
// incomplete map.
func decodeMap(encoded *peerrpc.ExpertMap) [][][]int {
	sizes, experts := encoded.GetSizes(), encoded.GetExperts()
	ranks := int(encoded.GetRanks())
	var lists [][][]int
	for range encoded.GetSets() {
		layer := make([][]int, 0, ranks)
		for range ranks {
			if len(sizes) == 0 || sizes[0] < 0 || int(sizes[0]) > len(experts) {
				return lists
			}
			rank := make([]int, sizes[0])
			for i := range rank {
				rank[i] = int(experts[i])
			}
			layer = append(layer, rank)
			experts, sizes = experts[sizes[0]:], sizes[1:]
		}
		lists = append(lists, layer)
	}
	return lists
}
