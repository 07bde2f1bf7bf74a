package experts

import (
	"math"
	"time"
)

const (
	// passTimeWeight is the weight of the newest sample in the moving average.
	passTimeWeight = 0.2
	// minLeadFraction is the fraction of a pass that arming must take before the
	// switch is scheduled further ahead: a shorter arming hardly ever keeps the pass
	// waiting. leadMargin is added to the lead, in passes.
	minLeadFraction = 0.5
	leadMargin      = 1
	// ranksPerLeadPass estimates the lead from the group's size until an arming
	// has been timed.
	ranksPerLeadPass = 24
)

// updatePassTime updates the moving average of the time that a pass takes.
func (h *Holder) updatePassTime() {
	newest, now := h.state.newestPass(), h.now()
	if passes := newest - h.lastPass; passes > 0 && h.lastPass > 0 {
		sample := now.Sub(h.lastPassAt) / time.Duration(passes)
		if h.passTime == 0 {
			h.passTime = sample
		}
		h.passTime += time.Duration(passTimeWeight * float64(sample-h.passTime))
	}
	if newest != h.lastPass {
		h.lastPass, h.lastPassAt = newest, now
	}
}

// updateLeadPasses times the arming of all ranks and sets the lead of the next
// switch. If the lead is too short, the held pass delays every stream.
func (h *Holder) updateLeadPasses(before Stage) {
	now := h.now()
	switch {
	case before == StageHold && h.state.Stage() == StageArm:
		h.armingStartedAt = now
	case before == StageArm && h.state.Stage() != StageArm && h.passTime > 0 && !h.armingStartedAt.IsZero():
		h.state.SetLeadPasses(leadPasses(now.Sub(h.armingStartedAt), h.passTime))
		h.armingStartedAt = time.Time{}
	}
}

// leadPasses returns how many passes ahead a pass must be held, given the time
// that arming takes.
func leadPasses(arming, pass time.Duration) int64 {
	passes := float64(arming) / float64(pass)
	if passes < minLeadFraction {
		return 0
	}
	return int64(math.Ceil(passes)) + leadMargin
}

// pollInterval returns the time between two observations of all ranks.
func (h *Holder) pollInterval() time.Duration {
	interval := h.policy().ObserveInterval
	if h.state.Stage() != StageIdle {
		interval = switchPollInterval
	}
	return max(interval, time.Duration(h.shape.Ranks)*pollIntervalPerRank)
}

// countWindows returns the number of windows that the layers are divided into, so
// that the counts of one window fit into a datagram.
func (h *Holder) countWindows() int {
	layersPerWindow := max(countsPerQuery/h.shape.Experts, 1)
	return (h.shape.Layers + layersPerWindow - 1) / layersPerWindow
}

// countWindow returns the range of counts to query from a rank in this round. The
// ranks report different windows, and each rank the next one in the next round.
func (h *Holder) countWindow(rank int) (from, to int) {
	windows := h.countWindows()
	index := (rank + h.countRound) % windows
	from, to = index*h.shape.Layers/windows, (index+1)*h.shape.Layers/windows
	return from * h.shape.Experts, to * h.shape.Experts
}

// beginCountRound reports whether counts may be queried now, and begins a round if
// so. Rounds are spaced to keep the counts within CountsBandwidth.
func (h *Holder) beginCountRound() bool {
	bytes := bytesPerCount * float64(h.shape.Ranks*h.shape.Layers*h.shape.Experts) / float64(h.countWindows())
	interval := time.Duration(bytes / max(h.ranks.CountsBandwidth(), 1) * float64(time.Second))
	if h.now().Sub(h.countRoundAt) < interval {
		return false
	}
	h.countRoundAt = h.now()
	h.countRound++
	return true
}

// scaledTimeout returns a timeout that grows with the number of ranks called at once.
func (h *Holder) scaledTimeout(base, perRank time.Duration) time.Duration {
	return base + time.Duration(h.shape.Ranks)*perRank
}
