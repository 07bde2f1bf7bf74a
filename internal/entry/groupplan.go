package entry

import (
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/sirupsen/logrus"
)

// watchSpeeds learns from the ranks' busy times which are stragglers, and tells
// whether the group has suddenly become slower than the last plan left it.
func (d *driver) watchSpeeds(answers []answered) bool {
	busy := make([]float64, d.shape.Ranks)
	total, slowest := 0.0, 0.0
	for _, a := range answers {
		busy[a.addressed.Rank] = float64(a.busyUs)
		total += float64(a.busyUs)
		slowest = max(slowest, float64(a.busyUs))
	}
	if total == 0 {
		return false // the engines don't tell
	}
	d.stragglers.Observe(busy, d.placement.Work(d.smoother.Estimate(0)))
	return d.trigger.Due(slowest * float64(d.shape.Ranks) / total)
}

// plan asks for a switch when moves pay.
func (d *driver) plan(answers []answered, spec *config.Group) {
	d.smoother.Observe(0, d.popularity(answers, spec))
	estimate, speeds := d.smoother.Estimate(0), d.stragglers.Speeds()
	limit := spec.MaxMoves
	if limit == 0 {
		limit = defaultMaxMoves
	}
	moves := d.planner.Plan(d.placement, estimate, speeds, rebalance.Options{
		SkewWeight: spec.SkewWeight, CostWeight: spec.CostWeight, MaxMoves: limit,
	})
	next := d.placement.Clone()
	next.Apply(moves)
	d.trigger.Planned(next.Skew(estimate, speeds))
	if len(moves) == 0 {
		return
	}
	version, ok := d.holder.Want()
	if !ok {
		return
	}
	d.staged, d.version, d.moves = next, version, len(moves)
	d.logger.WithFields(logrus.Fields{"moves": len(moves), "version": version}).Info("switching the expert map")
}

// popularity returns the work per expert since the last plan, over all ranks.
func (d *driver) popularity(answers []answered, spec *config.Group) rebalance.Popularity {
	total := rebalance.NewPopularity(rebalance.Shape{Experts: spec.Experts, Layers: spec.Layers})
	for _, a := range answers {
		rank, now := a.addressed.Rank, a.popularity
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
