package experts

import (
	"context"
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
type RankClient interface {
	// Observe reads a rank's state and what else is asked for.
	Observe(ctx context.Context, rank int, fence int64, ask Query) (Observation, error)
	// Command gives a rank's engine an order.
	// direct orders go past the rank's agent.
	SendCommand(ctx context.Context, rank int, order Command, direct bool) (Result, error)
	// Room is how many bytes of counts a holder may ask for in a second.
	CountsBandwidth() float64
}

const (
	// stagePace is the time between two looks while a switch waits for reports.
	stagePace = 40 * time.Millisecond
	// rankPace is the least time between two looks for each rank: a datagram and its
	// answer took some 0.1 ms of a VM with a quarter of a core.
	rankPace = 500 * time.Microsecond
	// countBytes is the size of one count in an answer: one or two bytes as a rule.
	countBytes = 1.5
	// countsPerLook is how many counts are asked of a rank at once, so that they fit
	// into a datagram.
	countsPerLook = 600
	// callTimeout bounds a call to a rank's agent, commandTimeout one that carries an
	// order: an order without an answer is repeated. Both grow by rankTime for each
	// rank that is called at once, prepare orders by mapTime: whole maps go over HTTP.
	callTimeout    = 250 * time.Millisecond
	commandTimeout = 120 * time.Millisecond
	rankTime       = time.Millisecond
	mapTime        = 12 * time.Millisecond
	// leastShare keeps the trigger finite for engines without experts.
	leastShare = 0.01
	// leastChoices is how many choices of experts a plan must rest on.
	leastChoices = 2000
	// prepareTimeout gives a switch up that isn't prepared everywhere by then.
	prepareTimeout = 4 * time.Second
)

// Lease is what a holder starts with.
type Lease struct {
	ClaimResult
	// Size is the number of the group's ranks, OwnRank that of the engine beside the holder.
	Size, OwnRank int
	// Engine is the published cost model of the group's engines.
	Engine *fleet.EngineModel
	// Pause is the longest pause between events that callers take as prompt.
	MaxEventGap time.Duration
	// Changed is told of each new map in use; nil when nobody wants to know. It must not block.
	OnMapChange func(MapChange)
}

// MapChange is a switch that all ranks have made.
type MapChange struct {
	Fence, Epoch, Version int64
	// Pass is the first that ran with the map.
	Pass int64
	// Moves is how many copies of experts were loaded or dropped.
	Moves int
}

// Holder steers one group while this process has its lease.
type Holder struct {
	ranks  RankClient
	lease  Lease
	policy func() Policy
	log    *logrus.Entry
	now    func() time.Time

	mu        sync.Mutex // guards what the concurrent calls of a round feed; a leaf
	state     *MapSwitch
	demand    *Demand
	planner   *rebalance.Planner
	shape     rebalance.Shape
	placement *rebalance.Placement
	// planned is where the present switch leads, by so many moves.
	planned *rebalance.Placement
	moves   int
	// copies is how many experts the rank that copies most has to copy for it.
	copies int
	// switchTime is the smoothed time that a switch takes besides its copies.
	switchTime time.Duration
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
	// countedAt is when counts were asked for last, countRound how often.
	countedAt  time.Time
	countRound int
	// lost are the ranks that couldn't be observed last time.
	lost []bool
}

// NewHolder returns a holder with a fresh lease. policy is asked before each
// decision, since operators may change it.
func NewHolder(ranks RankClient, lease Lease, policy func() Policy, now func() time.Time, log *logrus.Entry) *Holder {
	shape := rebalance.Shape{
		Ranks: lease.Size, Experts: lease.Engine.Experts, Layers: lease.Engine.Sets, Slots: lease.Engine.Placements,
	}
	state := NewMapSwitch(now(), lease.Fence, lease.OwnRank, lease.FormerRank, lease.Size)
	state.SetArmingPasses(int64(lease.Size / ranksPerLead))
	return &Holder{
		ranks: ranks, lease: lease, policy: policy, now: now, log: log.WithField("fence", lease.Fence),
		state: state, demand: NewDemand(shape, policy().HalfLife),
		planner: rebalance.NewPlanner(shape), shape: shape, lost: make([]bool, lease.Size), switchTime: switchAtFirst,
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

func (h *Holder) superseded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Fenced() || h.highest > h.lease.Fence
}

// observe looks at all ranks at once.
func (h *Holder) observe(ctx context.Context) {
	lists := h.placement == nil || h.placementEpoch != h.state.Epoch() ||
		(h.state.Stage() == StageIdle && h.mapInUse() != h.placementVersion)
	if lists {
		h.lists = make([][][]int, h.shape.Ranks)
	}
	counts := h.countsDue()
	h.each(func(rank int) {
		ask := Query{Experts: lists}
		if counts {
			ask.From, ask.To = h.window(rank)
		}
		ctx, cancel := context.WithTimeout(ctx, h.patience(callTimeout, rankTime))
		defer cancel()
		seen, err := h.ranks.Observe(ctx, rank, h.lease.Fence, ask)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.noteRank(rank, err)
		if err != nil {
			h.state.MarkUnreachable(h.now(), rank)
			return
		}
		h.highest = max(h.highest, seen.Fence)
		h.state.HandleReport(h.now(), rank, seen.Report)
		h.demand.Add(seen.Counts.Offset, seen.Counts.Chosen)
		if lists {
			h.lists[rank] = seen.Experts
		}
	})
	if lists {
		h.adoptLists()
	}
	h.noteDemand(h.demand.EndSample(h.now()))
}

// noteDemand logs that demand has jumped.
func (h *Holder) noteDemand(look Sample) {
	if !look.Jumped {
		return
	}
	h.log.WithFields(logrus.Fields{
		"epoch": h.state.Epoch(), "choices": look.Choices, "distance": look.Distance, "usual": look.Baseline,
	}).Info("expert demand has jumped: the estimate begins anew")
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

// drive gives the orders that are due until the state waits for reports, or comes
// back to a stage: then what the ranks report has to be looked at first.
func (h *Holder) drive(ctx context.Context) {
	driven := map[Stage]bool{}
	for ctx.Err() == nil {
		orders := h.state.PendingCommands()
		if len(orders) == 0 {
			return
		}
		stage, pass, due := h.state.Stage(), h.state.pass, len(orders)
		driven[stage] = true
		var all sync.WaitGroup
		for _, o := range orders {
			all.Go(func() { h.command(ctx, o) })
		}
		all.Wait()
		h.timeArming(stage)
		same := h.state.Stage() == stage && h.state.pass == pass
		if h.state.Stage() == StagePrepare || (same && len(h.state.PendingCommands()) >= due) {
			return
		}
		if h.state.Stage() != stage && driven[h.state.Stage()] {
			return
		}
	}
}

func (h *Holder) command(ctx context.Context, o RankCommand) {
	each := rankTime
	if o.Command.Operation == Prepare {
		each = mapTime
	}
	ctx, cancel := context.WithTimeout(ctx, h.patience(commandTimeout, each))
	defer cancel()
	verdict, err := h.ranks.SendCommand(ctx, o.Rank, o.Command, o.Direct)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.log.WithError(err).WithFields(logrus.Fields{
			"rank": o.Rank, "stage": h.state.Stage().String(), "version": o.Command.Version, "pass": o.Command.Pass,
		}).Info("order not accepted")
	}
	h.state.HandleResult(h.now(), o.Rank, o.Command, verdict)
}
