package experts

import "time"

const (
	// passMargin is the minimum number of passes from the newest reported one to the
	// first one that is held, since reports lag.
	passMargin = 2
	// maxExtraPasses bounds the passes added to passMargin after commands timed
	// out. A held pass delays every stream; a later switch costs less.
	maxExtraPasses = 4
	// maxLeadPasses bounds MapSwitch.leadPasses.
	maxLeadPasses = 8
	// maxHoldAttempts bounds the passes that are attempted before the switch is
	// aborted. Nothing is armed by then.
	maxHoldAttempts = 40
	// maxReportAge bounds the age of an engine's report of its state.
	maxReportAge = 300 * time.Millisecond
	// releaseGrace is how long after a release reports may still show the hold. A
	// hold that is reported later was placed by a delayed command.
	releaseGrace = time.Second
)

// MapSwitch implements the protocol by which the holder of a group's lease
// changes the map. It is a pure state machine: reports and results go in,
// commands come out.
//
// Invariant: from the first Arm of a pass until all ranks have confirmed it, one
// rank holds that pass. So the pass begins with all ranks armed or with none. A
// holder never abandons its own pass once it has sent an Arm: a command without
// response may be executed later, so Arm is repeated until every rank has
// confirmed it or the group is formed again.
//
// The holder's own rank is armed last, and another rank has the hold; see
// nextArmBatch. So if the holder's VM stops, its successor can release the hold,
// and while any reachable rank is unarmed, the unreachable one is unarmed, too.
type MapSwitch struct {
	fence   int64
	ownRank int
	size    int
	// trustFrom is when reports are recent enough to include all effects of the
	// former holder's commands.
	trustFrom time.Time

	// formerRank is the rank of the previous holder, or -1. unreachable marks ranks
	// that couldn't be reached since their last report.
	formerRank  int
	unreachable []bool

	epoch            int64
	stage            Stage
	version          int64
	pass             int64
	holdRank         int
	holdAttemptsLeft int
	// extraPasses are added to passMargin: leadPasses, the number of passes that
	// arming all ranks takes, or more after timeouts, the number of Arm and Hold
	// commands without response since the last switch started.
	extraPasses, timeouts, leadPasses int64
	newMap                            [][][]int
	// currentMap is the map in use, as far as it is known.
	currentMap [][][]int
	// confirmed marks the ranks that confirmed the command of the current stage.
	confirmed  []bool
	reports    []RankReport
	reportedAt []time.Time
	// lastVersion is the highest version seen in this epoch.
	lastVersion int64
	releasedAt  time.Time
	// strayHolds has, by rank, the pass that is held because of a delayed command
	// rather than this switch, or 0.
	strayHolds []int64
	fenced     bool
}

// NewMapSwitch returns the initial state for a new holder on ownRank in a group
// of the given size. formerRank is the rank of the previous holder, or -1.
func NewMapSwitch(now time.Time, fence int64, ownRank, formerRank, size int) *MapSwitch {
	return &MapSwitch{
		fence: fence, ownRank: ownRank, formerRank: formerRank, size: size, trustFrom: now.Add(maxReportAge),
		unreachable: make([]bool, size),
		confirmed:   make([]bool, size), reports: make([]RankReport, size), reportedAt: make([]time.Time, size),
		strayHolds: make([]int64, size),
	}
}

// Stage returns the stage of the current switch.
func (s *MapSwitch) Stage() Stage { return s.stage }

// Fenced reports whether an engine or agent has seen a higher fencing token.
// The holder must stop then.
func (s *MapSwitch) Fenced() bool { return s.fenced }

// Version returns the version of the current or last switch.
func (s *MapSwitch) Version() int64 { return s.version }

// Epoch returns the epoch of the group.
func (s *MapSwitch) Epoch() int64 { return s.epoch }

// HandleReport updates the state with the report of a rank.
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

// MarkUnreachable records that a rank couldn't be reached. It is ignored before
// trustFrom.
func (s *MapSwitch) MarkUnreachable(now time.Time, rank int) {
	s.unreachable[rank] = !now.Before(s.trustFrom)
	s.advance(now)
}

// startEpoch resets the state. A newly formed group uses the default map and has
// nothing prepared, armed or held.
func (s *MapSwitch) startEpoch(epoch int64) {
	s.epoch, s.stage = epoch, StageIdle
	s.version, s.pass, s.lastVersion = 0, 0, 0
	s.newMap = nil
	s.releasedAt = time.Time{}
	for rank := range s.size {
		s.confirmed[rank], s.reports[rank], s.reportedAt[rank], s.strayHolds[rank] = false, RankReport{}, time.Time{}, 0
	}
}

// allReported reports whether every rank has reported since trustFrom.
func (s *MapSwitch) allReported() bool {
	for rank := range s.size {
		if s.reportedAt[rank].IsZero() || s.reportedAt[rank].Before(s.trustFrom) {
			return false
		}
	}
	return true
}

// Ready reports whether a switch may start: none is in progress, all ranks have
// reported since trustFrom, the group is open, and all ranks use the same map with
// nothing armed or held.
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

// Start begins the switch to a map, given as experts by layer and rank.
func (s *MapSwitch) Start(lists [][][]int) {
	s.newMap = lists
	s.version = s.lastVersion + 1
	s.lastVersion = s.version
	s.extraPasses = max(min(s.timeouts, maxExtraPasses), s.leadPasses)
	s.timeouts = 0
	s.enter(StagePrepare)
}

// SetLeadPasses sets how many passes ahead the next switch is scheduled to leave time
// for arming all ranks.
func (s *MapSwitch) SetLeadPasses(passes int64) { s.leadPasses = min(passes, maxLeadPasses) }

func (s *MapSwitch) enter(stage Stage) {
	s.stage = stage
	for rank := range s.confirmed {
		s.confirmed[rank] = false
	}
}

// advance enters the next stage when the reports allow it.
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
		// The pass began, so the former holder armed all ranks and released it.
		if s.newestPass() >= s.pass {
			s.enter(StageSettle)
		}
	case StageDisarm, StageInvalidate:
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
