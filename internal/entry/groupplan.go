package entry

import (
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/sirupsen/logrus"
)

// plan asks for a switch when moves pay.
func (d *driver) plan(counts map[int][]int64, spec *config.Group) {
	d.smoother.Observe(0, d.popularity(counts, spec))
	speeds := make([]float64, spec.Ranks)
	for rank := range speeds {
		speeds[rank] = 1
	}
	limit := spec.MaxMoves
	if limit == 0 {
		limit = defaultMaxMoves
	}
	moves := d.planner.Plan(d.placement, d.smoother.Estimate(0), speeds, rebalance.Options{
		SkewWeight: spec.SkewWeight, CostWeight: spec.CostWeight, MaxMoves: limit,
	})
	if len(moves) == 0 {
		return
	}
	next := d.placement.Clone()
	next.Apply(moves)
	version, ok := d.holder.Want()
	if !ok {
		return
	}
	d.staged, d.version, d.moves = next, version, len(moves)
	d.logger.WithFields(logrus.Fields{"moves": len(moves), "version": version}).Info("switching the expert map")
}

// popularity returns the work per expert since the last plan, over all ranks.
func (d *driver) popularity(counts map[int][]int64, spec *config.Group) rebalance.Popularity {
	total := rebalance.NewPopularity(rebalance.Shape{Experts: spec.Experts, Layers: spec.Layers})
	for rank, now := range counts {
		before := d.counted[rank]
		for i, count := range now {
			if i < len(before) && before[i] <= count {
				count -= before[i]
			}
			if layer := i / spec.Experts; layer < spec.Layers {
				total[layer][i%spec.Experts] += float64(count)
			}
		}
		d.counted[rank] = now
	}
	return total
}
