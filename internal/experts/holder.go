package experts

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/sirupsen/logrus"
)

// Observation is what the agent of a rank tells.
type Observation struct {
	Report RankReport
	Counts Counts
	// Experts are those of the map in use, set by set, when asked for.
	Experts [][]int
	// Fence is the highest that the agent has heard of.
	Fence int64
}

// Ranks reaches the agents of a group's ranks.
type Ranks interface {
	// Observe reads a rank's state and what else is asked for.
	Observe(ctx context.Context, rank int, fence int64, ask Question) (Observation, error)
	// Command gives a rank's engine an order.
	// direct orders go past the rank's agent.
	Command(ctx context.Context, rank int, order Order, direct bool) (Verdict, error)
	// Room is how many bytes of counts a holder may ask for in a second.
	Room() float64
}

const (
	// stagePace is the time between two looks while a switch waits for reports.
	stagePace = 60 * time.Millisecond
	// rankPace is the least time between two looks for each rank: a call takes about a
	// quarter of a millisecond of a core, of which an agent has a quarter.
	rankPace = 4 * time.Millisecond
	// countBytes is the size of one count in an answer, as measured with small numbers.
	countBytes = 1.5
	// callTimeout bounds a call to a rank's agent, commandTimeout one that carries an
	// order: an order without an answer is repeated. Both grow by rankTime for each
	// rank that is called at once, prepare orders by mapTime.
	callTimeout    = 250 * time.Millisecond
	commandTimeout = 120 * time.Millisecond
	rankTime       = 4 * time.Millisecond
	mapTime        = 12 * time.Millisecond
	// leastShare keeps the trigger finite for engines without experts.
	leastShare = 0.01
	// leastChoices is how many choices of experts a plan must rest on.
	leastChoices = 2000
	// prepareTimeout gives a switch up that isn't prepared everywhere by then.
	prepareTimeout = 4 * time.Second
)

// Holder steers one group while this process has its lease.
type Holder struct {
	ranks  Ranks
	engine *fleet.EngineModel
	// pause is the longest pause between events that callers take as prompt.
	pause  time.Duration
	policy Policy
	log    *logrus.Entry
	now    func() time.Time

	mu        sync.Mutex // guards what the concurrent calls of a round feed; a leaf
	state     *Switch
	demand    *Demand
	planner   *rebalance.Planner
	shape     rebalance.Shape
	placement *rebalance.Placement
	planned   *rebalance.Placement
	// placementEpoch and placementVersion are those of placement.
	placementEpoch, placementVersion int64
	lists                            [][][]int
	begun                            time.Time
	highest                          int64
	stage                            Stage
	// armedFrom is when arming began; passTime is the smoothed time of a pass, from
	// the newest pass seen at passSeenAt.
	armedFrom  time.Time
	passTime   time.Duration
	passSeen   int64
	passSeenAt time.Time
	// countedAt is when the counts were asked for last.
	countedAt time.Time
	// lost are the ranks that couldn't be observed last time.
	lost  []bool
	fence int64
}

// NewHolder returns a holder with a fresh lease.
func NewHolder(ranks Ranks, engine *fleet.EngineModel, pause time.Duration, size, ownRank int, lease Claimed, policy Policy, now func() time.Time, log *logrus.Entry) *Holder {
	shape := rebalance.Shape{Ranks: size, Experts: engine.Experts, Layers: engine.Sets, Slots: engine.Placements}
	state := NewSwitch(now(), lease.Fence, ownRank, lease.FormerRank, size)
	state.SetLead(int64(size / ranksPerLead))
	return &Holder{
		ranks: ranks, engine: engine, pause: pause, policy: policy, now: now, fence: lease.Fence,
		log:   log.WithField("fence", lease.Fence),
		state: state, demand: NewDemand(shape, policy.HalfLife),
		planner: rebalance.NewPlanner(shape), shape: shape, lost: make([]bool, size),
	}
}

// Run steers until the context ends or another holder has a higher fence.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil && !h.superseded() {
		began := h.now()
		h.observe(ctx)
		h.timePasses()
		h.plan()
		h.drive(ctx)
		h.noteStage()
		wait.For(ctx, h.pace()-h.now().Sub(began))
	}
	h.log.Info("no longer holder")
}

// pace is the time between two looks at all ranks.
func (h *Holder) pace() time.Duration {
	pace := h.policy.ObservePace
	if h.state.Stage() != StageIdle {
		pace = stagePace
	}
	return max(pace, time.Duration(h.shape.Ranks)*rankPace)
}

// countsDue tells whether the counts may be asked for again: those of large
// groups would fill the holder's link.
func (h *Holder) countsDue() bool {
	bytes := countBytes * float64(h.shape.Ranks*h.shape.Layers*h.shape.Experts)
	apart := time.Duration(bytes / max(h.ranks.Room(), 1) * float64(time.Second))
	if h.now().Sub(h.countedAt) < apart {
		return false
	}
	h.countedAt = h.now()
	return true
}

// patience is a timeout that grows with the ranks that are called at once.
func (h *Holder) patience(base, each time.Duration) time.Duration {
	return base + time.Duration(h.shape.Ranks)*each
}

func (h *Holder) superseded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Fenced() || h.highest > h.fence
}

// observe looks at all ranks at once.
func (h *Holder) observe(ctx context.Context) {
	lists := h.placement == nil || h.placementEpoch != h.state.Epoch() ||
		(h.state.Stage() == StageIdle && h.mapInUse() != h.placementVersion)
	if lists {
		h.lists = make([][][]int, h.shape.Ranks)
	}
	ask := Question{Lists: lists, Counts: h.countsDue()}
	h.each(func(rank int) {
		ctx, cancel := context.WithTimeout(ctx, h.patience(callTimeout, rankTime))
		defer cancel()
		seen, err := h.ranks.Observe(ctx, rank, h.fence, ask)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.noteRank(rank, err)
		if err != nil {
			h.state.Missed(h.now(), rank)
			return
		}
		h.highest = max(h.highest, seen.Fence)
		h.state.Report(h.now(), rank, seen.Report)
		h.demand.Observe(h.now(), seen.Counts.Chosen)
		if lists {
			h.lists[rank] = seen.Experts
		}
	})
	if lists {
		h.adoptLists()
	}
}

// noteStage logs when a switch moves on; each stage ends within some passes.
func (h *Holder) noteStage() {
	stage := h.state.Stage()
	if stage != h.stage {
		h.log.WithFields(logrus.Fields{
			"stage": stage.String(), "before": h.stage.String(), "version": h.state.Version(), "pass": h.state.pass,
		}).Info("switch moved on")
	}
	h.stage = stage
}

// noteRank logs when a rank is lost or regained.
func (h *Holder) noteRank(rank int, err error) {
	log := h.log.WithField("rank", rank)
	switch {
	case err != nil && !h.lost[rank]:
		log.WithError(err).Warn("rank lost")
	case err == nil && h.lost[rank]:
		log.Info("rank regained")
	}
	h.lost[rank] = err != nil
}

// each runs f for every rank at once.
func (h *Holder) each(f func(rank int)) {
	var all sync.WaitGroup
	for rank := range h.shape.Ranks {
		all.Go(func() { f(rank) })
	}
	all.Wait()
}

// plan begins a switch if one pays.
func (h *Holder) plan() {
	if h.state.Stage() == StagePrepare && h.now().Sub(h.begun) > prepareTimeout {
		h.log.WithField("version", h.state.Version()).Warn("switch given up: not prepared in time")
		h.state.Abandon()
	}
	if h.planned != nil && h.state.Stage() == StageIdle {
		h.finishSwitch()
	}
	if !h.state.Ready() || h.placement == nil || h.placementEpoch != h.state.Epoch() || h.placementVersion != h.mapInUse() || h.demand.Weight() < leastChoices {
		return
	}
	speeds := h.speeds()
	popularity := h.demand.Popularity()
	before, trigger := h.placement.Skew(popularity, speeds), h.trigger()
	if before < trigger {
		return
	}
	moves := h.planner.Plan(h.placement, popularity, speeds, rebalance.Options{
		SkewWeight: 1, CostWeight: h.policy.MovePrice,
		MaxMoves: h.shape.Ranks * h.shape.Slots * h.shape.Layers, MaxNewPerRank: h.engine.NewPerOrder, GoodEnough: 1 + (trigger-1)*h.policy.TargetPart,
	})
	if len(moves) == 0 {
		return
	}
	next := h.placement.Clone()
	next.Apply(moves)
	after := next.Skew(popularity, speeds)
	h.planned, h.begun = next, h.now()
	h.state.Begin(next.Lists())
	h.log.WithFields(logrus.Fields{
		"version": h.state.Version(), "epoch": h.state.Epoch(), "moves": len(moves), "skew": before, "trigger": trigger, "planned_skew": after,
	}).Info("expert map: switch begun")
}

const (
	// passWeight is the weight of the newest measured pass time.
	passWeight = 0.2
	// worthLead is the part of a pass from which on arming is worth a lead: below it,
	// the pass is hardly ever held. leadSpare is added to what the last arming took.
	worthLead = 0.5
	leadSpare = 1
	// ranksPerLead is how many ranks make one pass of lead until an arming has been
	// measured.
	ranksPerLead = 24
)

// timePasses follows how long a pass takes.
func (h *Holder) timePasses() {
	newest, now := h.state.newestPass(), h.now()
	if passes := newest - h.passSeen; passes > 0 && h.passSeen > 0 {
		took := now.Sub(h.passSeenAt) / time.Duration(passes)
		if h.passTime == 0 {
			h.passTime = took
		}
		h.passTime += time.Duration(passWeight * float64(took-h.passTime))
	}
	if newest != h.passSeen {
		h.passSeen, h.passSeenAt = newest, now
	}
}

// timeArming measures how long it takes to arm all ranks: a pass that is held
// for longer than it would have taken to come makes every stream late.
func (h *Holder) timeArming(before Stage) {
	now := h.now()
	switch {
	case before == StageHold && h.state.Stage() == StageArm:
		h.armedFrom = now
	case before == StageArm && h.state.Stage() != StageArm && h.passTime > 0 && !h.armedFrom.IsZero():
		h.state.SetLead(lead(now.Sub(h.armedFrom), h.passTime))
		h.armedFrom = time.Time{}
	}
}

// lead is how many passes ahead a pass must be held when arming takes a time.
func lead(arming, pass time.Duration) int64 {
	passes := float64(arming) / float64(pass)
	if passes < worthLead {
		return 0
	}
	return int64(math.Ceil(passes)) + leadSpare
}

// finishSwitch notes the end of a switch.
func (h *Holder) finishSwitch() {
	log := h.log.WithFields(logrus.Fields{
		"version": h.state.Version(), "epoch": h.state.Epoch(), "took_ms": h.now().Sub(h.begun).Milliseconds(),
	})
	if h.state.Version() != 0 && h.mapInUse() == h.state.Version() {
		h.placement, h.placementEpoch, h.placementVersion = h.planned, h.state.Epoch(), h.state.Version()
		log.Info("expert map: in use at all ranks")
	} else {
		log.Warn("expert map: switch ended without the map in use")
	}
	h.planned = nil
}

// drive gives the orders that are due until the state waits for reports.
func (h *Holder) drive(ctx context.Context) {
	for ctx.Err() == nil {
		orders := h.state.Orders()
		if len(orders) == 0 {
			return
		}
		stage, pass, due := h.state.Stage(), h.state.pass, len(orders)
		var all sync.WaitGroup
		for _, o := range orders {
			all.Go(func() { h.command(ctx, o) })
		}
		all.Wait()
		h.timeArming(stage)
		same := h.state.Stage() == stage && h.state.pass == pass
		if h.state.Stage() == StagePrepare || (same && len(h.state.Orders()) >= due) {
			return
		}
	}
}

func (h *Holder) command(ctx context.Context, o RankOrder) {
	each := rankTime
	if o.Order.Operation == Prepare {
		each = mapTime
	}
	ctx, cancel := context.WithTimeout(ctx, h.patience(commandTimeout, each))
	defer cancel()
	verdict, err := h.ranks.Command(ctx, o.Rank, o.Order, o.Direct)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.log.WithError(err).WithFields(logrus.Fields{
			"rank": o.Rank, "stage": h.state.Stage().String(), "version": o.Order.Version, "pass": o.Order.Pass,
		}).Info("order not accepted")
	}
	h.state.Verdict(h.now(), o.Rank, o.Order, verdict)
}
