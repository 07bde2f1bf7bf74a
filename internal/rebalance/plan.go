package rebalance

import (
	"time"
)

// Options are the operator's weights and the platform's limits.
type Options struct {
	// SkewWeight is what one per cent less time of a layer's slowest rank is
	// worth; CostWeight is what loading one expert costs. Only their ratio counts:
	// a step is made when it gains more than CostWeight/SkewWeight per cent a load.
	SkewWeight, CostWeight float64
	// MaxMoves bounds the moves of one plan, from the weight store's rate and the
	// planning interval.
	MaxMoves int
	// MaxNewPerRank bounds the experts of a layer that a plan may load at one rank;
	// 0 means no bound.
	MaxNewPerRank int
	// GoodEnough ends the search in a layer once its slowest rank's time is at most
	// this many times the ideal one; 0 means that only cost does.
	TargetRatio float64
	// Times say how long it takes until a plan is in force.
	Timing Timing
}

// Times are what a plan costs in time. The zero value means that plans are in force
// at once.
type Timing struct {
	// Copy is how long a rank copies one expert. All ranks copy at the same time, each
	// one expert after the other.
	Copy time.Duration
	// Switch is what it takes besides to bring a map into use.
	Switch time.Duration
}

// rate is what a plan wins in a second until it is in force: its gain in skew.
//
// Plans follow each other, so that which gains most a second goes first: that order
// leaves the least skew over time. A long plan makes everybody wait for its last copy.
func (t Timing) gainRate(before, after float64, loads int) float64 {
	duration := t.Switch + time.Duration(loads)*t.Copy
	if duration <= 0 {
		return before - after
	}
	return (before - after) / duration.Seconds()
}

// Planner turns popularity into moves. It keeps its arrays between plans. Not
// safe for concurrent use.
type Planner struct {
	shape  Shape
	layers []*layer
	loads  *rankLoads
	// ideal is each layer's slowest time if it were spread evenly, slowest what it is by
	// the moves so far; stuck is set for layers in which no step helps within the present
	// bound on loads.
	ideal, slowest []float64
	stuck          []bool
	loadCost       float64
	// moves are those of the plan so far; pending those of a step that has not paid yet.
	moves, pending []Move
	// pendingLoads is how many of the pending moves load an expert.
	pendingLoads int
}

// NewPlanner returns a planner for groups of a shape.
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

// Plan returns the moves worth making, or none.
//
// The plan grows in stages: each allows every rank some more loads over all layers
// together, since a switch takes as long as the rank that copies most. Of the
// stages, the one that gains most a second until it's in force is returned. Within a
// stage, the layer with the slowest rank is lightened first, step by step; a step
// that costs more than it gains isn't made, which is the hysteresis against noise.
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

// worseStages is how many stages in a row may gain less a second before the search
// ends: each further load at a rank gains less than the one before, as a rule.
const maxWorseStages = 3

// firstBound is the bound on a rank's loads to begin with: none when copies take no
// time.
func (p *Planner) initialLoadLimit(options Options) int {
	if options.Timing.Copy <= 0 {
		return p.shape.Layers * p.shape.Slots
	}
	return 1
}

// fineBounds is up to which bound the stages differ by one load; further ones differ
// by a quarter, so that groups of many layers are planned in some twenty stages.
const fineLoadLimit = 8

func nextLoadLimit(limit int) int {
	if limit < fineLoadLimit {
		return limit + 1
	}
	return limit + limit/4
}

// start takes in the present state.
func (p *Planner) reset(current *Placement, popularity Popularity, speeds []float64, options Options) {
	p.loadCost = 0
	if options.SkewWeight > 0 {
		p.loadCost = options.CostWeight / options.SkewWeight
	}
	p.moves = nil // the last plan's may still be in use
	p.loads.reset()
	for n, l := range p.layers {
		l.load(current, n, popularity[n], speeds)
		l.limitLoads(options.MaxNewPerRank, p.loads)
		p.ideal[n], p.slowest[n] = sum(popularity[n])/sum(speeds), l.slowestTime()
	}
}

// skew is Placement.Skew of the plan so far.
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

// lighten makes all steps that pay within the bound on loads.
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

// worstLayer returns the layer with the slowest rank among those in which steps may
// help, or -1.
func (p *Planner) worstLayer(goodEnough float64) int {
	worst := -1
	for n, slowest := range p.slowest {
		if p.stuck[n] || p.ideal[n] == 0 || slowest <= p.ideal[n]*goodEnough {
			continue
		}
		if worst < 0 || slowest > p.slowest[worst] {
			worst = n
		}
	}
	return worst
}

// patience is how many moves in a row may bring no net gain before the search in a
// layer ends: several ranks may have to be lightened before the slowest one's time
// falls.
const maxPendingMoves = 24

// improve makes the fewest steps in a layer that gain more than they cost. It tells
// whether there are any.
func (p *Planner) improveLayer(n int, options Options) bool {
	l := p.layers[n]
	before := l.slowestTime()
	p.pending, p.pendingLoads = p.pending[:0], 0
	for len(p.pending) <= maxPendingMoves && l.slowestTime() > p.ideal[n]*options.TargetRatio && p.canPay(n, before) {
		best, found := l.bestStep(n)
		if !found || len(p.moves)+len(p.pending)+best.length > options.MaxMoves {
			break
		}
		l.applyStep(best)
		p.pending = append(p.pending, best.moves[:best.length]...)
		p.pendingLoads += best.loads
		gain := (before - l.slowestTime()) / p.ideal[n] * 100
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

// mayPay tells whether a perfect spread would pay for one more load.
func (p *Planner) canPay(n int, before float64) bool {
	maxGain := (before - p.ideal[n]) / p.ideal[n] * 100
	return maxGain > p.loadCost*float64(p.pendingLoads+1)
}
