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

// Observation is the response of a rank's agent to a Query.
type Observation struct {
	Report RankReport
	Counts Counts
	// Experts are those of the map in use, by layer, if the query asks for them.
	Experts [][]int
	// Fence is the highest fencing token that the agent has seen.
	Fence int64
}

// RankClient calls the agents of a group's ranks.
type RankClient interface {
	// Observe reads the state of a rank and the rest of what query selects.
	Observe(ctx context.Context, rank int, fence int64, query Query) (Observation, error)
	// SendCommand sends a command to a rank. If direct is set, it goes to the
	// engine and bypasses the agent.
	SendCommand(ctx context.Context, rank int, command Command, direct bool) (Result, error)
	// CountsBandwidth returns how many bytes of counts may be queried per second.
	CountsBandwidth() float64
}

const (
	// switchPollInterval is the time between two observations during a switch.
	switchPollInterval = 40 * time.Millisecond
	// pollIntervalPerRank is the least time between two observations per rank of
	// the group. It bounds the CPU time spent on datagrams.
	pollIntervalPerRank = 500 * time.Microsecond
	// bytesPerCount is the typical encoded size of one count.
	bytesPerCount = 1.5
	// countsPerQuery is how many counts of a rank fit into a datagram.
	countsPerQuery = 600
	// callTimeout bounds a call to a rank's agent, commandTimeout a call with a
	// command, which is repeated after that. Both grow by timeoutPerRank for each
	// rank of the group; Prepare commands, which may go over HTTP, by
	// mapTimeoutPerRank instead.
	callTimeout       = 250 * time.Millisecond
	commandTimeout    = 120 * time.Millisecond
	timeoutPerRank    = time.Millisecond
	mapTimeoutPerRank = 12 * time.Millisecond
	// minExpertShare keeps the trigger finite for engines without experts.
	minExpertShare = 0.01
	// minPlanSelections is the number of expert selections that a plan needs.
	minPlanSelections = 2000
	// prepareTimeout is how long all ranks may take to prepare a map before the
	// switch is aborted.
	prepareTimeout = 4 * time.Second
)

// Lease is a claimed lease with the parameters of its group.
type Lease struct {
	ClaimResult
	// Size is the number of ranks; OwnRank is the rank on this VM.
	Size, OwnRank int
	// Engine is the published cost model of the group's engines.
	Engine *fleet.EngineModel
	// MaxEventGap is the longest gap between events of a stream that callers
	// accept as prompt.
	MaxEventGap time.Duration
	// OnMapChange, if set, is called when a new map is in use. It must not block.
	OnMapChange func(MapChange)
}

// MapChange describes a completed switch.
type MapChange struct {
	Fence, Epoch, Version int64
	// Pass is the first pass that ran with the map.
	Pass int64
	// Moves is the number of replicas that were loaded or dropped.
	Moves int
}

// Holder manages the expert map of one group while this process holds its lease.
type Holder struct {
	ranks  RankClient
	lease  Lease
	policy func() Policy
	log    *logrus.Entry
	now    func() time.Time

	mu        sync.Mutex // guards the state that concurrent calls of a round update; leaf lock
	state     *MapSwitch
	demand    *Demand
	planner   *rebalance.Planner
	shape     rebalance.Shape
	placement *rebalance.Placement
	// planned is the placement that the current switch leads to.
	planned      *rebalance.Placement
	plannedMoves int
	// plannedCopies is the largest number of experts that one rank has to copy.
	plannedCopies int
	// switchTime is the moving average of the time that a switch takes besides copying.
	switchTime time.Duration
	// placementEpoch and placementVersion identify placement.
	placementEpoch, placementVersion int64
	rankExperts                      [][][]int
	switchStartedAt                  time.Time
	highestFence                     int64
	loggedStage                      Stage
	// armingStartedAt is when the current arming began. passTime is the moving average
	// of the time that a pass takes, lastPass the newest pass, first seen at lastPassAt.
	armingStartedAt time.Time
	passTime        time.Duration
	lastPass        int64
	lastPassAt      time.Time
	// countRoundAt is when the last round of counts began.
	countRoundAt time.Time
	countRound   int
	// unreachable marks the ranks that couldn't be observed last time.
	unreachable []bool
}

// NewHolder returns the holder of a lease. It calls policy before each decision,
// since operators may change it.
func NewHolder(ranks RankClient, lease Lease, policy func() Policy, now func() time.Time, log *logrus.Entry) *Holder {
	shape := rebalance.Shape{
		Ranks: lease.Size, Experts: lease.Engine.Experts, Layers: lease.Engine.Layers, Slots: lease.Engine.SlotsPerRank,
	}
	state := NewMapSwitch(now(), lease.Fence, lease.OwnRank, lease.FormerRank, lease.Size)
	state.SetLeadPasses(int64(lease.Size / ranksPerLeadPass))
	return &Holder{
		ranks: ranks, lease: lease, policy: policy, now: now, log: log.WithField("fence", lease.Fence),
		state: state, demand: NewDemand(shape, policy().HalfLife),
		planner: rebalance.NewPlanner(shape), shape: shape, unreachable: make([]bool, lease.Size), switchTime: initialSwitchTime,
	}
}

// Run manages the map until the context ends or the lease is superseded.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil && !h.superseded() {
		startedAt := h.now()
		h.observe(ctx)
		h.updatePassTime()
		h.plan()
		h.sendCommands(ctx)
		h.logStageChange()
		wait.For(ctx, h.pollInterval()-h.now().Sub(startedAt))
	}
	h.log.Info("no longer lease holder")
}

func (h *Holder) superseded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Fenced() || h.highestFence > h.lease.Fence
}

// observe queries all ranks concurrently.
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
		h.demand.Add(observation.Counts.Offset, observation.Counts.Selections)
		if needExperts {
			h.rankExperts[rank] = observation.Experts
		}
	})
	if needExperts {
		h.adoptCurrentMap()
	}
	h.logDemandJump(h.demand.EndSample(h.now()))
}

func (h *Holder) logDemandJump(sample Sample) {
	if !sample.Jumped {
		return
	}
	h.log.WithFields(logrus.Fields{
		"epoch": h.state.Epoch(), "choices": sample.Selections, "distance": sample.Distance, "usual": sample.Baseline,
	}).Info("expert demand jumped, estimate reset")
}

func (h *Holder) logStageChange() {
	stage := h.state.Stage()
	if stage != h.loggedStage {
		h.log.WithFields(logrus.Fields{
			"stage": stage.String(), "before": h.loggedStage.String(), "version": h.state.Version(), "pass": h.state.pass,
		}).Info("map switch stage changed")
	}
	h.loggedStage = stage
}

// trackReachability logs when a rank becomes unreachable or reachable again.
func (h *Holder) trackReachability(rank int, err error) {
	log := h.log.WithField("rank", rank)
	switch {
	case err != nil && !h.unreachable[rank]:
		log.WithError(err).Warn("rank unreachable")
	case err == nil && h.unreachable[rank]:
		log.Info("rank reachable again")
	}
	h.unreachable[rank] = err != nil
}

// forEachRank calls f for all ranks concurrently.
func (h *Holder) forEachRank(f func(rank int)) {
	var all sync.WaitGroup
	for rank := range h.shape.Ranks {
		all.Go(func() { f(rank) })
	}
	all.Wait()
}

// sendCommands sends pending commands until the switch waits for reports, makes no
// progress, or returns to an earlier stage, which needs new reports first.
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
		h.updateLeadPasses(stage)
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
		}).Info("command not accepted")
	}
	h.state.HandleResult(h.now(), command.Rank, command.Command, result)
}
