package rebalance

import (
	"time"
)

// Options configure a plan.
type Options struct {
	// SkewWeight is the value of reducing the time of a layer's slowest rank by one
	// percent, CostWeight the cost of loading one expert. Only their ratio matters: a step
	// must gain more than CostWeight/SkewWeight percent per load.
	SkewWeight, CostWeight float64
	// MaxMoves bounds the moves of a plan.
	MaxMoves int
	// MaxNewPerRank bounds the experts of a layer that a plan may load at one rank; 0
	// means no limit.
	MaxNewPerRank int
	// TargetRatio ends the search in a layer once the time of its slowest rank is at most
	// this multiple of the ideal time; 0 means that only the cost ends it.
	TargetRatio float64
	// Timing is used to estimate when a plan takes effect.
	Timing Timing
}

// Timing describes how long a plan takes. The zero value means no time.
type Timing struct {
	// Copy is how long a rank takes to copy one expert. Ranks copy concurrently, each one
	// expert at a time.
	Copy time.Duration
	// Switch is the time that a map switch takes besides copying.
	Switch time.Duration
}

// gainRate returns the reduction of skew per second until a plan takes effect, or the
// reduction if that takes no time. Plans follow each other, and each takes effect only
// after its last copy, so the one with the highest rate reduces the skew over time most.
func (t Timing) gainRate(before, after float64, loads int) float64 {
	duration := t.Switch + time.Duration(loads)*t.Copy
	if duration <= 0 {
		return before - after
	}
	return (before - after) / duration.Seconds()
}

// Planner computes the moves for a change of popularity. It reuses its buffers between
// plans. Not safe for concurrent use.
type Planner struct {
	shape  Shape
	layers []*layer
	loads  *rankLoads
	// ideal is the time of each layer if it were balanced, slowest that of its slowest
	// rank after the moves so far. stuck marks layers in which no step helps within the
	// current limit on loads.
	ideal, slowest []float64
	stuck          []bool
	loadCost       float64
	// moves has the committed moves of the plan, pending those of steps whose gain doesn't
	// cover their cost yet.
	moves, pending []Move
	// pendingLoads is the number of pending moves that load an expert.
	pendingLoads int
}

// NewPlanner returns a planner for groups of the given shape.
func NewPlanner(shape Shape) *Planner {
	p := &Planner{
		shape: shape, loads: &rankLoads{byRank: make([]int, shape.Ranks)},
		layers: make([]*layer, shape.Layers), ideal: make([]float64, shape.Layers), slowest: make([]float64, shape.Layers), stuck: make([]bool, shape.Layers),
	}
	for n := range p.layers {
		p.layers[n] = newLayer(shape)
	}
	return p
}

// Plan returns the moves worth making, if any.
//
// The plan grows in stages. Each stage raises the limit on the loads per rank over all
// layers, since the rank that copies most determines how long a switch takes. The stage
// with the highest gain rate is returned. Within a stage, Plan repeatedly improves the
// layer with the slowest rank. Steps that cost more than they gain are not made, which
// prevents moves in response to noise.
func (p *Planner) Plan(current *Placement, popularity Popularity, speeds []float64, options Options) []Move {
	p.reset(current, popularity, speeds, options)
	before := p.skew()
	bestRate, bestLength, worse := 0.0, 0, 0
	for limit := p.initialLoadLimit(options); worse < maxWorseStages; limit = nextLoadLimit(limit) {
		p.loads.setLimit(limit)
		p.reduceSkew(options)
		worse++
		if rate := options.Timing.gainRate(before, p.skew(), p.loads.highest()); rate > bestRate {
			bestRate, bestLength, worse = rate, len(p.moves), 0
		}
		if !p.loads.limited || len(p.moves) >= options.MaxMoves {
			break
		}
	}
	return p.moves[:bestLength:bestLength]
}

// maxWorseStages is how many consecutive stages may have a lower gain rate before the
// search ends. Usually each further load at a rank gains less than the one before.
const maxWorseStages = 3

// initialLoadLimit returns the first limit on the loads of a rank, which is effectively
// none if copies take no time.
func (p *Planner) initialLoadLimit(options Options) int {
	if options.Timing.Copy <= 0 {
		return p.shape.Layers * p.shape.Slots
	}
	return 1
}

// fineLoadLimit is the limit up to which stages differ by one load. Later ones grow by
// a quarter, to bound the number of stages in groups with many layers.
const fineLoadLimit = 8

func nextLoadLimit(limit int) int {
	if limit < fineLoadLimit {
		return limit + 1
	}
	return limit + limit/4
}

// reset starts a plan from the current placement.
func (p *Planner) reset(current *Placement, popularity Popularity, speeds []float64, options Options) {
	p.loadCost = 0
	if options.SkewWeight > 0 {
		p.loadCost = options.CostWeight / options.SkewWeight
	}
	p.moves = nil // the caller may still use those of the last plan
	p.loads.reset()
	for n, l := range p.layers {
		l.load(current, n, popularity[n], speeds)
		l.limitLoads(options.MaxNewPerRank, p.loads)
		p.ideal[n], p.slowest[n] = sum(popularity[n])/sum(speeds), l.slowestTime()
	}
}

// skew returns Placement.Skew after the moves so far.
func (p *Planner) skew() float64 {
	slowest, ideal := 0.0, 0.0
	for n := range p.layers {
		slowest += p.slowest[n]
		ideal += p.ideal[n]
	}
	if ideal == 0 {
		return 1
	}
	return slowest / ideal
}

// reduceSkew applies all steps that pay off within the limit on loads.
func (p *Planner) reduceSkew(options Options) {
	for n := range p.stuck {
		p.stuck[n] = false
	}
	for {
		worst := p.worstLayer(options.TargetRatio)
		if worst < 0 {
			return
		}
		p.stuck[worst] = !p.improveLayer(worst, options)
	}
}

// worstLayer returns the layer with the slowest rank among those that may still be
// improved, or -1.
func (p *Planner) worstLayer(targetRatio float64) int {
	worst := -1
	for n, slowest := range p.slowest {
		if p.stuck[n] || p.ideal[n] == 0 || slowest <= p.ideal[n]*targetRatio {
			continue
		}
		if worst < 0 || slowest > p.slowest[worst] {
			worst = n
		}
	}
	return worst
}

// maxPendingMoves is how many consecutive moves may have no net gain before the search
// in a layer ends. Several ranks may need relief before the slowest time falls.
const maxPendingMoves = 24

// improveLayer applies the fewest steps in a layer that gain more than they cost. It
// reports whether there are any.
func (p *Planner) improveLayer(n int, options Options) bool {
	l := p.layers[n]
	slowestBefore := l.slowestTime()
	p.pending, p.pendingLoads = p.pending[:0], 0
	for len(p.pending) <= maxPendingMoves && l.slowestTime() > p.ideal[n]*options.TargetRatio && p.canPay(n, slowestBefore) {
		best, found := l.bestStep(n)
		if !found || len(p.moves)+len(p.pending)+best.length > options.MaxMoves {
			break
		}
		l.applyStep(best)
		p.pending = append(p.pending, best.moves[:best.length]...)
		p.pendingLoads += best.loads
		gain := (slowestBefore - l.slowestTime()) / p.ideal[n] * 100
		if gain > p.loadCost*float64(p.pendingLoads) {
			p.moves = append(p.moves, p.pending...)
			l.commit()
			p.slowest[n] = l.slowestTime()
			return true
		}
	}
	l.rollback()
	return false
}

// canPay reports whether a perfect balance would justify one more load.
func (p *Planner) canPay(n int, before float64) bool {
	maxGain := (before - p.ideal[n]) / p.ideal[n] * 100
	return maxGain > p.loadCost*float64(p.pendingLoads+1)
}
