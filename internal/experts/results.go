package experts

import (
	"time"
)

// Verdict takes in what a rank's engine said to an order.
func (s *MapSwitch) HandleResult(now time.Time, rank int, command Command, result Result) {
	if result == Fenced {
		s.fenced = true
		return
	}
	if result == NoResponse && (command.Operation == Arm || command.Operation == Hold) {
		s.timeouts++
	}
	if result != NoResponse && command.Operation == Release && s.strayHolds[rank] == command.Pass {
		s.strayHolds[rank] = 0
	}
	if result == NoResponse || !s.isCurrent(rank, command) {
		return
	}
	switch command.Operation {
	case Prepare:
		if s.stage == StageBurn {
			s.handleBurnResult(rank, result)
		} else {
			s.handlePrepareResult(rank, result)
		}
	case Hold:
		s.handleHoldResult(result)
	case Arm:
		s.handleArmResult(rank, result)
	case Release:
		s.markReleased(now)
	case Disarm:
		s.handleDisarmResult(rank)
	}
}

// current tells whether a rank's order belongs to the present stage.
func (s *MapSwitch) isCurrent(rank int, command Command) bool {
	if command.Epoch != s.epoch {
		return false
	}
	if command.Operation == Disarm {
		return s.stage == StageUndo && command.Pass == s.pass
	}
	if command.Version != s.version {
		return false
	}
	switch command.Operation {
	case Prepare:
		return s.stage == StagePrepare || s.stage == StageBurn
	case Hold:
		return s.stage == StageHold && command.Pass == s.pass && rank == s.holdRank
	case Arm:
		return s.stage == StageArm && command.Pass == s.pass
	case Release:
		return s.stage == StageRelease && command.Pass == s.pass && rank == s.holdRank
	case Disarm:
	}
	return false
}

// prepared notes that a rank copies the experts. A rank that refuses can't be
// brought to this map; nothing is armed, so the switch is given up.
func (s *MapSwitch) handlePrepareResult(rank int, result Result) {
	if result == Accepted || s.reports[rank].Prepared == s.version {
		s.confirmed[rank] = true
		return
	}
	s.enter(StageIdle)
}

// held notes the answer to a hold. A pass that has begun can't be held.
func (s *MapSwitch) handleHoldResult(result Result) {
	if result == Accepted {
		s.enter(StageArm)
		return
	}
	s.holdAttemptsLeft--
	if s.holdAttemptsLeft == 0 {
		s.enter(StageIdle)
		return
	}
	s.pass = max(s.pass+1+s.extraPasses, s.newestPass()+1)
}

// armed notes that a rank switches at the pass. A refusal is tried again: the
// pass is held, and other ranks may be armed.
func (s *MapSwitch) handleArmResult(rank int, result Result) {
	if result != Accepted {
		return
	}
	s.confirmed[rank] = true
	for _, confirmed := range s.confirmed {
		if !confirmed {
			return
		}
	}
	s.enter(StageRelease)
}

func (s *MapSwitch) markReleased(now time.Time) {
	s.releasedAt = now
	s.enter(StageSettle)
}

// Abandon gives up a switch of which nothing is armed or held.
func (s *MapSwitch) Abort() {
	if s.stage == StagePrepare {
		s.enter(StageIdle)
	}
}
