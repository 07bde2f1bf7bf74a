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
	smoothed rebalance.Popularity
	at       time.Time
	seen     float64
}

// NewDemand returns an estimate that forgets half of what it knows in a time.
func NewDemand(shape rebalance.Shape, halfLife time.Duration) *Demand {
	return &Demand{shape: shape, halfLife: halfLife, smoothed: rebalance.NewPopularity(shape)}
}

// Observe takes in what a rank's requests chose since the last look: counts set
// after set, from a place on. Ranks may tell a part of the sets at a time.
func (d *Demand) Observe(now time.Time, from int, chosen []float64) {
	if from < 0 || from+len(chosen) > d.shape.Layers*d.shape.Experts {
		return
	}
	total := 0.0
	for _, n := range chosen {
		total += n
	}
	if total == 0 {
		return
	}
	d.decay(now)
	d.seen += total
	for i, n := range chosen {
		at := from + i
		d.smoothed[at/d.shape.Experts][at%d.shape.Experts] += n
	}
}

// longestDecay bounds what one pause forgets: a group that was stopped goes on
// with what it knew of the demand.
const longestDecay = time.Second

func (d *Demand) decay(now time.Time) {
	since := min(now.Sub(d.at), longestDecay)
	d.at = now
	if since <= 0 {
		return
	}
	keep := math.Exp2(-since.Seconds() / d.halfLife.Seconds())
	d.seen *= keep
	for _, set := range d.smoothed {
		for expert := range set {
			set[expert] *= keep
		}
	}
}

// Weight is how many choices the estimate rests on.
func (d *Demand) Weight() float64 { return d.seen }

// Popularity returns the estimate. All sets have the same total, as they have in
// truth: each token passes all sets, but the counts of some may be newer.
func (d *Demand) Popularity() rebalance.Popularity {
	estimate := rebalance.NewPopularity(d.shape)
	even := d.seen / float64(d.shape.Layers)
	for set, counts := range d.smoothed {
		total := 0.0
		for _, n := range counts {
			total += n
		}
		if total == 0 {
			continue
		}
		for expert, n := range counts {
			estimate[set][expert] = n * even / total
		}
	}
	return estimate
}
