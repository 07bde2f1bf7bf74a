package experts

import (
	"time"
)

// resolveHold finds a hold without an owner, placed by a former holder or by a
// delayed command, and completes or undoes the switch that it belongs to.
func (s *MapSwitch) resolveHold(now time.Time) {
	rank := s.heldRank(now)
	if rank < 0 {
		return
	}
	switch {
	case s.allReported():
		s.holdRank, s.pass = rank, s.reports[rank].Held
		s.completeSwitch()
	case s.onlyFormerHolderMissing() && s.anyUnarmed():
		s.holdRank, s.pass = rank, s.reports[rank].Held
		s.enter(StageDisarm)
	}
}

// heldRank returns a rank that holds a pass that wasn't just released, or -1.
func (s *MapSwitch) heldRank(now time.Time) int {
	for rank, r := range s.reports {
		trusted := !s.reportedAt[rank].IsZero() && !s.reportedAt[rank].Before(s.trustFrom)
		if trusted && r.Held != 0 && !s.recentlyReleased(now, r.Held) {
			return rank
		}
	}
	return -1
}

// onlyFormerHolderMissing reports whether all ranks have reported except that of
// the former holder, which is unreachable.
func (s *MapSwitch) onlyFormerHolderMissing() bool {
	for rank := range s.size {
		known := !s.reportedAt[rank].IsZero() && !s.reportedAt[rank].Before(s.trustFrom)
		if rank == s.formerRank {
			if known || !s.unreachable[rank] {
				return false
			}
		} else if !known {
			return false
		}
	}
	return s.formerRank >= 0
}

// anyUnarmed reports whether a reachable rank is unarmed. The former holder's own
// rank is unarmed then, too, and the hold can't have been released.
func (s *MapSwitch) anyUnarmed() bool {
	for rank, r := range s.reports {
		if rank != s.formerRank && r.Armed == 0 {
			return true
		}
	}
	return false
}

func (s *MapSwitch) recentlyReleased(now time.Time, pass int64) bool {
	return pass == s.pass && now.Sub(s.releasedAt) < releaseGrace
}

// strayHold returns the held pass if it doesn't belong to this switch, else 0. While
// idle it returns 0, and resolveHold handles the hold: a former holder may have
// armed ranks.
func (s *MapSwitch) strayHold(now time.Time, rank int, held int64) int64 {
	own := held == s.pass && rank == s.holdRank && s.stage != StageSettle
	if held == 0 || s.stage == StageIdle || own || s.recentlyReleased(now, held) {
		return 0
	}
	return held
}

// completeSwitch completes a switch that a former holder began. A hold is placed only
// after every rank has prepared the map, and any rank may have been sent an Arm since.
// So all ranks are armed before the release; a delayed Arm could defeat an undo. If
// the ranks don't all have a newer map prepared, the hold is only released.
func (s *MapSwitch) completeSwitch() {
	prepared := s.reports[0].Prepared
	if prepared > s.reports[0].Map && s.all(func(r RankReport) bool { return r.Prepared == prepared }) {
		s.version = prepared
		s.enter(StageArm)
		return
	}
	s.version = s.reports[0].Map
	s.enter(StageRelease)
}

// handleDisarmResult records that a rank is unarmed, which a refusal confirms, too.
func (s *MapSwitch) handleDisarmResult(rank int) {
	if s.confirm(rank) {
		s.version = s.lastVersion + 1
		s.lastVersion = s.version
		s.enter(StageInvalidate)
	}
}

// handleInvalidateResult records the result of preparing the unused version. A refusal
// means that a delayed Arm was executed, or that the rank already had the version.
func (s *MapSwitch) handleInvalidateResult(rank int, result Result) {
	if result != Accepted {
		s.enter(StageDisarm)
		return
	}
	if s.confirm(rank) {
		s.version = s.reports[rank].Map
		s.enter(StageRelease)
	}
}

// confirm records the confirmation of a rank. It reports whether all ranks except
// the former holder's have confirmed.
func (s *MapSwitch) confirm(rank int) bool {
	s.confirmed[rank] = true
	for other, confirmed := range s.confirmed {
		if !confirmed && other != s.formerRank {
			return false
		}
	}
	return true
}

// SetCurrentMap sets the map in use, as far as it is known.
func (s *MapSwitch) SetCurrentMap(lists [][][]int) { s.currentMap = lists }
