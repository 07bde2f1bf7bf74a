// Package popularitytrace generates the popularity of experts over time: a Zipf
// distribution with slow drift, a daily season, a holiday peak, and measurement noise. A
// trace is determined by its seed.
package popularitytrace

import (
	"math"
	"math/rand/v2"

	"github.com/crowbridge/crowbridge/internal/rebalance"
)

// Options configure a Trace.
type Options struct {
	Shape rebalance.Shape
	// Intervals is the length of the trace; IntervalsPerDay is the period of the season.
	Intervals, IntervalsPerDay int
	// ZipfExponent is the exponent of the base popularity.
	ZipfExponent float64
	// DriftStep is the standard deviation of the random walk per interval, on a log scale.
	DriftStep float64
	// SeasonAmplitude is the amplitude of the daily season, on a log scale.
	SeasonAmplitude float64
	// Noise is the relative standard deviation of a measurement.
	Noise float64
	// PeakAt is the first interval of the holiday peak and PeakLength its number of
	// intervals. PeakFactor multiplies the popularity of a few experts during the peak.
	PeakAt, PeakLength int
	PeakFactor         float64
	Seed               uint64
}

// peakExpertEvery is the inverse of the fraction of experts that have a holiday peak.
const peakExpertEvery = 24

// Trace generates popularity interval by interval.
type Trace struct {
	options       Options
	random        *rand.Rand
	logPopularity rebalance.Popularity // base popularity and drift
	seasonPhase   rebalance.Popularity
	peakExperts   [][]bool
	interval      int
}

// New returns a Trace at its first interval.
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

// Next returns the true and the measured popularity of the next interval.
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
