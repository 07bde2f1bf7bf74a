package rebalance

import "slices"

// Repack builds a greedy placement from scratch: it gives replicas to the experts with
// the most work per replica, then places the heaviest replicas first, each at the least
// busy rank with a free slot. It is the baseline that ignores the cost of moves.
func Repack(shape Shape, popularity Popularity, speeds []float64) *Placement {
	p := &Placement{Shape: shape, slots: make([][]int32, shape.Layers)}
	for n := range p.slots {
		p.slots[n] = repackLayer(shape, popularity[n], speeds)
	}
	return p
}

type replica struct {
	expert int32
	work   float64
}

func repackLayer(shape Shape, popularity, speeds []float64) []int32 {
	replicas := replicate(shape, popularity)
	slices.SortStableFunc(replicas, func(a, b replica) int {
		switch {
		case a.work > b.work:
			return -1
		case a.work < b.work:
			return 1
		default:
			return 0
		}
	})
	slots := make([]int32, shape.Ranks*shape.Slots)
	used := make([]int, shape.Ranks)
	times := make([]float64, shape.Ranks)
	for _, r := range replicas {
		rank := leastBusy(shape, slots, used, times, r.expert)
		slots[rank*shape.Slots+used[rank]] = r.expert
		used[rank]++
		times[rank] += r.work / speeds[rank]
	}
	p := &Placement{Shape: shape, slots: [][]int32{slots}}
	p.repairDuplicates(0)
	return slots
}

// replicate assigns all slots to the experts, at least one to each.
func replicate(shape Shape, popularity []float64) []replica {
	counts := make([]int, shape.Experts)
	for expert := range counts {
		counts[expert] = 1
	}
	for range shape.Ranks*shape.Slots - shape.Experts {
		heaviest := -1
		for expert, count := range counts {
			if count < shape.Ranks && (heaviest < 0 || popularity[expert]/float64(count) > popularity[heaviest]/float64(counts[heaviest])) {
				heaviest = expert
			}
		}
		counts[heaviest]++
	}
	var replicas []replica
	for expert, count := range counts {
		for range count {
			replicas = append(replicas, replica{expert: int32(expert), work: popularity[expert] / float64(count)})
		}
	}
	return replicas
}

func leastBusy(shape Shape, slots []int32, used []int, times []float64, expert int32) int {
	best, bestAny := -1, -1
	for rank := range shape.Ranks {
		if used[rank] == shape.Slots {
			continue
		}
		if bestAny < 0 || times[rank] < times[bestAny] {
			bestAny = rank
		}
		held := slots[rank*shape.Slots : rank*shape.Slots+used[rank]]
		if !contains(held, expert) && (best < 0 || times[rank] < times[best]) {
			best = rank
		}
	}
	if best < 0 {
		return bestAny
	}
	return best
}
