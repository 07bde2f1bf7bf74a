package experts

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/sirupsen/logrus"
)

// movesAtOnce bounds the moves of one switch, so that the map goes to the ranks as
// a difference in one datagram. Two small switches are quicker than a large one:
// 0.3 s each, against 0.9 s for a map of 72 ranks that went whole.
const maxMovesPerSwitch = 170

const (
	// switchAtFirst is what a switch is taken to cost besides its copies until one has
	// been measured, switchWeight the weight of the newest.
	initialSwitchTime = 300 * time.Millisecond
	switchTimeWeight  = 0.3
)

// plan begins a switch if one pays.
func (h *Holder) plan() {
	if h.state.Stage() == StagePrepare && h.now().Sub(h.switchStartedAt) > prepareTimeout {
		h.log.WithField("version", h.state.Version()).Warn("switch given up: not prepared in time")
		h.state.Abort()
	}
	if h.planOutdated() {
		h.log.WithField("version", h.state.Version()).Info("switch given up: demand has jumped since it was planned")
		h.state.Abort()
	}
	if h.planned != nil && h.state.Stage() == StageIdle {
		h.finishSwitch()
	}
	if !h.state.Ready() || h.placement == nil || h.placementEpoch != h.state.Epoch() || h.placementVersion != h.mapInUse() || h.demand.Weight() < minPlanChoices || !h.demand.Settled() {
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
	}).Info("expert map: switch begun")
}

// outrun tells whether demand has jumped since the present switch was planned, while
// nothing of it is armed or held: its copies are for what was liked before, and the
// engines take a newer map at any time.
func (h *Holder) planOutdated() bool {
	return h.state.Stage() == StagePrepare && h.planned != nil && h.demand.Settled() && h.demand.JumpedAt().After(h.switchStartedAt)
}

// finishSwitch notes the end of a switch.
func (h *Holder) finishSwitch() {
	log := h.log.WithFields(logrus.Fields{
		"version": h.state.Version(), "epoch": h.state.Epoch(), "took_ms": h.now().Sub(h.switchStartedAt).Milliseconds(),
	})
	if h.state.Version() != 0 && h.mapInUse() == h.state.Version() {
		h.placement, h.placementEpoch, h.placementVersion = h.planned, h.state.Epoch(), h.state.Version()
		h.updateSwitchTime()
		log.Info("expert map: in use at all ranks")
		h.notifyMapChange()
	} else {
		log.Warn("expert map: switch ended without the map in use")
	}
	h.planned = nil
}

// times are what a plan costs in time, by the engine's description and what the last
// switches took.
func (h *Holder) timing() rebalance.Timing {
	return rebalance.Timing{Copy: h.lease.Engine.CopyTime, Switch: h.switchTime}
}

// timeSwitch measures what a switch takes besides its copies.
func (h *Holder) updateSwitchTime() {
	took := h.now().Sub(h.switchStartedAt) - time.Duration(h.plannedCopies)*h.lease.Engine.CopyTime
	h.switchTime += time.Duration(switchTimeWeight * float64(max(took, 0)-h.switchTime))
}

// tellChange tells who asked for it that a new map is in use.
func (h *Holder) notifyMapChange() {
	if h.lease.OnMapChange == nil {
		return
	}
	h.lease.OnMapChange(MapChange{
		Fence: h.lease.Fence, Epoch: h.state.Epoch(), Version: h.state.Version(), Pass: h.state.pass, Moves: h.plannedMoves,
	})
}
