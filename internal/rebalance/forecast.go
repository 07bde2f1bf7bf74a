package rebalance

// Smoother follows popularity through noisy, late reports, and can anticipate
// how it changes from yesterday's same time of day. Not safe for concurrent use.
type Smoother struct {
	weight  float64
	slots   int // times of day remembered
	current Popularity
	history []Popularity // by time of day, as of the last day
	// before is yesterday's popularity at the time of day of the last report.
	before  Popularity
	started bool
}

const (
	// maxTrend bounds what yesterday may do to today's estimate, both ways.
	maxTrend = 1.5
	// surprise is the factor between a report and the smoothed value from which on
	// it's taken for a change. Measurement noise of 5% stays far below.
	surprise = 1.3
)

// NewSmoother returns a smoother. weight is a new report's weight, above 0 and
// at most 1; slotsPerDay is how many times of day are remembered, 0 for none.
func NewSmoother(shape Shape, weight float64, slotsPerDay int) *Smoother {
	return &Smoother{
		weight: weight, slots: slotsPerDay,
		current: NewPopularity(shape), history: make([]Popularity, slotsPerDay),
	}
}

// Observe takes in a report for a time of day.
func (s *Smoother) Observe(slot int, report Popularity) {
	weight := s.weight
	if !s.started {
		weight = 1
		s.started = true
	}
	for layer := range report {
		current := s.current[layer]
		for expert, value := range report[layer] {
			current[expert] += weightOf(value, current[expert], weight) * (value - current[expert])
		}
	}
	if s.slots > 0 {
		s.before = s.history[slot%s.slots]
		s.history[slot%s.slots] = s.current.clone()
	}
}

// weightOf takes a report at once when it's far from the present value: that is
// a change, not noise.
func weightOf(value, current, weight float64) float64 {
	if value > current*surprise || value*surprise < current {
		return 1
	}
	return weight
}

// Estimate returns the popularity expected at a time of day: the present one,
// changed as yesterday changed from the last report's time of day to that.
func (s *Smoother) Estimate(next int) Popularity {
	if s.slots == 0 || s.before == nil || s.history[next%s.slots] == nil {
		return s.current
	}
	after := s.history[next%s.slots]
	estimate := s.current.clone()
	for layer := range estimate {
		for expert := range estimate[layer] {
			estimate[layer][expert] *= trendOf(s.before[layer][expert], after[layer][expert])
		}
	}
	return estimate
}

func trendOf(before, after float64) float64 {
	if before <= 0 {
		return 1
	}
	return min(max(after/before, 1/maxTrend), maxTrend)
}

func (p Popularity) clone() Popularity {
	c := make(Popularity, len(p))
	for layer := range p {
		c[layer] = append([]float64(nil), p[layer]...)
	}
	return c
}
