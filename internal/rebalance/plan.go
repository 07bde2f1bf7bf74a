package rebalance

import "slices"

// Options are the operator's weights and the platform's limits.
type Options struct {
	// SkewWeight is what one per cent less time of a layer's slowest rank is
	// worth; CostWeight is what loading one expert costs. Only their ratio counts:
	// a move is made when it gains more than CostWeight/SkewWeight per cent.
	SkewWeight, CostWeight float64
	// MaxMoves bounds the moves of one plan, from the weight store's rate and the
	// planning interval.
	MaxMoves int
	// MaxNewPerRank bounds the experts of a layer that a plan may load at one rank;
	// 0 means no bound.
	MaxNewPerRank int
	// GoodEnough ends the search in a layer once its slowest rank's time is at most
	// this many times the ideal one; 0 means that only cost does.
	GoodEnough float64
}

// maxMovesPerLayer bounds the search in one layer.
const maxMovesPerLayer = 512

// patience is how many moves in a row may bring no better net gain before the
// search in a layer ends.
const patience = 24

// Planner turns popularity into moves. It keeps its arrays between plans. Not
// safe for concurrent use.
type Planner struct {
	shape   Shape
	layer   *layer
	pending []Move
}

// NewPlanner returns a planner for groups of a shape.
func NewPlanner(shape Shape) *Planner {
	return &Planner{shape: shape, layer: newLayer(shape)}
}

// layerPlan is what one layer would gain by how many moves.
type layerPlan struct {
	moves []Move
	// ends are where each step of the search ends: the moves of an exchange belong
	// together.
	ends []int
	net  float64 // gain less cost, in per cent of the layer's ideal time
}

// first returns the moves of the first steps, up to a number of moves.
func (p layerPlan) first(limit int) []Move {
	length := 0
	for _, end := range p.ends {
		if end > min(limit, len(p.moves)) {
			break
		}
		length = end
	}
	return p.moves[:length]
}

// Plan returns the moves worth making, the most profitable layers first, or
// none. In each layer, moves are tried one after the other and the prefix with
// the best net gain is kept: several ranks may have to be lightened before the
// slowest one's time falls. That the gain must exceed the cost is also the
// hysteresis against noise.
func (p *Planner) Plan(current *Placement, popularity Popularity, speeds []float64, options Options) []Move {
	var plans []layerPlan
	for n := range p.shape.Layers {
		plan := p.planLayer(current, n, popularity[n], speeds, options)
		if len(plan.moves) > 0 {
			plans = append(plans, plan)
		}
	}
	slices.SortStableFunc(plans, func(a, b layerPlan) int {
		switch gainA, gainB := a.net/float64(len(a.moves)), b.net/float64(len(b.moves)); {
		case gainA > gainB:
			return -1
		case gainA < gainB:
			return 1
		default:
			return 0
		}
	})
	return take(plans, options.MaxMoves)
}

// take returns whole layers' plans up to a number of moves. When not even one
// layer's fits, the first moves of the best are taken.
func take(plans []layerPlan, limit int) []Move {
	var moves []Move
	for _, plan := range plans {
		if len(moves)+len(plan.moves) > limit {
			continue
		}
		moves = append(moves, plan.moves...)
	}
	if len(moves) == 0 && len(plans) > 0 {
		return plans[0].first(limit)
	}
	return moves
}

func (p *Planner) planLayer(current *Placement, n int, popularity, speeds []float64, options Options) layerPlan {
	l := p.layer
	l.load(current, n, popularity, speeds)
	l.bound(options.MaxNewPerRank)
	ideal := sum(popularity) / sum(speeds)
	if ideal == 0 {
		return layerPlan{}
	}
	price := 0.0
	if options.SkewWeight > 0 {
		price = options.CostWeight / options.SkewWeight
	}
	before := l.slowestTime()
	p.pending = p.pending[:0]
	bestNet, bestLength := 0.0, 0
	var ends []int
	for len(p.pending) < maxMovesPerLayer && l.slowestTime() > ideal*options.GoodEnough {
		best, found := l.bestStep(n)
		if !found {
			break
		}
		l.take(best)
		p.pending = append(p.pending, best.moves[:best.loads]...)
		ends = append(ends, len(p.pending))
		gain := (before - l.slowestTime()) / ideal * 100
		net := gain - price*float64(len(p.pending))
		if net > bestNet {
			bestNet, bestLength = net, len(p.pending)
		}
		if len(p.pending)-bestLength > patience || p.hopeless(ideal, before, price, bestNet) {
			break
		}
	}
	return layerPlan{moves: slices.Clone(p.pending[:bestLength]), ends: ends, net: bestNet}
}

// hopeless tells that not even a perfect spread would make more moves pay.
func (p *Planner) hopeless(ideal, before, price, bestNet float64) bool {
	most := (before-ideal)/ideal*100 - price*float64(len(p.pending)+1)
	return most <= bestNet
}
