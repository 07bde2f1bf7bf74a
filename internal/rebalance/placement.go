// Package rebalance decides which expert replicas of a group to move. It has no
// side effects.
package rebalance

import (
	"slices"

	"github.com/pkg/errors"
)

// Shape holds the dimensions of a group.
type Shape struct {
	Ranks, Experts, Layers int
	// Slots is the number of expert replicas that each rank holds per layer.
	Slots int
}

// Empty marks a slot without an expert.
const Empty = -1

// Placement is an expert map: the expert in each slot of each rank, by layer. A rank
// holds an expert at most once per layer.
type Placement struct {
	Shape Shape
	// slots[layer][rank*Shape.Slots+slot] is an expert or Empty.
	slots [][]int32
}

// NewPlacement returns a placement that fills all slots with experts round robin. The engines'
// default map has each expert only once.
func NewPlacement(shape Shape) (*Placement, error) {
	if shape.Ranks*shape.Slots < shape.Experts {
		return nil, errors.Errorf("%d ranks with %d slots each cannot hold %d experts", shape.Ranks, shape.Slots, shape.Experts)
	}
	if shape.Slots > shape.Experts {
		return nil, errors.Errorf("%d slots per rank exceed the number of experts, %d", shape.Slots, shape.Experts)
	}
	p := &Placement{Shape: shape, slots: make([][]int32, shape.Layers)}
	for layer := range p.slots {
		p.slots[layer] = make([]int32, shape.Ranks*shape.Slots)
		for rank := range shape.Ranks {
			for slot := range shape.Slots {
				p.slots[layer][rank*shape.Slots+slot] = int32((rank + slot*shape.Ranks) % shape.Experts)
			}
		}
		p.repairDuplicates(layer)
	}
	return p, nil
}

// repairDuplicates makes the experts of each rank distinct. Round robin may assign a rank
// the same expert twice if the numbers of ranks and experts have a common divisor.
func (p *Placement) repairDuplicates(layer int) {
	for rank := range p.Shape.Ranks {
		held := p.rank(layer, rank)
		for slot := range held {
			for contains(held[:slot], held[slot]) {
				held[slot] = (held[slot] + 1) % int32(p.Shape.Experts)
			}
		}
	}
}

func contains(experts []int32, expert int32) bool {
	for _, e := range experts {
		if e == expert {
			return true
		}
	}
	return false
}

// rank returns the experts of one rank in one layer.
func (p *Placement) rank(layer, rank int) []int32 {
	from := rank * p.Shape.Slots
	return p.slots[layer][from : from+p.Shape.Slots]
}

// Clone returns a deep copy.
func (p *Placement) Clone() *Placement {
	c := &Placement{Shape: p.Shape, slots: make([][]int32, len(p.slots))}
	for layer := range p.slots {
		c.slots[layer] = append([]int32(nil), p.slots[layer]...)
	}
	return c
}

// Move replaces the expert in a slot. Expert may be Empty.
type Move struct {
	Layer, Rank, Slot int
	Expert            int
}

// Apply applies moves.
func (p *Placement) Apply(moves []Move) {
	for _, m := range moves {
		p.slots[m.Layer][m.Rank*p.Shape.Slots+m.Slot] = int32(m.Expert)
	}
}

// Validate returns an error unless every expert has a replica in every layer and no
// rank holds an expert twice.
func (p *Placement) Validate() error {
	for layer := range p.slots {
		seen := make([]bool, p.Shape.Experts)
		for rank := range p.Shape.Ranks {
			held := p.rank(layer, rank)
			for slot, expert := range held {
				if expert == Empty {
					continue
				}
				if contains(held[:slot], expert) {
					return errors.Errorf("layer %d: rank %d holds expert %d twice", layer, rank, expert)
				}
				seen[expert] = true
			}
		}
		for expert, found := range seen {
			if !found {
				return errors.Errorf("layer %d: expert %d has no replica", layer, expert)
			}
		}
	}
	return nil
}

// Distance returns the number of experts that must be loaded to get from p to other.
func (p *Placement) Distance(other *Placement) int {
	loads := 0
	for layer := range p.slots {
		for rank := range p.Shape.Ranks {
			held := p.rank(layer, rank)
			for _, expert := range other.rank(layer, rank) {
				if expert != Empty && !contains(held, expert) {
					loads++
				}
			}
		}
	}
	return loads
}

// MaxLoads returns the largest number of experts that one rank must load, over all
// layers, to get from p to other.
func (p *Placement) MaxLoads(other *Placement) int {
	loads := make([]int, p.Shape.Ranks)
	for layer := range p.slots {
		for rank := range p.Shape.Ranks {
			held := p.rank(layer, rank)
			for _, expert := range other.rank(layer, rank) {
				if expert != Empty && !contains(held, expert) {
					loads[rank]++
				}
			}
		}
	}
	return slices.Max(loads)
}

// Popularity is the work that each expert of each layer receives, in any unit.
type Popularity [][]float64

// NewPopularity returns a Popularity of zeros.
func NewPopularity(shape Shape) Popularity {
	p := make(Popularity, shape.Layers)
	for layer := range p {
		p[layer] = make([]float64, shape.Experts)
	}
	return p
}

// Total returns the work of one layer.
func (p Popularity) Total(layer int) float64 { return sum(p[layer]) }

// Skew returns the step time of the group relative to a perfectly balanced one. The
// slowest rank of each layer determines the time, since ranks wait for each other in
// each layer. speeds are relative to a healthy rank.
func (p *Placement) Skew(popularity Popularity, speeds []float64) float64 {
	slowest, ideal := 0.0, 0.0
	capacity := sum(speeds)
	state := newLayer(p.Shape)
	for layer := range p.slots {
		state.load(p, layer, popularity[layer], speeds)
		slowest += state.slowestTime()
		ideal += sum(popularity[layer]) / capacity
	}
	if ideal == 0 {
		return 1
	}
	return slowest / ideal
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// NewPlacementFromLists returns the placement with the given experts by layer and rank.
// Remaining slots are empty.
func NewPlacementFromLists(shape Shape, lists [][][]int) (*Placement, error) {
	p := &Placement{Shape: shape, slots: make([][]int32, shape.Layers)}
	if len(lists) != shape.Layers {
		return nil, errors.Errorf("placement: %d layers, want %d", len(lists), shape.Layers)
	}
	for layer, ranks := range lists {
		if len(ranks) != shape.Ranks {
			return nil, errors.Errorf("placement: layer %d: %d ranks, want %d", layer, len(ranks), shape.Ranks)
		}
		p.slots[layer] = make([]int32, shape.Ranks*shape.Slots)
		for rank, experts := range ranks {
			if len(experts) > shape.Slots {
				return nil, errors.Errorf("placement: layer %d: rank %d holds %d experts, but has %d slots", layer, rank, len(experts), shape.Slots)
			}
			held := p.rank(layer, rank)
			for slot := range held {
				held[slot] = Empty
			}
			for slot, expert := range experts {
				if expert < 0 || expert >= shape.Experts {
					return nil, errors.Errorf("placement: layer %d: expert %d does not exist", layer, expert)
				}
				held[slot] = int32(expert)
			}
		}
	}
	return p, p.Validate()
}

// Lists returns the experts by layer and rank.
func (p *Placement) Lists() [][][]int {
	lists := make([][][]int, len(p.slots))
	for layer := range p.slots {
		lists[layer] = make([][]int, p.Shape.Ranks)
		for rank := range p.Shape.Ranks {
			experts := make([]int, 0, p.Shape.Slots)
			for _, expert := range p.rank(layer, rank) {
				if expert != Empty {
					experts = append(experts, int(expert))
				}
			}
			lists[layer][rank] = experts
		}
	}
	return lists
}
