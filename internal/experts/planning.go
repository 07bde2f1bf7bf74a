package experts

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/sirupsen/logrus"
)

// maxMovesPerSwitch bounds the moves of one switch, so that the difference of the
// maps fits into one datagram. Two small switches are faster than one large map
// sent over HTTP.
const maxMovesPerSwitch = 170

const (
	// initialSwitchTime is the estimate of what a switch takes besides copying, until
	// one has been timed. switchTimeWeight is the weight of the newest sample.
	initialSwitchTime = 300 * time.Millisecond
	switchTimeWeight  = 0.3
)

// plan ends a completed or outdated switch, and starts one if a better map is worth
// its cost.
func (h *Holder) plan() {
	if h.state.Stage() == StagePrepare && h.now().Sub(h.switchStartedAt) > prepareTimeout {
		h.log.WithField("version", h.state.Version()).Warn("map switch aborted: not prepared in time")
		h.state.Abort()
	}
	if h.planOutdated() {
		h.log.WithField("version", h.state.Version()).Info("map switch aborted: demand jumped after planning")
		h.state.Abort()
	}
	if h.planned != nil && h.state.Stage() == StageIdle {
		h.finishSwitch()
	}
	if !h.state.Ready() || h.placement == nil || h.placementEpoch != h.state.Epoch() || h.placementVersion != h.mapInUse() || h.demand.Weight() < minPlanSelections || !h.demand.Settled() {
		return
	}
	policy := h.policy()
	if policy.Pinned {
		return
	}
	speeds := h.speeds()
	popularity := h.demand.Popularity()
	before, trigger := h.placement.Skew(popularity, speeds), h.skewTrigger()
	if before < trigger {
		return
	}
	moves := h.planner.Plan(h.placement, popularity, speeds, rebalance.Options{
		SkewWeight: 1, CostWeight: policy.MoveCost,
		MaxMoves: maxMovesPerSwitch, MaxNewPerRank: h.lease.Engine.MaxNewPerPrepare, TargetRatio: 1 + (trigger-1)*policy.TargetFraction,
		Timing: h.timing(),
	})
	if len(moves) == 0 {
		return
	}
	next := h.placement.Clone()
	next.Apply(moves)
	after := next.Skew(popularity, speeds)
	h.planned, h.plannedMoves, h.switchStartedAt = next, len(moves), h.now()
	h.plannedCopies = h.placement.MaxLoads(next)
	h.state.Start(next.Lists())
	h.log.WithFields(logrus.Fields{
		"version": h.state.Version(), "epoch": h.state.Epoch(), "moves": len(moves), "skew": before, "trigger": trigger, "planned_skew": after,
		"copies": h.plannedCopies, "switch_ms": h.switchTime.Milliseconds(),
	}).Info("map switch started")
}

// planOutdated reports whether demand has jumped since the current switch was
// planned and nothing is armed or held yet. Its copies don't fit the new demand, and
// the engines accept a newer map.
func (h *Holder) planOutdated() bool {
	return h.state.Stage() == StagePrepare && h.planned != nil && h.demand.Settled() && h.demand.JumpedAt().After(h.switchStartedAt)
}

// finishSwitch records the outcome of a switch.
func (h *Holder) finishSwitch() {
	log := h.log.WithFields(logrus.Fields{
		"version": h.state.Version(), "epoch": h.state.Epoch(), "took_ms": h.now().Sub(h.switchStartedAt).Milliseconds(),
	})
	if h.state.Version() != 0 && h.mapInUse() == h.state.Version() {
		h.placement, h.placementEpoch, h.placementVersion = h.planned, h.state.Epoch(), h.state.Version()
		h.updateSwitchTime()
		log.Info("map switch completed")
		h.notifyMapChange()
	} else {
		log.Warn("map switch ended without the new map in use")
	}
	h.planned = nil
}

// timing returns the estimated duration of a plan.
func (h *Holder) timing() rebalance.Timing {
	return rebalance.Timing{Copy: h.lease.Engine.CopyTime, Switch: h.switchTime}
}

// updateSwitchTime updates the moving average of what a switch takes besides copying.
func (h *Holder) updateSwitchTime() {
	sample := h.now().Sub(h.switchStartedAt) - time.Duration(h.plannedCopies)*h.lease.Engine.CopyTime
	h.switchTime += time.Duration(switchTimeWeight * float64(max(sample, 0)-h.switchTime))
}

func (h *Holder) notifyMapChange() {
	if h.lease.OnMapChange == nil {
		return
	}
	h.lease.OnMapChange(MapChange{
		Fence: h.lease.Fence, Epoch: h.state.Epoch(), Version: h.state.Version(), Pass: h.state.pass, Moves: h.plannedMoves,
	})
}
