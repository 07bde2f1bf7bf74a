package experts

import (
	"time"
)

// Policy are the weights and paces of a holder.
type Policy struct {
	// ObservePace is the time between two looks at all ranks. Passes of loaded groups took
	// 50 to 110 ms: looks each 75 ms see a jump of demand in the first or second pass after
	// it.
	ObserveInterval time.Duration
	// HalfLife is the time in which the estimate of demand forgets half.
	HalfLife time.Duration
	// PassPart is the part of the longest pause between events that a pass's own work
	// may take: prompts that are read make it longer. It gives the skew, the slowest
	// rank's time over the mean, from which on a new map is planned.
	PassFraction float64
	// TargetPart says how far a plan goes: 0 to a skew of 1, 1 not beyond the trigger.
	TargetFraction float64
	// LeastTrigger and MostTrigger bound the trigger.
	MinTrigger, MaxTrigger float64
	// MovePrice is what loading one expert has to gain, in per cent of a set's time.
	MoveCost float64
	// Pinned keeps the map in use, whatever the demand.
	Pinned bool
}

// DefaultPolicy is what holders go by; docs/decisions, 0007 and 0008, say why.
var DefaultPolicy = Policy{
	ObserveInterval: 75 * time.Millisecond,
	HalfLife:        500 * time.Millisecond,
	PassFraction:    0.58,
	TargetFraction:  0.6,
	MinTrigger:      1.2,
	MaxTrigger:      1.9,
	MoveCost:        1.0,
}

// trigger is the skew from which on a new map pays: the busier the ranks, the
// longer a pass is without any skew, and the less of it fits.
func (h *Holder) skewTrigger() float64 {
	policy, e := h.policy(), h.lease.Engine
	if e.Step <= 0 || h.lease.MaxEventGap <= 0 {
		return policy.MinTrigger // nothing tells how long a pass may last
	}
	busiest := 0
	for _, r := range h.state.reports {
		busiest = max(busiest, r.Running)
	}
	step := e.Step + time.Duration(busiest)*e.StepPerRequest
	even := float64(e.Stride) * step.Seconds()
	room := policy.PassFraction * h.lease.MaxEventGap.Seconds() / even
	skew := (room - (1 - e.ExpertShare)) / max(e.ExpertShare, minExpertShare)
	return min(max(skew, policy.MinTrigger), policy.MaxTrigger)
}

// speeds are the ranks' speeds relative to a healthy one's.
func (h *Holder) speeds() []float64 {
	speeds := make([]float64, h.shape.Ranks)
	for rank := range speeds {
		speeds[rank] = 1 / max(h.state.reports[rank].Slowdown, 1)
	}
	return speeds
}
