package experts

import (
	"time"
)

// Verdict takes in what a rank's engine said to an order.
func (s *MapSwitch) HandleResult(now time.Time, rank int, order Command, verdict Result) {
	if verdict == Fenced {
		s.fenced = true
		return
	}
	if verdict == NoResponse && (order.Operation == Arm || order.Operation == Hold) {
		s.unanswered++
	}
	if verdict != NoResponse && order.Operation == Release && s.strays[rank] == order.Pass {
		s.strays[rank] = 0
	}
	if verdict == NoResponse || !s.current(rank, order) {
		return
	}
	switch order.Operation {
	case Prepare:
		if s.stage == StageBurn {
			s.burned(rank, verdict)
		} else {
			s.prepared(rank, verdict)
		}
	case Hold:
		s.held(verdict)
	case Arm:
		s.armed(rank, verdict)
	case Release:
		s.released(now)
	case Disarm:
		s.disarmed(rank)
	}
}

// current tells whether a rank's order belongs to the present stage.
func (s *MapSwitch) current(rank int, order Command) bool {
	if order.Epoch != s.epoch {
		return false
	}
	if order.Operation == Disarm {
		return s.stage == StageUndo && order.Pass == s.pass
	}
	if order.Version != s.version {
		return false
	}
	switch order.Operation {
	case Prepare:
		return s.stage == StagePrepare || s.stage == StageBurn
	case Hold:
		return s.stage == StageHold && order.Pass == s.pass && rank == s.holdRank
	case Arm:
		return s.stage == StageArm && order.Pass == s.pass
	case Release:
		return s.stage == StageRelease && order.Pass == s.pass && rank == s.holdRank
	case Disarm:
	}
	return false
}

// prepared notes that a rank copies the experts. A rank that refuses can't be
// brought to this map; nothing is armed, so the switch is given up.
func (s *MapSwitch) prepared(rank int, verdict Result) {
	if verdict == Accepted || s.reports[rank].Prepared == s.version {
		s.confirmed[rank] = true
		return
	}
	s.enter(StageIdle)
}

// held notes the answer to a hold. A pass that has begun can't be held.
func (s *MapSwitch) held(verdict Result) {
	if verdict == Accepted {
		s.enter(StageArm)
		return
	}
	s.holdsLeft--
	if s.holdsLeft == 0 {
		s.enter(StageIdle)
		return
	}
	s.pass = max(s.pass+1+s.extra, s.newestPass()+1)
}

// armed notes that a rank switches at the pass. A refusal is tried again: the
// pass is held, and other ranks may be armed.
func (s *MapSwitch) armed(rank int, verdict Result) {
	if verdict != Accepted {
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

func (s *MapSwitch) released(now time.Time) {
	s.releasedAt = now
	s.enter(StageSettle)
}

// Abandon gives up a switch of which nothing is armed or held.
func (s *MapSwitch) Abort() {
	if s.stage == StagePrepare {
		s.enter(StageIdle)
	}
}
