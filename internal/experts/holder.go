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
	switchPollInterval = 40 * time.Millisecond
	// rankPace is the least time between two looks for each rank: a datagram and its
	// answer took some 0.1 ms of a VM with a quarter of a core.
	pollIntervalPerRank = 500 * time.Microsecond
	// countBytes is the size of one count in an answer: one or two bytes as a rule.
	bytesPerCount = 1.5
	// countsPerLook is how many counts are asked of a rank at once, so that they fit
	// into a datagram.
	countsPerQuery = 600
	// callTimeout bounds a call to a rank's agent, commandTimeout one that carries an
	// order: an order without an answer is repeated. Both grow by rankTime for each
	// rank that is called at once, prepare orders by mapTime: whole maps go over HTTP.
	callTimeout       = 250 * time.Millisecond
	commandTimeout    = 120 * time.Millisecond
	timeoutPerRank    = time.Millisecond
	mapTimeoutPerRank = 12 * time.Millisecond
	// leastShare keeps the trigger finite for engines without experts.
	minExpertShare = 0.01
	// leastChoices is how many choices of experts a plan must rest on.
	minPlanChoices = 2000
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
	planned      *rebalance.Placement
	plannedMoves int
	// copies is how many experts the rank that copies most has to copy for it.
	plannedCopies int
	// switchTime is the smoothed time that a switch takes besides its copies.
	switchTime time.Duration
	// placementEpoch and placementVersion are those of placement.
	placementEpoch, placementVersion int64
	rankExperts                      [][][]int
	switchStartedAt                  time.Time
	highestFence                     int64
	loggedStage                      Stage
	// armedFrom is when arming began; passTime is the smoothed time of a pass, from
	// the newest pass seen at passSeenAt.
	armingStartedAt time.Time
	passTime        time.Duration
	lastPass        int64
	lastPassAt      time.Time
	// countedAt is when counts were asked for last, countRound how often.
	countRoundAt time.Time
	countRound   int
	// lost are the ranks that couldn't be observed last time.
	unreachable []bool
}

// NewHolder returns a holder with a fresh lease. policy is asked before each
// decision, since operators may change it.
func NewHolder(ranks RankClient, lease Lease, policy func() Policy, now func() time.Time, log *logrus.Entry) *Holder {
	shape := rebalance.Shape{
		Ranks: lease.Size, Experts: lease.Engine.Experts, Layers: lease.Engine.Sets, Slots: lease.Engine.Placements,
	}
	state := NewMapSwitch(now(), lease.Fence, lease.OwnRank, lease.FormerRank, lease.Size)
	state.SetArmingPasses(int64(lease.Size / ranksPerLeadPass))
	return &Holder{
		ranks: ranks, lease: lease, policy: policy, now: now, log: log.WithField("fence", lease.Fence),
		state: state, demand: NewDemand(shape, policy().HalfLife),
		planner: rebalance.NewPlanner(shape), shape: shape, unreachable: make([]bool, lease.Size), switchTime: initialSwitchTime,
	}
}

// Run steers until the context ends or another holder has a higher fence.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil && !h.superseded() {
		began := h.now()
		h.observe(ctx)
		h.updatePassTime()
		h.plan()
		h.sendCommands(ctx)
		h.logStageChange()
		wait.For(ctx, h.pollInterval()-h.now().Sub(began))
	}
	h.log.Info("no longer holder")
}

func (h *Holder) superseded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Fenced() || h.highestFence > h.lease.Fence
}

// observe looks at all ranks at once.
func (h *Holder) observe(ctx context.Context) {
	needExperts := h.placement == nil || h.placementEpoch != h.state.Epoch() ||
		(h.state.Stage() == StageIdle && h.mapInUse() != h.placementVersion)
	if needExperts {
		h.rankExperts = make([][][]int, h.shape.Ranks)
	}
	needCounts := h.beginCountRound()
	h.forEachRank(func(rank int) {
		query := Query{Experts: needExperts}
		if needCounts {
			query.From, query.To = h.countWindow(rank)
		}
		ctx, cancel := context.WithTimeout(ctx, h.scaledTimeout(callTimeout, timeoutPerRank))
		defer cancel()
		observation, err := h.ranks.Observe(ctx, rank, h.lease.Fence, query)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.trackReachability(rank, err)
		if err != nil {
			h.state.MarkUnreachable(h.now(), rank)
			return
		}
		h.highestFence = max(h.highestFence, observation.Fence)
		h.state.HandleReport(h.now(), rank, observation.Report)
		h.demand.Add(observation.Counts.Offset, observation.Counts.Chosen)
		if needExperts {
			h.rankExperts[rank] = observation.Experts
		}
	})
	if needExperts {
		h.adoptCurrentMap()
	}
	h.logDemandJump(h.demand.EndSample(h.now()))
}

// noteDemand logs that demand has jumped.
func (h *Holder) logDemandJump(sample Sample) {
	if !sample.Jumped {
		return
	}
	h.log.WithFields(logrus.Fields{
		"epoch": h.state.Epoch(), "choices": sample.Choices, "distance": sample.Distance, "usual": sample.Baseline,
	}).Info("expert demand has jumped: the estimate begins anew")
}

// noteStage logs when a switch moves on; each stage ends within some passes.
func (h *Holder) logStageChange() {
	stage := h.state.Stage()
	if stage != h.loggedStage {
		h.log.WithFields(logrus.Fields{
			"stage": stage.String(), "before": h.loggedStage.String(), "version": h.state.Version(), "pass": h.state.pass,
		}).Info("switch moved on")
	}
	h.loggedStage = stage
}

// noteRank logs when a rank is lost or regained.
func (h *Holder) trackReachability(rank int, err error) {
	log := h.log.WithField("rank", rank)
	switch {
	case err != nil && !h.unreachable[rank]:
		log.WithError(err).Warn("rank lost")
	case err == nil && h.unreachable[rank]:
		log.Info("rank regained")
	}
	h.unreachable[rank] = err != nil
}

// each runs f for every rank at once.
func (h *Holder) forEachRank(f func(rank int)) {
	var all sync.WaitGroup
	for rank := range h.shape.Ranks {
		all.Go(func() { f(rank) })
	}
	all.Wait()
}

// drive gives the orders that are due until the state waits for reports, or comes
// back to a stage: then what the ranks report has to be looked at first.
func (h *Holder) sendCommands(ctx context.Context) {
	visited := map[Stage]bool{}
	for ctx.Err() == nil {
		commands := h.state.PendingCommands()
		if len(commands) == 0 {
			return
		}
		stage, pass, pending := h.state.Stage(), h.state.pass, len(commands)
		visited[stage] = true
		var all sync.WaitGroup
		for _, command := range commands {
			all.Go(func() { h.sendCommand(ctx, command) })
		}
		all.Wait()
		h.updateArmingPasses(stage)
		same := h.state.Stage() == stage && h.state.pass == pass
		if h.state.Stage() == StagePrepare || (same && len(h.state.PendingCommands()) >= pending) {
			return
		}
		if h.state.Stage() != stage && visited[h.state.Stage()] {
			return
		}
	}
}

func (h *Holder) sendCommand(ctx context.Context, command RankCommand) {
	perRank := timeoutPerRank
	if command.Command.Operation == Prepare {
		perRank = mapTimeoutPerRank
	}
	ctx, cancel := context.WithTimeout(ctx, h.scaledTimeout(commandTimeout, perRank))
	defer cancel()
	result, err := h.ranks.SendCommand(ctx, command.Rank, command.Command, command.Direct)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.log.WithError(err).WithFields(logrus.Fields{
			"rank": command.Rank, "stage": h.state.Stage().String(), "version": command.Command.Version, "pass": command.Command.Pass,
		}).Info("order not accepted")
	}
	h.state.HandleResult(h.now(), command.Rank, command.Command, result)
}
