package experts

import (
	"math"
	"time"
)

const (
	// passWeight is the weight of the newest measured pass time.
	passWeight = 0.2
	// worthLead is the part of a pass from which on arming is worth a lead: below it,
	// the pass is hardly ever held. leadSpare is added to what the last arming took.
	worthLead = 0.5
	leadSpare = 1
	// ranksPerLead is how many ranks make one pass of lead until an arming has been
	// measured.
	ranksPerLead = 24
)

// timePasses follows how long a pass takes.
func (h *Holder) timePasses() {
	newest, now := h.state.newestPass(), h.now()
	if passes := newest - h.passSeen; passes > 0 && h.passSeen > 0 {
		took := now.Sub(h.passSeenAt) / time.Duration(passes)
		if h.passTime == 0 {
			h.passTime = took
		}
		h.passTime += time.Duration(passWeight * float64(took-h.passTime))
	}
	if newest != h.passSeen {
		h.passSeen, h.passSeenAt = newest, now
	}
}

// timeArming measures how long it takes to arm all ranks: a pass that is held
// for longer than it would have taken to come makes every stream late.
func (h *Holder) timeArming(before Stage) {
	now := h.now()
	switch {
	case before == StageHold && h.state.Stage() == StageArm:
		h.armedFrom = now
	case before == StageArm && h.state.Stage() != StageArm && h.passTime > 0 && !h.armedFrom.IsZero():
		h.state.SetArmingPasses(lead(now.Sub(h.armedFrom), h.passTime))
		h.armedFrom = time.Time{}
	}
}

// lead is how many passes ahead a pass must be held when arming takes a time.
func lead(arming, pass time.Duration) int64 {
	passes := float64(arming) / float64(pass)
	if passes < worthLead {
		return 0
	}
	return int64(math.Ceil(passes)) + leadSpare
}

// pace is the time between two looks at all ranks.
func (h *Holder) pace() time.Duration {
	pace := h.policy().ObserveInterval
	if h.state.Stage() != StageIdle {
		pace = stagePace
	}
	return max(pace, time.Duration(h.shape.Ranks)*rankPace)
}

// windows is into how many parts the sets are divided, so that the counts of one
// part fit into an answer.
func (h *Holder) windows() int {
	perPart := max(countsPerLook/h.shape.Experts, 1)
	return (h.shape.Layers + perPart - 1) / perPart
}

// window returns which counts a rank is asked for this time: the ranks tell
// different parts, and each the next part at the next time.
func (h *Holder) window(rank int) (from, to int) {
	windows := h.windows()
	part := (rank + h.countRound) % windows
	from, to = part*h.shape.Layers/windows, (part+1)*h.shape.Layers/windows
	return from * h.shape.Experts, to * h.shape.Experts
}

// countsDue tells whether counts may be asked for again: those of large groups
// would fill the holder's link.
func (h *Holder) countsDue() bool {
	bytes := countBytes * float64(h.shape.Ranks*h.shape.Layers*h.shape.Experts) / float64(h.windows())
	apart := time.Duration(bytes / max(h.ranks.CountsBandwidth(), 1) * float64(time.Second))
	if h.now().Sub(h.countedAt) < apart {
		return false
	}
	h.countedAt = h.now()
	h.countRound++
	return true
}

// patience is a timeout that grows with the ranks that are called at once.
func (h *Holder) patience(base, each time.Duration) time.Duration {
	return base + time.Duration(h.shape.Ranks)*each
}
