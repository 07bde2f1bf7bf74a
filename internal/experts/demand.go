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

// Observe takes in what a rank's requests chose since the last question.
func (d *Demand) Observe(now time.Time, chosen []float64) {
	if len(chosen) != d.shape.Layers*d.shape.Experts {
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
		d.smoothed[i/d.shape.Experts][i%d.shape.Experts] += n
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

// Popularity returns the estimate. It is valid until the next Observe.
func (d *Demand) Popularity() rebalance.Popularity { return d.smoothed }
