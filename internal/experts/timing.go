package experts

import (
	"math"
	"time"
)

const (
	// passWeight is the weight of the newest measured pass time.
	passTimeWeight = 0.2
	// worthLead is the part of a pass from which on arming is worth a lead: below it,
	// the pass is hardly ever held. leadSpare is added to what the last arming took.
	minLeadFraction = 0.5
	leadMargin      = 1
	// ranksPerLead is how many ranks make one pass of lead until an arming has been
	// measured.
	ranksPerLeadPass = 24
)

// timePasses follows how long a pass takes.
func (h *Holder) updatePassTime() {
	newest, now := h.state.newestPass(), h.now()
	if passes := newest - h.lastPass; passes > 0 && h.lastPass > 0 {
		took := now.Sub(h.lastPassAt) / time.Duration(passes)
		if h.passTime == 0 {
			h.passTime = took
		}
		h.passTime += time.Duration(passTimeWeight * float64(took-h.passTime))
	}
	if newest != h.lastPass {
		h.lastPass, h.lastPassAt = newest, now
	}
}

// timeArming measures how long it takes to arm all ranks: a pass that is held
// for longer than it would have taken to come makes every stream late.
func (h *Holder) updateArmingPasses(before Stage) {
	now := h.now()
	switch {
	case before == StageHold && h.state.Stage() == StageArm:
		h.armingStartedAt = now
	case before == StageArm && h.state.Stage() != StageArm && h.passTime > 0 && !h.armingStartedAt.IsZero():
		h.state.SetArmingPasses(leadPasses(now.Sub(h.armingStartedAt), h.passTime))
		h.armingStartedAt = time.Time{}
	}
}

// lead is how many passes ahead a pass must be held when arming takes a time.
func leadPasses(arming, pass time.Duration) int64 {
	passes := float64(arming) / float64(pass)
	if passes < minLeadFraction {
		return 0
	}
	return int64(math.Ceil(passes)) + leadMargin
}

// pace is the time between two looks at all ranks.
func (h *Holder) pollInterval() time.Duration {
	interval := h.policy().ObserveInterval
	if h.state.Stage() != StageIdle {
		interval = switchPollInterval
	}
	return max(interval, time.Duration(h.shape.Ranks)*pollIntervalPerRank)
}

// windows is into how many parts the sets are divided, so that the counts of one
// part fit into an answer.
func (h *Holder) countWindows() int {
	setsPerWindow := max(countsPerQuery/h.shape.Experts, 1)
	return (h.shape.Layers + setsPerWindow - 1) / setsPerWindow
}

// window returns which counts a rank is asked for this time: the ranks tell
// different parts, and each the next part at the next time.
func (h *Holder) countWindow(rank int) (from, to int) {
	windows := h.countWindows()
	index := (rank + h.countRound) % windows
	from, to = index*h.shape.Layers/windows, (index+1)*h.shape.Layers/windows
	return from * h.shape.Experts, to * h.shape.Experts
}

// countsDue tells whether counts may be asked for again: those of large groups
// would fill the holder's link.
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

// patience is a timeout that grows with the ranks that are called at once.
func (h *Holder) scaledTimeout(base, perRank time.Duration) time.Duration {
	return base + time.Duration(h.shape.Ranks)*perRank
}
