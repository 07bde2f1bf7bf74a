package bench

import (
	"fmt"
	"runtime"
	"time"

	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/crowbridge/crowbridge/standins/trace"
)

// Deployments' weights: Shaftline weighs skew, Virágút the cost of moves.
var deployments = []struct {
	name             string
	skew, costWeight float64
}{
	{"shaftline", 1, 0.12},
	{"viragut", 1, 0.5},
}

// smootherWeight is a new report's weight.
const smootherWeight = 0.5

// rebalanceRun is what one policy did over a trace.
type rebalanceRun struct {
	skews []float64
	loads int
}

// planPolicy returns the placement for the next interval and what it loaded.
type planPolicy func(current *rebalance.Placement, estimate rebalance.Popularity, speeds []float64) (*rebalance.Placement, int)

func never(current *rebalance.Placement, _ rebalance.Popularity, _ []float64) (*rebalance.Placement, int) {
	return current, 0
}

func repack(current *rebalance.Placement, estimate rebalance.Popularity, speeds []float64) (*rebalance.Placement, int) {
	next := rebalance.Repack(current.Shape, estimate, speeds)
	return next, current.Distance(next)
}

func planned(planner *rebalance.Planner, options rebalance.Options) planPolicy {
	return func(current *rebalance.Placement, estimate rebalance.Popularity, speeds []float64) (*rebalance.Placement, int) {
		next := current.Clone()
		moves := planner.Plan(current, estimate, speeds, options)
		next.Apply(moves)
		return next, len(moves)
	}
}

// warmUp is how many intervals every policy may settle before it's measured.
const warmUp = 12

// partsPerInterval is how many times skew is measured in a planning interval.
const partsPerInterval = 10

// features turn parts of the planner's surroundings on.
type features struct {
	forecast, trigger bool
}

// simulation is one policy at work on one trace.
type simulation struct {
	options    trace.Options
	policy     planPolicy
	features   features
	placement  *rebalance.Placement
	smoother   *rebalance.Smoother
	stragglers *rebalance.Stragglers
	trigger    rebalance.Trigger
	run        rebalanceRun
}

func runPolicy(o trace.Options, policy planPolicy, f features) rebalanceRun {
	const straggler = 3
	slots := 0
	if f.forecast {
		slots = o.IntervalsPerDay
	}
	placement, err := rebalance.NewPlacement(o.Shape)
	if err != nil {
		panic(err) // the shapes are ours
	}
	s := &simulation{
		options: o, policy: policy, features: f, placement: placement,
		smoother:   rebalance.NewSmoother(o.Shape, smootherWeight, slots),
		stragglers: rebalance.NewStragglers(o.Shape.Ranks),
	}
	t := trace.New(o)
	for interval := range o.Intervals {
		truth, measured := t.Next()
		s.interval(interval, truth, measured, speedsAt(o, straggler, interval))
	}
	return s.run
}

// interval measures the skew in parts, replans out of turn when that is on, and
// plans at the end.
func (s *simulation) interval(n int, truth, measured rebalance.Popularity, speeds []float64) {
	for range partsPerInterval {
		skew := s.placement.Skew(truth, speeds)
		if n >= warmUp {
			s.run.skews = append(s.run.skews, skew)
		}
		observeSteps(s.stragglers, speeds)
		if s.features.trigger && s.trigger.Due(skew) {
			s.smoother.Observe(n, measured)
			s.plan(n, n)
		}
	}
	s.smoother.Observe(n, measured)
	s.plan(n, n+1)
}

func (s *simulation) plan(n, next int) {
	estimate := s.smoother.Estimate(next)
	var loads int
	s.placement, loads = s.policy(s.placement, estimate, s.stragglers.Speeds())
	s.trigger.Planned(s.placement.Skew(estimate, s.stragglers.Speeds()))
	if n >= warmUp {
		s.run.loads += loads
	}
}

// speedsAt slows one rank to half its speed in the trace's third quarter.
func speedsAt(o trace.Options, straggler, interval int) []float64 {
	speeds := make([]float64, o.Shape.Ranks)
	for rank := range speeds {
		speeds[rank] = 1
	}
	if straggler >= 0 && interval > o.Intervals/2 && interval < 3*o.Intervals/4 {
		speeds[straggler] = 0.5
	}
	return speeds
}

func observeSteps(s *rebalance.Stragglers, speeds []float64) {
	busy, work := make([]float64, len(speeds)), make([]float64, len(speeds))
	for rank, speed := range speeds {
		work[rank] = 1
		busy[rank] = 1 / speed
	}
	for range 5 {
		s.Observe(busy, work)
	}
}

// Rebalance measures skew and loads at two sizes.
func (r *Reporter) Rebalance() {
	small := trace.Options{
		Shape:     rebalance.Shape{Ranks: 16, Experts: 64, Layers: 8, Slots: 8},
		Intervals: 576, IntervalsPerDay: 288, Zipf: 0.9, Drift: 0.02, Season: 0.5, Noise: 0.05,
		PeakAt: 400, PeakLength: 30, PeakFactor: 6, Seed: 7,
	}
	large := trace.Options{
		Shape:     rebalance.Shape{Ranks: 256, Experts: 256, Layers: 60, Slots: 4},
		Intervals: 60, IntervalsPerDay: 288, Zipf: 0.9, Drift: 0.02, Season: 0.5, Noise: 0.05,
		PeakAt: 40, PeakLength: 8, PeakFactor: 6, Seed: 7,
	}
	r.rebalanceAt("rebalance/16x64x8", small, true)
	r.rebalanceAt("rebalance/256x256x60", large, false)
	r.curve("rebalance/curve16", small)
	r.planningTime(large)
}

func (r *Reporter) rebalanceAt(name string, o trace.Options, forecast bool) {
	still := runPolicy(o, never, features{})
	full := runPolicy(o, repack, features{})
	r.Figure(name+"/never/skew-p99", Quantile(still.skews, 0.99), "x")
	r.Figure(name+"/repack/skew-p99", Quantile(full.skews, 0.99), "x")
	r.Figure(name+"/repack/loads", float64(full.loads), "experts")
	planner := rebalance.NewPlanner(o.Shape)
	for _, d := range deployments {
		options := rebalance.Options{SkewWeight: d.skew, CostWeight: d.costWeight, MaxMoves: 1 << 20}
		run := runPolicy(o, planned(planner, options), features{trigger: true})
		r.Against(name+"/"+d.name+"/skew-p50", Quantile(run.skews, 0.5), "x", Quantile(full.skews, 0.5))
		r.Against(name+"/"+d.name+"/skew-p99", Quantile(run.skews, 0.99), "x", Quantile(full.skews, 0.99))
		r.Against(name+"/"+d.name+"/loads", float64(run.loads), "experts", float64(full.loads))
		plain := runPolicy(o, planned(planner, options), features{})
		r.Against(name+"/"+d.name+"/no-trigger-skew-p99", Quantile(plain.skews, 0.99), "x", Quantile(run.skews, 0.99))
		if forecast {
			seen := runPolicy(o, planned(planner, options), features{trigger: true, forecast: true})
			r.Against(name+"/"+d.name+"/forecast-skew-p99", Quantile(seen.skews, 0.99), "x", Quantile(run.skews, 0.99))
			r.Against(name+"/"+d.name+"/forecast-loads", float64(seen.loads), "experts", float64(run.loads))
		}
	}
}

// curve prints skew against loads over the price of a move.
func (r *Reporter) curve(name string, o trace.Options) {
	planner := rebalance.NewPlanner(o.Shape)
	for _, price := range []float64{0.03, 0.06, 0.12, 0.25, 0.5, 1, 2, 4} {
		run := runPolicy(o, planned(planner, rebalance.Options{SkewWeight: 1, CostWeight: price, MaxMoves: 1 << 20}), features{trigger: true})
		r.Figure(fmt.Sprintf("%s/price-%g/loads", name, price), float64(run.loads), "experts")
		r.Figure(fmt.Sprintf("%s/price-%g/skew-p99", name, price), Quantile(run.skews, 0.99), "x")
	}
}

// planningTime measures one plan in steady state and one from nothing.
func (r *Reporter) planningTime(o trace.Options) {
	t := trace.New(o)
	placement, err := rebalance.NewPlacement(o.Shape)
	if err != nil {
		panic(err) // the shapes are ours
	}
	speeds := speedsAt(o, -1, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	planner := rebalance.NewPlanner(o.Shape)
	options := rebalance.Options{SkewWeight: 1, CostWeight: deployments[0].costWeight, MaxMoves: 1 << 20}
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
