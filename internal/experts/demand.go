package experts

import (
	"math"
	"time"

	"github.com/crowbridge/crowbridge/internal/rebalance"
)

// Demand estimates how often each expert is chosen at present, from the counts
// of all ranks. Not safe for concurrent use.
type Demand struct {
	shape    rebalance.Shape
	halfLife time.Duration
	ranks    []rankCounts
	smoothed rebalance.Popularity
	at       time.Time
	epoch    int64
	seen     float64
}

type rankCounts struct {
	epoch  int64
	chosen []float64
}

// NewDemand returns an estimate that forgets half of what it knows in a time.
func NewDemand(shape rebalance.Shape, halfLife time.Duration) *Demand {
	return &Demand{
		shape: shape, halfLife: halfLife,
		ranks: make([]rankCounts, shape.Ranks), smoothed: rebalance.NewPopularity(shape),
	}
}

// Observe takes in the counts that a rank has made since its start.
func (d *Demand) Observe(now time.Time, rank int, counts Counts) {
	if rank < 0 || rank >= len(d.ranks) || len(counts.Chosen) != d.shape.Layers*d.shape.Experts {
		return
	}
	d.decay(now)
	last := d.ranks[rank]
	d.ranks[rank] = rankCounts{epoch: counts.Epoch, chosen: counts.Chosen}
	if last.chosen == nil || last.epoch != counts.Epoch {
		return
	}
	for i, n := range counts.Chosen {
		// A rank that started again counts from 0.
		more := n - last.chosen[i]
		if more < 0 {
			return
		}
		d.smoothed[i/d.shape.Experts][i%d.shape.Experts] += more
		d.seen += more
	}
}

func (d *Demand) decay(now time.Time) {
	if d.at.IsZero() || !now.After(d.at) {
		d.at = now
		return
	}
	keep := math.Exp2(-now.Sub(d.at).Seconds() / d.halfLife.Seconds())
	d.at = now
	d.seen *= keep
	for _, set := range d.smoothed {
		for expert := range set {
			set[expert] *= keep
		}
	}
}

// Weight is how many choices the estimate rests on.
func (d *Demand) Weight() float64 { return d.seen }

// Popularity returns the estimate. It is valid until the next Observe.
func (d *Demand) Popularity() rebalance.Popularity { return d.smoothed }
