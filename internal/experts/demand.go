package experts

import (
	"math"
	"time"

	"github.com/crowbridge/crowbridge/internal/rebalance"
)

// Demand estimates how often each expert is chosen at present, from the counts
// of all ranks. Counts of one look at the ranks come by Observe and are taken in
// by EndLook. Not safe for concurrent use.
//
// Demand moves in two ways. It drifts, and the prompts of a moment stand out by some
// per cent of the choices: an average over half a second evens that out. And it
// jumps: other experts are liked from one pass to the next. An average across a
// jump fits neither side, and a map that is planned by it has to be planned again. So
// a look that differs from the estimate by much more than looks usually do
// replaces it.
type Demand struct {
	shape     rebalance.Shape
	halfLife  time.Duration
	smoothed  rebalance.Popularity
	updatedAt time.Time
	weight    float64
	// fresh is what the present look has brought, by set.
	fresh        rebalance.Popularity
	freshChoices float64
	// usual is the smoothed distance of looks from the estimate.
	baseline float64
	// unsettled is set after a jump until the next look: that in which the jump showed
	// had passes of both sides.
	unsettled bool
	// jumpedAt is when the last jump was seen.
	jumpedAt time.Time
}

const (
	// leastLook is how many choices a look must have brought to be compared: the
	// distance between two samples of 2,000 choices among 96 experts is 0.12.
	minSampleChoices = 2000
	// leastJump and jumpOverUsual bound the distance from which on demand has jumped.
	// In a group of 12 ranks with 45 streams a second, looks differed by 0.04 to 0.21, and
	// by 0.35 to 0.56 after half to four fifths of what is liked had changed.
	minJumpDistance = 0.25
	jumpFactor      = 2.0
	// usualAtFirst and usualWeight are where the smoothed distance begins and the
	// weight of the newest: some ten looks make the estimate.
	initialBaseline = 0.1
	baselineWeight  = 0.1
)

// NewDemand returns an estimate that forgets half of what it knows in a time.
func NewDemand(shape rebalance.Shape, halfLife time.Duration) *Demand {
	return &Demand{
		shape: shape, halfLife: halfLife, baseline: initialBaseline,
		smoothed: rebalance.NewPopularity(shape), fresh: rebalance.NewPopularity(shape),
	}
}

// Observe takes in what a rank's requests chose since the last look: counts set
// after set, from a place on. Ranks may tell a part of the sets at a time.
func (d *Demand) Add(offset int, chosen []float64) {
	if offset < 0 || offset+len(chosen) > d.shape.Layers*d.shape.Experts {
		return
	}
	for i, n := range chosen {
		at := offset + i
		d.fresh[at/d.shape.Experts][at%d.shape.Experts] += n
		d.freshChoices += n
	}
}

// Look is what a look at the ranks said of demand.
type Sample struct {
	// Choices is how many there were; nothing else is known without any.
	Choices float64
	// Distance of the look from the estimate before it, 0 to 1: the part of the choices
	// that went to other experts. Usual is what it was as a rule.
	Distance, Baseline float64
	// Jumped is set when the estimate begins anew with this look.
	Jumped bool
}

// EndLook takes the counts of a look into the estimate.
func (d *Demand) EndSample(now time.Time) Sample {
	sample := Sample{Choices: d.freshChoices, Baseline: d.baseline}
	if sample.Choices == 0 {
		return sample
	}
	d.decay(now)
	if d.weight > 0 && sample.Choices >= minSampleChoices {
		d.detectJump(&sample)
	}
	d.merge()
	return sample
}

// compare looks for a jump between the estimate and the fresh counts.
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

// distance is the mean over the sets of the part of the fresh choices that would have
// to go to other experts to be spread as the estimate is.
func (d *Demand) distance() float64 {
	total, sets := 0.0, 0
	for set, fresh := range d.fresh {
		freshTotal, knownTotal := d.fresh.Total(set), d.smoothed.Total(set)
		if freshTotal == 0 || knownTotal == 0 {
			continue
		}
		sets++
		for expert, n := range fresh {
			total += math.Abs(n/freshTotal-d.smoothed[set][expert]/knownTotal) / 2
		}
	}
	return total / float64(max(sets, 1))
}

func (d *Demand) reset() {
	d.weight = 0
	for _, set := range d.smoothed {
		clear(set)
	}
}

func (d *Demand) merge() {
	d.weight += d.freshChoices
	d.freshChoices = 0
	for set, fresh := range d.fresh {
		for expert, n := range fresh {
			d.smoothed[set][expert] += n
		}
		clear(fresh)
	}
}

// longestDecay bounds what one pause forgets: a group that was stopped goes on
// with what it knew of the demand.
const maxDecayPeriod = time.Second

func (d *Demand) decay(now time.Time) {
	elapsed := min(now.Sub(d.updatedAt), maxDecayPeriod)
	d.updatedAt = now
	if elapsed <= 0 {
		return
	}
	keep := math.Exp2(-elapsed.Seconds() / d.halfLife.Seconds())
	d.weight *= keep
	for _, set := range d.smoothed {
		for expert := range set {
			set[expert] *= keep
		}
	}
}

// Weight is how many choices the estimate rests on.
func (d *Demand) Weight() float64 { return d.weight }

// JumpedAt is when the last jump was seen; zero when there was none.
func (d *Demand) JumpedAt() time.Time { return d.jumpedAt }

// Settled tells whether the estimate is of one side of the last jump only.
func (d *Demand) Settled() bool { return !d.unsettled }

// Popularity returns the estimate. All sets have the same total, as they have in
// truth: each token passes all sets, but the counts of some may be newer.
func (d *Demand) Popularity() rebalance.Popularity {
	estimate := rebalance.NewPopularity(d.shape)
	even := d.weight / float64(d.shape.Layers)
	for set, counts := range d.smoothed {
		total := d.smoothed.Total(set)
		if total == 0 {
			continue
		}
		for expert, n := range counts {
			estimate[set][expert] = n * even / total
		}
	}
	return estimate
}
