// Package trace generates expert popularity over a day: a skewed base, slow
// drift, the day's season, a sharp holiday peak, and noise. The same seed gives
// the same trace.
package popularitytrace

import (
	"math"
	"math/rand/v2"

	"github.com/crowbridge/crowbridge/internal/rebalance"
)

// Options shape a trace.
type Options struct {
	Shape rebalance.Shape
	// Intervals is the trace's length; IntervalsPerDay the season's period.
	Intervals, IntervalsPerDay int
	// Zipf is the exponent of the base popularity.
	ZipfExponent float64
	// Drift is the random walk's step per interval, in logarithms.
	DriftStep float64
	// Season is the amplitude of the daily wave, in logarithms.
	SeasonAmplitude float64
	// Noise is a measurement's relative error.
	Noise float64
	// PeakAt and PeakLength place the holiday peak; PeakFactor multiplies the
	// popularity of a few experts.
	PeakAt, PeakLength int
	PeakFactor         float64
	Seed               uint64
}

// peakShare is one expert in this many that the holiday favours.
const peakExpertEvery = 24

// Trace generates one interval after the other.
type Trace struct {
	options       Options
	random        *rand.Rand
	logPopularity rebalance.Popularity // base and drift
	seasonPhase   rebalance.Popularity
	peakExperts   [][]bool
	interval      int
}

// New returns a trace at its first interval.
func New(options Options) *Trace {
	t := &Trace{
		options:       options,
		random:        rand.New(rand.NewPCG(options.Seed, 1)),
		logPopularity: rebalance.NewPopularity(options.Shape),
		seasonPhase:   rebalance.NewPopularity(options.Shape),
		peakExperts:   make([][]bool, options.Shape.Layers),
	}
	for layer := range t.logPopularity {
		t.peakExperts[layer] = make([]bool, options.Shape.Experts)
		for position, expert := range t.random.Perm(options.Shape.Experts) {
			t.logPopularity[layer][expert] = -options.ZipfExponent * math.Log(float64(position+4))
			t.seasonPhase[layer][expert] = t.random.Float64() * 2 * math.Pi
			t.peakExperts[layer][expert] = t.random.IntN(peakExpertEvery) == 0
		}
	}
	return t
}

// Next returns the interval's true popularity and what was measured of it.
func (t *Trace) Next() (truth, measured rebalance.Popularity) {
	o := t.options
	truth, measured = rebalance.NewPopularity(o.Shape), rebalance.NewPopularity(o.Shape)
	season := 2 * math.Pi * float64(t.interval) / float64(o.IntervalsPerDay)
	peak := t.interval >= o.PeakAt && t.interval < o.PeakAt+o.PeakLength
	for layer := range truth {
		for expert := range truth[layer] {
			t.logPopularity[layer][expert] += o.DriftStep * t.random.NormFloat64()
			value := math.Exp(t.logPopularity[layer][expert] + o.SeasonAmplitude*math.Sin(season+t.seasonPhase[layer][expert]))
			if peak && t.peakExperts[layer][expert] {
				value *= o.PeakFactor
			}
			truth[layer][expert] = value
			measured[layer][expert] = value * max(0, 1+o.Noise*t.random.NormFloat64())
		}
	}
	t.interval++
	return truth, measured
}
