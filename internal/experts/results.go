package experts

import (
	"time"
)

// HandleResult updates the state with the result of a command to a rank.
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
		if s.stage == StageInvalidate {
			s.handleInvalidateResult(rank, result)
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

// isCurrent reports whether a command belongs to the current stage.
func (s *MapSwitch) isCurrent(rank int, command Command) bool {
	if command.Epoch != s.epoch {
		return false
	}
	if command.Operation == Disarm {
		return s.stage == StageDisarm && command.Pass == s.pass
	}
	if command.Version != s.version {
		return false
	}
	switch command.Operation {
	case Prepare:
		return s.stage == StagePrepare || s.stage == StageInvalidate
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

// handlePrepareResult records that a rank copies the experts. A refusal aborts the
// switch: the rank can't be brought to this map, and nothing is armed yet.
func (s *MapSwitch) handlePrepareResult(rank int, result Result) {
	if result == Accepted || s.reports[rank].Prepared == s.version {
		s.confirmed[rank] = true
		return
	}
	s.enter(StageIdle)
}

// handleHoldResult starts arming after a hold was placed. A pass that has already
// begun can't be held, so a later one is attempted.
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

// handleArmResult records that a rank will switch at the pass. A refused Arm is
// repeated: the pass is held, and other ranks may be armed.
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

// Abort ends a switch of which nothing is armed or held.
func (s *MapSwitch) Abort() {
	if s.stage == StagePrepare {
		s.enter(StageIdle)
	}
}
