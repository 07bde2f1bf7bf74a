package bench

import (
	"fmt"
	"runtime"
	"time"

	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/crowbridge/crowbridge/standins/popularitytrace"
)

// weightings are operator settings that prioritize low skew or few moves.
var weightings = []struct {
	name             string
	skew, costWeight float64
}{
	{"weighs-skew", 1, 0.12},
	{"weighs-moves", 1, 0.5},
}

// measurementWeight is the weight of the latest measurement in the moving average.
const measurementWeight = 0.5

// rebalanceRun contains the results of a policy over a trace.
type rebalanceRun struct {
	skews []float64
	loads int // of experts into ranks
}

// planPolicy returns the next placement and the number of experts to load for it.
type planPolicy func(current *rebalance.Placement, estimate rebalance.Popularity, speeds []float64) (*rebalance.Placement, int)

func neverMove(current *rebalance.Placement, _ rebalance.Popularity, _ []float64) (*rebalance.Placement, int) {
	return current, 0
}

func repack(current *rebalance.Placement, estimate rebalance.Popularity, speeds []float64) (*rebalance.Placement, int) {
	next := rebalance.Repack(current.Shape, estimate, speeds)
	return next, current.Distance(next)
}

func planWith(planner *rebalance.Planner, options rebalance.Options) planPolicy {
	return func(current *rebalance.Placement, estimate rebalance.Popularity, speeds []float64) (*rebalance.Placement, int) {
		next := current.Clone()
		moves := planner.Plan(current, estimate, speeds, options)
		next.Apply(moves)
		return next, current.Distance(next)
	}
}

// warmUp is the number of intervals before the measurement starts.
const warmUp = 12

// samplesPerInterval is the number of skew measurements per interval.
const samplesPerInterval = 10

const (
	// planThreshold is the skew from which a plan is made, and targetRatio the skew at which
	// it is complete.
	planThreshold = 1.2
	targetRatio   = 1.12
	// straggler is the rank that is slow in the third quarter of a trace.
	straggler = 3
)

// simulation runs one policy on one trace.
type simulation struct {
	options   popularitytrace.Options
	policy    planPolicy
	placement *rebalance.Placement
	estimate  rebalance.Popularity
	run       rebalanceRun
}

func runPolicy(o popularitytrace.Options, policy planPolicy) rebalanceRun {
	placement, err := rebalance.NewPlacement(o.Shape)
	if err != nil {
		panic(err) // the shapes are constant
	}
	s := &simulation{options: o, policy: policy, placement: placement}
	t := popularitytrace.New(o)
	for interval := range o.Intervals {
		truth, measured := t.Next()
		s.interval(interval, truth, measured, speedsAt(o, straggler, interval))
	}
	return s.run
}

// interval measures the skew several times and plans whenever it exceeds planThreshold.
func (s *simulation) interval(n int, truth, measured rebalance.Popularity, speeds []float64) {
	for range samplesPerInterval {
		skew := s.placement.Skew(truth, speeds)
		if n >= warmUp {
			s.run.skews = append(s.run.skews, skew)
		}
		s.observe(measured)
		if skew < planThreshold {
			continue
		}
		var loads int
		s.placement, loads = s.policy(s.placement, s.estimate, speeds)
		if n >= warmUp {
			s.run.loads += loads
		}
	}
}

// observe adds a measurement to the moving average.
func (s *simulation) observe(measured rebalance.Popularity) {
	if s.estimate == nil {
		s.estimate = rebalance.NewPopularity(s.options.Shape)
	}
	for layer := range measured {
		for expert, value := range measured[layer] {
			s.estimate[layer][expert] += measurementWeight * (value - s.estimate[layer][expert])
		}
	}
}

// speedsAt returns the ranks' speeds. The straggler has half its speed in the third quarter of
// the trace; a negative number means none.
func speedsAt(o popularitytrace.Options, straggler, interval int) []float64 {
	speeds := make([]float64, o.Shape.Ranks)
	for rank := range speeds {
		speeds[rank] = 1
	}
	if straggler >= 0 && interval > o.Intervals/2 && interval < 3*o.Intervals/4 {
		speeds[straggler] = 0.5
	}
	return speeds
}

// Rebalance measures skew, expert loads and planning time for groups of several sizes.
func (r *Reporter) Rebalance() {
	small := popularitytrace.Options{
		Shape:     rebalance.Shape{Ranks: 16, Experts: 64, Layers: 8, Slots: 8},
		Intervals: 576, IntervalsPerDay: 288, ZipfExponent: 0.9, DriftStep: 0.02, SeasonAmplitude: 0.5, Noise: 0.05,
		PeakAt: 400, PeakLength: 30, PeakFactor: 6, Seed: 7,
	}
	large := popularitytrace.Options{
		Shape:     rebalance.Shape{Ranks: 256, Experts: 256, Layers: 60, Slots: 4},
		Intervals: 60, IntervalsPerDay: 288, ZipfExponent: 0.9, DriftStep: 0.02, SeasonAmplitude: 0.5, Noise: 0.05,
		PeakAt: 40, PeakLength: 8, PeakFactor: 6, Seed: 7,
	}
	r.rebalanceAt("rebalance/16x64x8", small)
	r.rebalanceAt("rebalance/256x256x60", large)
	r.measureCostCurve("rebalance/curve16", small)
	r.measurePlanningTime(large)
	r.measureDemandJumps()
}

// Times of engines that copy experts slowly.
const (
	copyTime   = 400 * time.Millisecond
	switchTime = 300 * time.Millisecond
)

// measureDemandJumps measures, for groups whose engines copy slowly, the planning time after a
// sudden change of the demand and the skew after the first plan. The baseline is a plan that ignores
// the times for copies and switches.
func (r *Reporter) measureDemandJumps() {
	for _, shape := range []rebalance.Shape{
		{Ranks: 12, Experts: 96, Layers: 3, Slots: 11},
		{Ranks: 24, Experts: 96, Layers: 16, Slots: 5},
		{Ranks: 72, Experts: 144, Layers: 12, Slots: 3},
		{Ranks: 256, Experts: 256, Layers: 60, Slots: 4},
	} {
		name := fmt.Sprintf("rebalance/jump-%dx%dx%d", shape.Ranks, shape.Experts, shape.Layers)
		popularity, _ := popularitytrace.New(popularitytrace.Options{Shape: shape, Intervals: 1, IntervalsPerDay: 1, ZipfExponent: 1.3, Seed: 7}).Next()
		placement, err := rebalance.NewPlacement(shape)
		if err != nil {
			panic(err) // the shapes are constant
		}
		options := rebalance.Options{SkewWeight: 1, CostWeight: 1, MaxMoves: 1 << 20, MaxNewPerRank: 4, TargetRatio: targetRatio}
		unstaged, _ := timedPlan(placement, popularity, options)
		options.Timing = rebalance.Timing{Copy: copyTime, Switch: switchTime}
		staged, took := timedPlan(placement, popularity, options)
		speeds := speedsAt(popularitytrace.Options{Shape: shape}, -1, 0)
		r.Figure(name+"/plan", took.Seconds()*1000, "ms")
		r.Figure(name+"/skew-before", placement.Skew(popularity, speeds), "x")
		r.Compare(name+"/skew-after", staged.Skew(popularity, speeds), "x", unstaged.Skew(popularity, speeds))
		r.Compare(name+"/copies-of-the-busiest", float64(placement.MaxLoads(staged)), "experts", float64(placement.MaxLoads(unstaged)))
	}
}

// timedPlan returns the result of a new planner for a placement, and the planning time.
func timedPlan(placement *rebalance.Placement, popularity rebalance.Popularity, options rebalance.Options) (*rebalance.Placement, time.Duration) {
	planner, next := rebalance.NewPlanner(placement.Shape), placement.Clone()
	speeds := speedsAt(popularitytrace.Options{Shape: placement.Shape}, -1, 0)
	start := time.Now()
	moves := planner.Plan(placement, popularity, speeds, options)
	took := time.Since(start)
	next.Apply(moves)
	return next, took
}

func (r *Reporter) rebalanceAt(name string, o popularitytrace.Options) {
	unmoved := runPolicy(o, neverMove)
	repacked := runPolicy(o, repack)
	r.Figure(name+"/never/skew-p99", Quantile(unmoved.skews, 0.99), "x")
	r.Figure(name+"/repack/skew-p99", Quantile(repacked.skews, 0.99), "x")
	r.Figure(name+"/repack/loads", float64(repacked.loads), "experts")
	planner := rebalance.NewPlanner(o.Shape)
	for _, w := range weightings {
		options := rebalance.Options{SkewWeight: w.skew, CostWeight: w.costWeight, MaxMoves: 1 << 20, TargetRatio: targetRatio}
		run := runPolicy(o, planWith(planner, options))
		r.Compare(name+"/"+w.name+"/skew-p50", Quantile(run.skews, 0.5), "x", Quantile(repacked.skews, 0.5))
		r.Compare(name+"/"+w.name+"/skew-p99", Quantile(run.skews, 0.99), "x", Quantile(repacked.skews, 0.99))
		r.Compare(name+"/"+w.name+"/loads", float64(run.loads), "experts", float64(repacked.loads))
	}
}

// measureCostCurve prints skew and expert loads for several cost weights.
func (r *Reporter) measureCostCurve(name string, o popularitytrace.Options) {
	planner := rebalance.NewPlanner(o.Shape)
	for _, costWeight := range []float64{0.03, 0.06, 0.12, 0.25, 0.5, 1, 2, 4} {
		run := runPolicy(o, planWith(planner, rebalance.Options{SkewWeight: 1, CostWeight: costWeight, MaxMoves: 1 << 20, TargetRatio: targetRatio}))
		r.Figure(fmt.Sprintf("%s/price-%g/loads", name, costWeight), float64(run.loads), "experts")
		r.Figure(fmt.Sprintf("%s/price-%g/skew-p99", name, costWeight), Quantile(run.skews, 0.99), "x")
	}
}

// measurePlanningTime measures the first plan and later plans in the steady state.
func (r *Reporter) measurePlanningTime(o popularitytrace.Options) {
	t := popularitytrace.New(o)
	placement, err := rebalance.NewPlacement(o.Shape)
	if err != nil {
		panic(err) // the shapes are constant
	}
	speeds := speedsAt(o, -1, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	planner := rebalance.NewPlanner(o.Shape)
	options := rebalance.Options{SkewWeight: 1, CostWeight: weightings[0].costWeight, MaxMoves: 1 << 20, TargetRatio: targetRatio}
	var steady []float64
	for interval := range 20 {
		truth, _ := t.Next()
		start := time.Now()
		moves := planner.Plan(placement, truth, speeds, options)
		took := float64(time.Since(start).Microseconds()) / 1000
		placement.Apply(moves)
		if interval == 0 {
			runtime.ReadMemStats(&after)
			r.Figure("rebalance/256x256x60/plan-from-nothing", took, "ms")
			r.Figure("rebalance/256x256x60/plan-allocated", float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), "MiB")
			continue
		}
		steady = append(steady, took)
	}
	r.Figure("rebalance/256x256x60/plan-steady-p50", Quantile(steady, 0.5), "ms")
	r.Figure("rebalance/256x256x60/plan-steady-worst", Quantile(steady, 1), "ms")
}
