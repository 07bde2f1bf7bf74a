package experts

import (
	"time"
)

// resolveHold finds a hold that nobody is going to release: of a holder that
// died, or of an order that was carried out late.
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
		s.enter(StageUndo)
	}
}

// heldRank returns a rank that holds a pass, or -1.
func (s *MapSwitch) heldRank(now time.Time) int {
	for rank, r := range s.reports {
		trusted := !s.reportedAt[rank].IsZero() && !s.reportedAt[rank].Before(s.trustFrom)
		if trusted && r.Held != 0 && !s.recentlyReleased(now, r.Held) {
			return rank
		}
	}
	return -1
}

// formerHolderSilent tells whether every rank has reported but that of the
// former holder, which can't be reached.
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

// someUnarmed tells whether a rank that reports isn't armed. Then the former
// holder's own rank isn't either, and it can't have released the hold.
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

// stray returns a held pass that this switch doesn't hold or has released. While
// idle, resolveHold looks at it instead: an earlier holder may have armed ranks.
func (s *MapSwitch) strayHold(now time.Time, rank int, held int64) int64 {
	own := held == s.pass && rank == s.holdRank && s.stage != StageSettle
	if held == 0 || s.stage == StageIdle || own || s.recentlyReleased(now, held) {
		return 0
	}
	return held
}

// finish completes a switch that an earlier holder began. A hold is placed only
// when every rank has prepared the map, and Arm may have been sent to any of
// them since, so all are armed before the release: undoing could meet an Arm
// that is carried out late.
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

// disarmed notes that a rank isn't armed. A refusal says the same.
func (s *MapSwitch) handleDisarmResult(rank int) {
	if s.confirm(rank) {
		s.version = s.lastVersion + 1
		s.lastVersion = s.version
		s.enter(StageBurn)
	}
}

// burned notes what a rank said to the version that is never used. A refusal
// means that an Arm was carried out late, or that the rank has had the version.
func (s *MapSwitch) handleBurnResult(rank int, result Result) {
	if result != Accepted {
		s.enter(StageUndo)
		return
	}
	if s.confirm(rank) {
		s.version = s.reports[rank].Map
		s.enter(StageRelease)
	}
}

// confirmReachable notes a rank's confirmation. It tells whether all but the
// former holder's have confirmed.
func (s *MapSwitch) confirm(rank int) bool {
	s.confirmed[rank] = true
	for other, confirmed := range s.confirmed {
		if !confirmed && other != s.formerRank {
			return false
		}
	}
	return true
}

// SetPresent tells the map in use, as far as it is known.
func (s *MapSwitch) SetCurrentMap(lists [][][]int) { s.currentMap = lists }
