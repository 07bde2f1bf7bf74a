package rebalance

// Trigger asks for a plan out of turn when the group's measured skew rises well
// above what the last plan left: a sudden peak or straggler costs a few steps
// then, not the rest of a planning interval. Not safe for concurrent use.
type Trigger struct {
	expected float64
	armed    bool
}

// triggerRatio is the measured skew over the expected one that counts as
// sudden. Noise and drift within an interval stay below it.
const triggerRatio = 1.08

// Planned notes the skew expected after a plan.
func (t *Trigger) Planned(expected float64) {
	t.expected = expected
	t.armed = true
}

// Due tells whether to plan out of turn. It fires once per plan, so that a skew
// that no plan can lower doesn't keep the planner busy.
func (t *Trigger) Due(measured float64) bool {
	if !t.armed || measured < t.expected*triggerRatio {
		return false
	}
	t.armed = false
	return true
}
