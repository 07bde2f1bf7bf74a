package rebalance

import "slices"

// Stragglers estimates each rank's speed from the time that it was busy itself
// in each step. Time spent waiting for other ranks isn't counted, so a rank
// that merely waits in lock-step is never blamed. Not safe for concurrent use.
type Stragglers struct {
	speeds []float64
	slow   []int // steps in a row over the threshold
}

const (
	// slowRatio is the busy time, over the median for the same work, that counts
	// as slow.
	slowRatio = 1.3
	// slowSteps is how many slow steps in a row make a straggler.
	slowSteps   = 3
	speedWeight = 0.3
)

// NewStragglers returns an estimator that takes all ranks for healthy.
func NewStragglers(ranks int) *Stragglers {
	s := &Stragglers{speeds: make([]float64, ranks), slow: make([]int, ranks)}
	for rank := range s.speeds {
		s.speeds[rank] = 1
	}
	return s
}

// Observe takes in one step: how long each rank was busy, and the work that it
// had, in any unit.
func (s *Stragglers) Observe(busy, work []float64) {
	perWork := make([]float64, len(busy))
	for rank := range busy {
		if work[rank] > 0 {
			perWork[rank] = busy[rank] / work[rank]
		}
	}
	median := medianOf(perWork)
	if median == 0 {
		return
	}
	for rank, value := range perWork {
		if value == 0 {
			continue
		}
		ratio := value / median
		if ratio > slowRatio {
			s.slow[rank]++
		} else {
			s.slow[rank] = 0
		}
		s.speeds[rank] += speedWeight * (1/ratio - s.speeds[rank])
	}
}

func medianOf(values []float64) float64 {
	var known []float64
	for _, v := range values {
		if v > 0 {
			known = append(known, v)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// Slow tells whether a rank is a straggler now.
func (s *Stragglers) Slow(rank int) bool { return s.slow[rank] >= slowSteps }

// Speeds returns the ranks' speeds for Plan: 1 for healthy ranks, so that noise
// moves nothing, and the estimate for stragglers.
func (s *Stragglers) Speeds() []float64 {
	speeds := make([]float64, len(s.speeds))
	for rank := range speeds {
		speeds[rank] = 1
		if s.Slow(rank) {
			speeds[rank] = s.speeds[rank]
		}
	}
	return speeds
}
