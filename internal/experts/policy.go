package experts

import (
	"time"
)

// Policy holds the tuning parameters of a holder.
type Policy struct {
	// ObserveInterval is the time between two observations of all ranks. It is
	// about the time of one pass of a loaded group, so that a jump of demand shows in
	// the first or second pass after it.
	ObserveInterval time.Duration
	// HalfLife is the half-life of the demand estimate.
	HalfLife time.Duration
	// TargetFraction is the fraction of the triggering excess skew that a plan may
	// leave: 0 aims at a skew of 1, 1 at the trigger.
	TargetFraction float64
	// MinTrigger and MaxTrigger bound the trigger.
	MinTrigger, MaxTrigger float64
	// MoveCost is the gain required for loading one expert, in percent of the layer's
	// time in perfect balance.
	MoveCost float64
	// Pinned keeps the map in use regardless of demand.
	Pinned bool
}

// DefaultPolicy is the default policy; see docs/decisions, 0007 and 0008.
var DefaultPolicy = Policy{
	ObserveInterval: 75 * time.Millisecond,
	HalfLife:        500 * time.Millisecond,
	TargetFraction:  0.6,
	MinTrigger:      1.2,
	MaxTrigger:      1.9,
	MoveCost:        1.0,
}

// skewTrigger returns the skew, the slowest rank's time over the mean, that triggers a new map: from there on a pass
// that also reads a whole chunk of prompts in each step would exceed MaxEventGap. The busier the ranks, the
// longer a balanced pass takes, and the less skew fits.
func (h *Holder) skewTrigger() float64 {
	policy, e := h.policy(), h.lease.Engine
	if e.Step <= 0 || h.lease.MaxEventGap <= 0 {
		return policy.MinTrigger // the pass time can't be bounded
	}
	busiest := 0
	for _, r := range h.state.reports {
		busiest = max(busiest, r.Running)
	}
	step := e.Step + time.Duration(busiest)*e.StepPerRequest
	balanced := float64(e.Stride) * step.Seconds()
	reading := float64(e.Stride) * e.ReadTime(e.ChunkTokens).Seconds()
	budget := (h.lease.MaxEventGap.Seconds() - reading) / balanced
	skew := (budget - (1 - e.ExpertShare)) / max(e.ExpertShare, minExpertShare)
	return min(max(skew, policy.MinTrigger), policy.MaxTrigger)
}

// speeds returns the speeds of the ranks relative to a healthy one.
func (h *Holder) speeds() []float64 {
	speeds := make([]float64, h.shape.Ranks)
	for rank := range speeds {
		speeds[rank] = 1 / max(h.state.reports[rank].Slowdown, 1)
	}
	return speeds
}
