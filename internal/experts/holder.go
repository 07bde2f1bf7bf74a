package experts

import (
	"context"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/rebalance"
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
	// Observe reads a rank's state; lists asks for its experts too.
	Observe(ctx context.Context, rank int, fence int64, lists bool) (Observation, error)
	// Command gives a rank's engine an order.
	// direct orders go past the rank's agent.
	Command(ctx context.Context, rank int, order Order, direct bool) (Verdict, error)
}

// Policy are the weights and paces of a holder.
type Policy struct {
	// ObservePace is the time between two looks at all ranks.
	ObservePace time.Duration
	// HalfLife is the time in which the estimate of demand forgets half.
	HalfLife time.Duration
	// PassPart is the part of the longest pause between events that a pass's own work
	// may take: prompts that are read make it longer. It gives the skew, the slowest
	// rank's time over the mean, from which on a new map is planned.
	PassPart float64
	// TargetPart says how far a plan goes: 0 to a skew of 1, 1 not beyond the trigger.
	TargetPart float64
	// LeastTrigger and MostTrigger bound the trigger.
	LeastTrigger, MostTrigger float64
	// MovePrice is what loading one expert has to gain, in per cent of a set's time.
	MovePrice float64
}

// DefaultPolicy was chosen by runs on the users' days; see docs/decisions.
var DefaultPolicy = Policy{
	ObservePace:  150 * time.Millisecond,
	HalfLife:     500 * time.Millisecond,
	PassPart:     0.52,
	TargetPart:   0.5,
	LeastTrigger: 1.2,
	MostTrigger:  1.8,
	MovePrice:    0.5,
}

const (
	// stagePace is the time between two looks while a switch waits for reports.
	stagePace = 60 * time.Millisecond
	// callTimeout bounds a call to a rank's agent, commandTimeout one that carries an
	// order: an order without an answer is repeated.
	callTimeout    = 250 * time.Millisecond
	commandTimeout = 120 * time.Millisecond
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
	// lost are the ranks that couldn't be observed last time.
	lost  []bool
	fence int64
}

// NewHolder returns a holder with a fresh lease.
func NewHolder(ranks Ranks, engine *fleet.EngineModel, pause time.Duration, size, ownRank int, lease Claimed, policy Policy, now func() time.Time, log *logrus.Entry) *Holder {
	shape := rebalance.Shape{Ranks: size, Experts: engine.Experts, Layers: engine.Sets, Slots: engine.Placements}
	return &Holder{
		ranks: ranks, engine: engine, pause: pause, policy: policy, now: now, fence: lease.Fence,
		log:   log.WithField("fence", lease.Fence),
		state: NewSwitch(now(), lease.Fence, ownRank, lease.FormerRank, size), demand: NewDemand(shape, policy.HalfLife),
		planner: rebalance.NewPlanner(shape), shape: shape, lost: make([]bool, size),
	}
}

// Run steers until the context ends or another holder has a higher fence.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil && !h.superseded() {
		began := h.now()
		h.observe(ctx)
		h.plan()
		h.drive(ctx)
		h.noteStage()
		pace := h.policy.ObservePace
		if h.state.Stage() != StageIdle {
			pace = stagePace
		}
		sleep(ctx, pace-h.now().Sub(began))
	}
	h.log.Info("no longer holder")
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
	h.each(func(rank int) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		seen, err := h.ranks.Observe(ctx, rank, h.fence, lists)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.noteRank(rank, err)
		if err != nil {
			h.state.Missed(h.now(), rank)
			return
		}
		h.highest = max(h.highest, seen.Fence)
		h.state.Report(h.now(), rank, seen.Report)
		h.demand.Observe(h.now(), rank, seen.Counts)
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

func (h *Holder) mapInUse() int64 { return h.state.reports[0].Map }

// adoptLists takes the map that the ranks tell as the present one.
func (h *Holder) adoptLists() {
	lists, whole := h.listsBySet()
	h.state.SetPresent(lists)
	if !whole || !h.state.Ready() {
		return
	}
	placement, err := rebalance.FromLists(h.shape, lists)
	if err != nil {
		h.log.WithError(err).Warn("the ranks' experts make no map")
		return
	}
	h.placement, h.placementEpoch, h.placementVersion = placement, h.state.Epoch(), h.mapInUse()
}

// listsBySet orders what the ranks told by set. Ranks that told nothing get the
// experts that no other rank has; whole says that there are none.
func (h *Holder) listsBySet() (lists [][][]int, whole bool) {
	whole = true
	lists = make([][][]int, h.shape.Layers)
	for set := range lists {
		lists[set] = make([][]int, h.shape.Ranks)
		held := make([]bool, h.shape.Experts)
		silent := -1
		for rank, sets := range h.lists {
			if len(sets) != h.shape.Layers {
				silent, whole = rank, false
				continue
			}
			lists[set][rank] = sets[set]
			for _, expert := range sets[set] {
				held[expert%h.shape.Experts] = true
			}
		}
		for expert, known := range held {
			if !known && silent >= 0 {
				lists[set][silent] = append(lists[set][silent], expert)
			}
		}
	}
	return lists, whole
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

// trigger is the skew from which on a new map pays: the busier the ranks, the
// longer a pass is without any skew, and the less of it fits.
func (h *Holder) trigger() float64 {
	busiest := 0
	for _, r := range h.state.reports {
		busiest = max(busiest, r.Running)
	}
	e := h.engine
	step := e.Step + time.Duration(busiest)*e.StepPerRequest
	even := float64(e.Stride) * step.Seconds()
	room := h.policy.PassPart * h.pause.Seconds() / even
	skew := (room - (1 - e.ExpertShare)) / max(e.ExpertShare, leastShare)
	return min(max(skew, h.policy.LeastTrigger), h.policy.MostTrigger)
}

// speeds are the ranks' speeds relative to a healthy one's.
func (h *Holder) speeds() []float64 {
	speeds := make([]float64, h.shape.Ranks)
	for rank := range speeds {
		speeds[rank] = 1 / max(h.state.reports[rank].Pace, 1)
	}
	return speeds
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
		same := h.state.Stage() == stage && h.state.pass == pass
		if h.state.Stage() == StagePrepare || (same && len(h.state.Orders()) >= due) {
			return
		}
	}
}

func (h *Holder) command(ctx context.Context, o RankOrder) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
