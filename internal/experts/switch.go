package experts

import "time"

// Stage is how far a switch to a new map has come.
type Stage int

// The stages, in order.
const (
	// StageIdle has no switch under way.
	StageIdle Stage = iota
	// StagePrepare waits until every rank has copied the experts of the new map.
	StagePrepare
	// StageHold waits until one rank keeps the pass of the switch from beginning.
	StageHold
	// StageArm waits until every rank has confirmed that it switches at that pass.
	StageArm
	// StageRelease waits until the pass may begin.
	StageRelease
	// StageSettle waits until every rank reports the new map.
	StageSettle
	// StageUndo takes back what an earlier holder armed, before a release.
	StageUndo
	// StageBurn prepares a version that is never used, so that an Arm of the former
	// holder that is carried out late finds its version no longer prepared.
	StageBurn
)

// String names the stage for logs.
func (s Stage) String() string {
	return [...]string{"idle", "prepare", "hold", "arm", "release", "settle", "undo", "burn"}[s]
}

const (
	// passMargin is how many passes ahead of the newest reported one the first hold
	// is tried. Reports lag by a few passes; a refused hold is tried one pass later.
	passMargin = 2
	// mostExtra bounds the passes that are added to that while orders stay
	// unanswered: a held pass makes every stream late, a later switch only some.
	mostExtra = 4
	// holdTries bounds the passes that are tried before a switch is given up. Nothing
	// is armed by then, so giving up is harmless.
	holdTries = 40
	// reportLag is how old an engine's report of itself may be.
	reportLag = 300 * time.Millisecond
	// staleHold is how long after a release a reported hold of the same pass counts
	// as a second one, by an order that was carried out late.
	staleHold = time.Second
)

// RankOrder is an order to one rank.
type RankOrder struct {
	Rank  int
	Order Order
	// Direct orders go from the holder straight to the engine, past its agent: a VM
	// that stops right after it gave the order must not be the engine's own.
	Direct bool
}

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
type Switch struct {
	fence   int64
	ownRank int
	size    int
	// trustFrom is when reports are recent enough to show what an earlier holder did.
	trustFrom time.Time

	// formerRank is the rank of the holder before this one, or -1. missed are the
	// ranks that couldn't be reached since their last report.
	formerRank int
	missed     []bool

	epoch     int64
	stage     Stage
	version   int64
	pass      int64
	holdRank  int
	holdsLeft int
	// extra passes are added to the margin; unanswered counts the orders of this
	// switch that had no answer.
	extra, unanswered int64
	lists             [][][]int
	// present is the map in use, as far as it is known.
	present   [][][]int
	confirmed []bool
	reports   []RankReport
	reported  []time.Time
	// lastVersion is the highest version seen in this epoch.
	lastVersion int64
	releasedAt  time.Time
	// strays are passes that ranks hold without this switch: orders that were carried
	// out late. 0 means none.
	strays []int64
	fenced bool
}

// NewSwitch returns the protocol's state of a new holder whose own rank is
// ownRank, in a group of a size. formerRank is that of the holder before it, or -1.
func NewSwitch(now time.Time, fence int64, ownRank, formerRank, size int) *Switch {
	return &Switch{
		fence: fence, ownRank: ownRank, formerRank: formerRank, size: size, trustFrom: now.Add(reportLag),
		missed:    make([]bool, size),
		confirmed: make([]bool, size), reports: make([]RankReport, size), reported: make([]time.Time, size),
		strays: make([]int64, size),
	}
}

// Stage returns how far the present switch has come.
func (s *Switch) Stage() Stage { return s.stage }

// Fenced tells whether an engine has seen a higher fence: this holder must stop.
func (s *Switch) Fenced() bool { return s.fenced }

// Version returns the version of the present switch, or of the last one.
func (s *Switch) Version() int64 { return s.version }

// Epoch returns the group's epoch.
func (s *Switch) Epoch() int64 { return s.epoch }

// Report takes in a rank's state.
func (s *Switch) Report(now time.Time, rank int, r RankReport) {
	if rank < 0 || rank >= s.size || r.Epoch < s.epoch {
		return
	}
	if r.Epoch > s.epoch {
		s.startEpoch(r.Epoch)
	}
	s.reports[rank], s.reported[rank], s.missed[rank] = r, now, false
	s.lastVersion = max(s.lastVersion, r.Map, r.Prepared, r.Armed)
	s.strays[rank] = s.stray(now, rank, r.Held)
	s.advance(now)
}

// Missed notes that a rank couldn't be reached.
func (s *Switch) Missed(now time.Time, rank int) {
	s.missed[rank] = !now.Before(s.trustFrom)
	s.advance(now)
}

// startEpoch forgets everything: a group that forms anew has the default map
// and nothing prepared, armed or held.
func (s *Switch) startEpoch(epoch int64) {
	s.epoch, s.stage = epoch, StageIdle
	s.version, s.pass, s.lastVersion = 0, 0, 0
	s.lists = nil
	s.releasedAt = time.Time{}
	for rank := range s.size {
		s.confirmed[rank], s.reports[rank], s.reported[rank], s.strays[rank] = false, RankReport{}, time.Time{}, 0
	}
}

// complete tells whether every rank has reported recently enough to be trusted.
func (s *Switch) complete() bool {
	for rank := range s.size {
		if s.reported[rank].IsZero() || s.reported[rank].Before(s.trustFrom) {
			return false
		}
	}
	return true
}

// Ready tells whether a new switch may begin: the group is open, and all ranks
// use one map with nothing armed or held.
func (s *Switch) Ready() bool {
	if s.stage != StageIdle || s.fenced || !s.complete() {
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
func (s *Switch) Begin(lists [][][]int) {
	s.lists = lists
	s.version = s.lastVersion + 1
	s.lastVersion = s.version
	s.extra = min(s.unanswered, mostExtra)
	s.unanswered = 0
	s.enter(StagePrepare)
}

func (s *Switch) enter(stage Stage) {
	s.stage = stage
	for rank := range s.confirmed {
		s.confirmed[rank] = false
	}
}

// advance moves on when the reports allow it.
func (s *Switch) advance(now time.Time) {
	switch s.stage {
	case StageIdle:
		s.resolveHold(now)
	case StagePrepare:
		if s.all(func(r RankReport) bool { return r.Prepared == s.version }) {
			s.pass = s.newestPass() + passMargin + s.extra
			s.holdRank, s.holdsLeft = (s.ownRank+1)%s.size, holdTries
			s.enter(StageHold)
		}
	case StageRelease:
		if s.newestPass() >= s.pass {
			s.released(now)
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

// resolveHold finds a hold that nobody is going to release: of a holder that
// died, or of an order that was carried out late.
func (s *Switch) resolveHold(now time.Time) {
	rank := s.heldRank(now)
	if rank < 0 {
		return
	}
	switch {
	case s.complete():
		s.holdRank, s.pass = rank, s.reports[rank].Held
		s.finish()
	case s.formerHolderSilent() && s.someUnarmed():
		s.holdRank, s.pass = rank, s.reports[rank].Held
		s.enter(StageUndo)
	}
}

// heldRank returns a rank that holds a pass, or -1.
func (s *Switch) heldRank(now time.Time) int {
	for rank, r := range s.reports {
		trusted := !s.reported[rank].IsZero() && !s.reported[rank].Before(s.trustFrom)
		if trusted && r.Held != 0 && !s.releasedLately(now, r.Held) {
			return rank
		}
	}
	return -1
}

// formerHolderSilent tells whether every rank has reported but that of the
// former holder, which can't be reached.
func (s *Switch) formerHolderSilent() bool {
	for rank := range s.size {
		known := !s.reported[rank].IsZero() && !s.reported[rank].Before(s.trustFrom)
		if rank == s.formerRank {
			if known || !s.missed[rank] {
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
func (s *Switch) someUnarmed() bool {
	for rank, r := range s.reports {
		if rank != s.formerRank && r.Armed == 0 {
			return true
		}
	}
	return false
}

func (s *Switch) releasedLately(now time.Time, pass int64) bool {
	return pass == s.pass && now.Sub(s.releasedAt) < staleHold
}

// stray returns a held pass that this switch doesn't hold or has released. While
// idle, resolveHold looks at it instead: an earlier holder may have armed ranks.
func (s *Switch) stray(now time.Time, rank int, held int64) int64 {
	own := held == s.pass && rank == s.holdRank && s.stage != StageSettle
	if held == 0 || s.stage == StageIdle || own || s.releasedLately(now, held) {
		return 0
	}
	return held
}

// finish completes a switch that an earlier holder began. A hold is placed only
// when every rank has prepared the map, and Arm may have been sent to any of
// them since, so all are armed before the release: undoing could meet an Arm
// that is carried out late.
func (s *Switch) finish() {
	prepared := s.reports[0].Prepared
	if prepared > s.reports[0].Map && s.all(func(r RankReport) bool { return r.Prepared == prepared }) {
		s.version = prepared
		s.enter(StageArm)
		return
	}
	s.version = s.reports[0].Map
	s.enter(StageRelease)
}

func (s *Switch) all(ok func(RankReport) bool) bool {
	for rank, r := range s.reports {
		if s.reported[rank].IsZero() || !ok(r) {
			return false
		}
	}
	return true
}

func (s *Switch) newestPass() int64 {
	newest := int64(0)
	for _, r := range s.reports {
		newest = max(newest, r.Pass)
	}
	return newest
}

// Orders returns the orders that have no confirmation yet.
func (s *Switch) Orders() []RankOrder {
	if s.fenced {
		return nil
	}
	return append(s.stageOrders(), s.strayReleases()...)
}

func (s *Switch) stageOrders() []RankOrder {
	order := Order{Epoch: s.epoch, Fence: s.fence, Version: s.version, Pass: s.pass}
	switch s.stage {
	case StagePrepare:
		order.Operation, order.Map = Prepare, s.lists
		return s.toUnconfirmed(order)
	case StageArm:
		order.Operation = Arm
		return s.ownLast(s.toUnconfirmed(order))
	case StageHold:
		order.Operation = Hold
		return []RankOrder{{Rank: s.holdRank, Order: order, Direct: true}}
	case StageRelease:
		order.Operation = Release
		return []RankOrder{{Rank: s.holdRank, Order: order, Direct: true}}
	case StageUndo:
		return s.disarms(order)
	case StageBurn:
		order.Operation, order.Map = Prepare, s.present
		return s.reachable(s.toUnconfirmed(order))
	case StageIdle, StageSettle:
	}
	return nil
}

// ownLast keeps the order in which ranks are armed: first all but the holder's
// own and the one with the hold, then the latter, then the own. A holder whose
// VM stops in the first of the three leaves a rank unarmed, which shows that
// its own isn't armed either.
func (s *Switch) ownLast(orders []RankOrder) []RankOrder {
	var first, second []RankOrder
	for _, o := range orders {
		switch o.Rank {
		case s.ownRank:
		case s.holdRank:
			second = append(second, o)
		default:
			first = append(first, o)
		}
	}
	switch {
	case len(first) > 0:
		return first
	case len(second) > 0:
		return second
	default:
		return orders
	}
}

// reachable leaves the former holder's rank out.
func (s *Switch) reachable(orders []RankOrder) []RankOrder {
	var others []RankOrder
	for _, o := range orders {
		if o.Rank != s.formerRank {
			others = append(others, o)
		}
	}
	return others
}

// disarms takes back what the former holder armed.
func (s *Switch) disarms(order Order) []RankOrder {
	order.Operation = Disarm
	var orders []RankOrder
	for _, o := range s.reachable(s.toUnconfirmed(order)) {
		if o.Order.Version = s.reports[o.Rank].Armed; o.Order.Version == 0 {
			o.Order.Version = s.reports[o.Rank].Prepared
		}
		orders = append(orders, o)
	}
	return orders
}

func (s *Switch) strayReleases() []RankOrder {
	var orders []RankOrder
	for rank, pass := range s.strays {
		if pass != 0 && s.stage != StageIdle {
			orders = append(orders, RankOrder{Rank: rank, Order: Order{
				Operation: Release, Epoch: s.epoch, Fence: s.fence, Pass: pass,
			}, Direct: true})
		}
	}
	return orders
}

func (s *Switch) toUnconfirmed(order Order) []RankOrder {
	var orders []RankOrder
	for rank, confirmed := range s.confirmed {
		if !confirmed {
			orders = append(orders, RankOrder{Rank: rank, Order: order})
		}
	}
	return orders
}

// Verdict takes in what a rank's engine said to an order.
func (s *Switch) Verdict(now time.Time, rank int, order Order, verdict Verdict) {
	if verdict == Fenced {
		s.fenced = true
		return
	}
	if verdict == Unanswered && (order.Operation == Arm || order.Operation == Hold) {
		s.unanswered++
	}
	if verdict != Unanswered && order.Operation == Release && s.strays[rank] == order.Pass {
		s.strays[rank] = 0
	}
	if verdict == Unanswered || !s.current(rank, order) {
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
func (s *Switch) current(rank int, order Order) bool {
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
func (s *Switch) prepared(rank int, verdict Verdict) {
	if verdict == Accepted || s.reports[rank].Prepared == s.version {
		s.confirmed[rank] = true
		return
	}
	s.enter(StageIdle)
}

// held notes the answer to a hold. A pass that has begun can't be held.
func (s *Switch) held(verdict Verdict) {
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
func (s *Switch) armed(rank int, verdict Verdict) {
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

// disarmed notes that a rank isn't armed. A refusal says the same.
func (s *Switch) disarmed(rank int) {
	if s.confirmReachable(rank) {
		s.version = s.lastVersion + 1
		s.lastVersion = s.version
		s.enter(StageBurn)
	}
}

// burned notes what a rank said to the version that is never used. A refusal
// means that an Arm was carried out late, or that the rank has had the version.
func (s *Switch) burned(rank int, verdict Verdict) {
	if verdict != Accepted {
		s.enter(StageUndo)
		return
	}
	if s.confirmReachable(rank) {
		s.version = s.reports[rank].Map
		s.enter(StageRelease)
	}
}

// confirmReachable notes a rank's confirmation. It tells whether all but the
// former holder's have confirmed.
func (s *Switch) confirmReachable(rank int) bool {
	s.confirmed[rank] = true
	for other, confirmed := range s.confirmed {
		if !confirmed && other != s.formerRank {
			return false
		}
	}
	return true
}

// SetPresent tells the map in use, as far as it is known.
func (s *Switch) SetPresent(lists [][][]int) { s.present = lists }

func (s *Switch) released(now time.Time) {
	s.releasedAt = now
	s.enter(StageSettle)
}

// Abandon gives up a switch of which nothing is armed or held.
func (s *Switch) Abandon() {
	if s.stage == StagePrepare {
		s.enter(StageIdle)
	}
}
