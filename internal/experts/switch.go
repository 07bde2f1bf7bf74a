package experts

import "time"

const (
	// passMargin is how many passes ahead of the newest reported one the first hold
	// is tried. Reports lag by a few passes; a refused hold is tried one pass later.
	passMargin = 2
	// mostExtra bounds the passes that are added to that while orders stay
	// unanswered: a held pass makes every stream late, a later switch only some.
	maxExtraPasses = 4
	// mostLead bounds the passes that arming all ranks is planned to take.
	maxLeadPasses = 8
	// holdTries bounds the passes that are tried before a switch is given up. Nothing
	// is armed by then, so giving up is harmless.
	maxHoldAttempts = 40
	// reportLag is how old an engine's report of itself may be.
	maxReportAge = 300 * time.Millisecond
	// staleHold is how long after a release a reported hold of the same pass counts
	// as a second one, by an order that was carried out late.
	releaseGrace = time.Second
)

// Switch is the protocol by which one holder of a group's lease changes the
// map. It is a pure state machine: reports and verdicts go in, orders come out.
//
// Invariant: between the first Arm of a pass and the confirmed Arm of the last
// rank, one rank holds that pass. So the pass begins with all ranks armed, or
// with none. A holder never gives up a pass of its own once it has sent an Arm:
// an order without an answer may be carried out later, so Arm is repeated until
// every rank has confirmed it, or the group forms anew.
//
// The holder's own rank is armed last, and another rank has the hold (ownLast).
// So when the VM of a holder stops, its successor can release the hold, and as
// long as any rank isn't armed, it knows that the silent one isn't either.
type MapSwitch struct {
	fence   int64
	ownRank int
	size    int
	// trustFrom is when reports are recent enough to show what an earlier holder did.
	trustFrom time.Time

	// formerRank is the rank of the holder before this one, or -1. missed are the
	// ranks that couldn't be reached since their last report.
	formerRank  int
	unreachable []bool

	epoch            int64
	stage            Stage
	version          int64
	pass             int64
	holdRank         int
	holdAttemptsLeft int
	// extra passes are added to the margin; unanswered counts the orders of this
	// switch that had no answer. lead is how many passes it takes to arm all ranks.
	extraPasses, timeouts, leadPasses int64
	newMap                            [][][]int
	// present is the map in use, as far as it is known.
	currentMap [][][]int
	confirmed  []bool
	reports    []RankReport
	reportedAt []time.Time
	// lastVersion is the highest version seen in this epoch.
	lastVersion int64
	releasedAt  time.Time
	// strays are passes that ranks hold without this switch: orders that were carried
	// out late. 0 means none.
	strayHolds []int64
	fenced     bool
}

// NewSwitch returns the protocol's state of a new holder whose own rank is
// ownRank, in a group of a size. formerRank is that of the holder before it, or -1.
func NewMapSwitch(now time.Time, fence int64, ownRank, formerRank, size int) *MapSwitch {
	return &MapSwitch{
		fence: fence, ownRank: ownRank, formerRank: formerRank, size: size, trustFrom: now.Add(maxReportAge),
		unreachable: make([]bool, size),
		confirmed:   make([]bool, size), reports: make([]RankReport, size), reportedAt: make([]time.Time, size),
		strayHolds: make([]int64, size),
	}
}

// Stage returns how far the present switch has come.
func (s *MapSwitch) Stage() Stage { return s.stage }

// Fenced tells whether an engine has seen a higher fence: this holder must stop.
func (s *MapSwitch) Fenced() bool { return s.fenced }

// Version returns the version of the present switch, or of the last one.
func (s *MapSwitch) Version() int64 { return s.version }

// Epoch returns the group's epoch.
func (s *MapSwitch) Epoch() int64 { return s.epoch }

// Report takes in a rank's state.
func (s *MapSwitch) HandleReport(now time.Time, rank int, r RankReport) {
	if rank < 0 || rank >= s.size || r.Epoch < s.epoch {
		return
	}
	if r.Epoch > s.epoch {
		s.startEpoch(r.Epoch)
	}
	s.reports[rank], s.reportedAt[rank], s.unreachable[rank] = r, now, false
	s.lastVersion = max(s.lastVersion, r.Map, r.Prepared, r.Armed)
	s.strayHolds[rank] = s.strayHold(now, rank, r.Held)
	s.advance(now)
}

// Missed notes that a rank couldn't be reached.
func (s *MapSwitch) MarkUnreachable(now time.Time, rank int) {
	s.unreachable[rank] = !now.Before(s.trustFrom)
	s.advance(now)
}

// startEpoch forgets everything: a group that forms anew has the default map
// and nothing prepared, armed or held.
func (s *MapSwitch) startEpoch(epoch int64) {
	s.epoch, s.stage = epoch, StageIdle
	s.version, s.pass, s.lastVersion = 0, 0, 0
	s.newMap = nil
	s.releasedAt = time.Time{}
	for rank := range s.size {
		s.confirmed[rank], s.reports[rank], s.reportedAt[rank], s.strayHolds[rank] = false, RankReport{}, time.Time{}, 0
	}
}

// complete tells whether every rank has reported recently enough to be trusted.
func (s *MapSwitch) allReported() bool {
	for rank := range s.size {
		if s.reportedAt[rank].IsZero() || s.reportedAt[rank].Before(s.trustFrom) {
			return false
		}
	}
	return true
}

// Ready tells whether a new switch may begin: the group is open, and all ranks
// use one map with nothing armed or held.
func (s *MapSwitch) Ready() bool {
	if s.stage != StageIdle || s.fenced || !s.allReported() {
		return false
	}
	for _, r := range s.reports {
		if !r.Open || r.Armed != 0 || r.Held != 0 || r.Map != s.reports[0].Map {
			return false
		}
	}
	return true
}

// Begin starts the switch to a map, given as the experts by set and rank.
func (s *MapSwitch) Start(lists [][][]int) {
	s.newMap = lists
	s.version = s.lastVersion + 1
	s.lastVersion = s.version
	s.extraPasses = max(min(s.timeouts, maxExtraPasses), s.leadPasses)
	s.timeouts = 0
	s.enter(StagePrepare)
}

// SetLead tells how many passes it takes to arm all ranks, so that the next
// switch holds a pass that is far enough ahead.
func (s *MapSwitch) SetArmingPasses(passes int64) { s.leadPasses = min(passes, maxLeadPasses) }

func (s *MapSwitch) enter(stage Stage) {
	s.stage = stage
	for rank := range s.confirmed {
		s.confirmed[rank] = false
	}
}

// advance moves on when the reports allow it.
func (s *MapSwitch) advance(now time.Time) {
	switch s.stage {
	case StageIdle:
		s.resolveHold(now)
	case StagePrepare:
		if s.all(func(r RankReport) bool { return r.Prepared == s.version }) {
			s.pass = s.newestPass() + passMargin + s.extraPasses
			s.holdRank, s.holdAttemptsLeft = (s.ownRank+1)%s.size, maxHoldAttempts
			s.enter(StageHold)
		}
	case StageRelease:
		if s.newestPass() >= s.pass {
			s.markReleased(now)
		}
	case StageSettle:
		if s.all(func(r RankReport) bool { return r.Map == s.version }) {
			s.enter(StageIdle)
		}
	case StageArm:
		// The pass has begun: a former holder had armed all ranks and released it.
		if s.newestPass() >= s.pass {
			s.enter(StageSettle)
		}
	case StageUndo, StageBurn:
		if s.newestPass() >= s.pass {
			s.enter(StageIdle)
		}
	case StageHold:
	}
}

func (s *MapSwitch) all(ok func(RankReport) bool) bool {
	for rank, r := range s.reports {
		if s.reportedAt[rank].IsZero() || !ok(r) {
			return false
		}
	}
	return true
}

func (s *MapSwitch) newestPass() int64 {
	newest := int64(0)
	for _, r := range s.reports {
		newest = max(newest, r.Pass)
	}
	return newest
}
