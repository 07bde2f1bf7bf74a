package experts

import (
	"math"
	"time"

	"github.com/crowbridge/crowbridge/internal/rebalance"
)

// Demand estimates the current popularity of each expert from the counts of all
// ranks. Add collects the counts of one sample; EndSample merges them into the
// estimate. Not safe for concurrent use.
//
// Demand changes in two ways. It drifts, with noise from single prompts, which a
// moving average smooths. And it jumps when the mix of requests changes from one
// pass to the next. An average across a jump fits neither side, and a map planned from
// it has to be planned again. So a sample whose distance from the estimate is unusually
// large replaces the estimate.
type Demand struct {
	shape     rebalance.Shape
	halfLife  time.Duration
	smoothed  rebalance.Popularity
	updatedAt time.Time
	weight    float64
	// fresh and freshSelections hold the counts of the current sample.
	fresh           rebalance.Popularity
	freshSelections float64
	// baseline is the moving average of the distance of samples from the estimate.
	baseline float64
	// unsettled is set from a jump until the next sample that is large enough to be
	// compared: the one that showed the jump may contain passes from before it.
	unsettled bool
	jumpedAt  time.Time
}

const (
	// minSampleSelections is the number of selections that a sample needs to be
	// compared. Smaller ones differ too much by chance.
	minSampleSelections = 2000
	// A sample whose distance exceeds both minJumpDistance and jumpFactor times the
	// baseline is a jump.
	minJumpDistance = 0.25
	jumpFactor      = 2.0
	// initialBaseline and baselineWeight are the initial value and the weight of the
	// newest sample of the baseline.
	initialBaseline = 0.1
	baselineWeight  = 0.1
)

// NewDemand returns an estimate in which the weight of a sample halves every halfLife.
func NewDemand(shape rebalance.Shape, halfLife time.Duration) *Demand {
	return &Demand{
		shape: shape, halfLife: halfLife, baseline: initialBaseline,
		smoothed: rebalance.NewPopularity(shape), fresh: rebalance.NewPopularity(shape),
	}
}

// Add adds selections since the previous sample to the current one. They are ordered
// by layer, then by expert, beginning at index offset.
func (d *Demand) Add(offset int, selections []float64) {
	if offset < 0 || offset+len(selections) > d.shape.Layers*d.shape.Experts {
		return
	}
	for i, n := range selections {
		index := offset + i
		d.fresh[index/d.shape.Experts][index%d.shape.Experts] += n
		d.freshSelections += n
	}
}

// Sample summarizes the selections of all ranks in one observation.
type Sample struct {
	// Selections is the number of selections. Distance and Jumped are set only if the
	// sample was compared with the estimate.
	Selections float64
	// Distance is the distance of the sample from the estimate, from 0 to 1: the
	// fraction of the selections that differ. Baseline is the usual distance.
	Distance, Baseline float64
	// Jumped reports whether the sample replaces the estimate.
	Jumped bool
}

// EndSample merges the current sample into the estimate.
func (d *Demand) EndSample(now time.Time) Sample {
	sample := Sample{Selections: d.freshSelections, Baseline: d.baseline}
	if sample.Selections == 0 {
		return sample
	}
	d.decay(now)
	if d.weight > 0 && sample.Selections >= minSampleSelections {
		d.detectJump(&sample)
	}
	d.merge()
	return sample
}

// detectJump compares the sample with the estimate. It resets the estimate at a jump,
// and again at the next sample.
func (d *Demand) detectJump(sample *Sample) {
	if d.unsettled {
		d.reset()
		d.unsettled = false
		return
	}
	sample.Distance = d.distance()
	sample.Jumped = sample.Distance > max(minJumpDistance, jumpFactor*d.baseline)
	d.baseline += baselineWeight * (sample.Distance - d.baseline)
	if sample.Jumped {
		d.reset()
		d.unsettled = true
		d.jumpedAt = d.updatedAt
	}
}

// distance returns the total variation distance of the sample from the estimate,
// averaged over the layers.
func (d *Demand) distance() float64 {
	total, layers := 0.0, 0
	for layer, fresh := range d.fresh {
		freshTotal, knownTotal := d.fresh.Total(layer), d.smoothed.Total(layer)
		if freshTotal == 0 || knownTotal == 0 {
			continue
		}
		layers++
		for expert, n := range fresh {
			total += math.Abs(n/freshTotal-d.smoothed[layer][expert]/knownTotal) / 2
		}
	}
	return total / float64(max(layers, 1))
}

func (d *Demand) reset() {
	d.weight = 0
	for _, layer := range d.smoothed {
		clear(layer)
	}
}

func (d *Demand) merge() {
	d.weight += d.freshSelections
	d.freshSelections = 0
	for layer, fresh := range d.fresh {
		for expert, n := range fresh {
			d.smoothed[layer][expert] += n
		}
		clear(fresh)
	}
}

// maxDecayPeriod bounds the decay per sample, so that the estimate survives a pause
// of the group.
const maxDecayPeriod = time.Second

func (d *Demand) decay(now time.Time) {
	elapsed := min(now.Sub(d.updatedAt), maxDecayPeriod)
	d.updatedAt = now
	if elapsed <= 0 {
		return
	}
	keep := math.Exp2(-elapsed.Seconds() / d.halfLife.Seconds())
	d.weight *= keep
	for _, layer := range d.smoothed {
		for expert := range layer {
			layer[expert] *= keep
		}
	}
}

// Weight returns the number of selections that the estimate is based on.
func (d *Demand) Weight() float64 { return d.weight }

// JumpedAt returns the time of the last jump, or the zero time.
func (d *Demand) JumpedAt() time.Time { return d.jumpedAt }

// Settled reports whether the estimate contains samples from only one side of the
// last jump.
func (d *Demand) Settled() bool { return !d.unsettled }

// Popularity returns the estimate, with the same total for all layers: each token
// passes all of them, but their counts are queried at different times.
func (d *Demand) Popularity() rebalance.Popularity {
	estimate := rebalance.NewPopularity(d.shape)
	perLayer := d.weight / float64(d.shape.Layers)
	for layer, counts := range d.smoothed {
		total := d.smoothed.Total(layer)
		if total == 0 {
			continue
		}
		for expert, n := range counts {
			estimate[layer][expert] = n * perLayer / total
		}
	}
	return estimate
}
