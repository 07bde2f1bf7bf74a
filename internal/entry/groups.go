package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/group"
	"github.com/crowbridge/crowbridge/internal/platform"
	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// leaseTime is how long a lease may go without renewal before others claim it.
	leaseTime   = 6 * time.Second
	renewEvery  = leaseTime / 3
	groupTick   = 100 * time.Millisecond
	orderWait   = 6 * time.Second
	claimSpread = time.Second
	// orderWorkers bounds the orders in flight of one group.
	orderWorkers = 32
	// switchMargin is how many steps ahead of the last granted one a switch is
	// proposed.
	switchMargin       = 30
	defaultPlanSeconds = 60
	defaultMaxMoves    = 4096
	popularityWeight   = 0.5
)

// Groups claims the leases of groups and drives those that this daemon holds.
// Any entry may hold any lease. A holder whose lease lapsed goes on until a rank
// refuses its number: that a newer holder exists is known at the ranks, not by a
// clock, so a zone without the log keeps the holder it has.
type Groups struct {
	holder  string
	replica *replica.Replica
	log     platform.Log
	client  *http.Client
	logger  *logrus.Entry
	now     func() time.Time
}

// NewGroups returns the driver of an entry. The holder's name is new with each
// start: a restarted daemon must claim anew, since it knows nothing of what it
// ordered under an older fencing number.
func NewGroups(name, daemonKey string, rep *replica.Replica, log platform.Log, now func() time.Time, logger *logrus.Entry) *Groups {
	return &Groups{
		holder: name + "/" + uuid.NewString(), replica: rep, log: log,
		client: daemon.NewControlClient(daemonKey), now: now, logger: logger,
	}
}

// Run drives the groups until the context ends.
func (g *Groups) Run(ctx context.Context) error {
	drivers := map[string]*driver{}
	ticker := time.NewTicker(groupTick)
	defer ticker.Stop()
	for {
		view := g.replica.View()
		for _, object := range view.List(config.KindGroup) {
			d := drivers[object.Name]
			if d == nil {
				d = &driver{groups: g, name: object.Name, logger: g.logger.WithField("group", object.Name)}
				drivers[object.Name] = d
			}
			d.start(ctx, view, object.Group)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// driver is one group seen from this daemon. Its fields belong to one turn at a
// time; turns don't overlap.
type driver struct {
	groups *Groups
	name   string
	logger *logrus.Entry
	busy   chan struct{}

	lastSeen  int64 // the lease's last offset
	seenAt    time.Time
	patience  time.Duration // how long this daemon waits for a renewal
	renewedAt time.Time

	fence     int64
	holder    *group.Holder
	placement *rebalance.Placement
	staged    *rebalance.Placement
	version   group.Version // of staged
	planner   *rebalance.Planner
	smoother  *rebalance.Smoother
	counted   map[int][]int64 // popularity counts by rank at the last plan
	planAt    time.Time
}

// start runs one turn in the background, unless the last is still running.
func (d *driver) start(ctx context.Context, view *config.View, spec *config.Group) {
	if d.busy == nil {
		d.busy = make(chan struct{}, 1)
	}
	select {
	case d.busy <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-d.busy }()
		d.turn(ctx, view, spec)
	}()
}

func (d *driver) turn(ctx context.Context, view *config.View, spec *config.Group) {
	lease, held := view.Lease(d.name)
	if !held || lease.Holder != d.groups.holder {
		d.watch(ctx, lease, held)
	} else if d.groups.now().Sub(d.renewedAt) >= renewEvery {
		d.claim(ctx, lease.Last)
	}
	if held && lease.Holder == d.groups.holder && lease.Fence != d.fence {
		d.take(lease.Fence, spec)
	}
	if d.holder == nil {
		return
	}
	if d.holder.Superseded() {
		d.logger.Info("superseded: another daemon holds the lease")
		d.holder = nil
		return
	}
	d.drive(ctx, view, spec)
}

// watch claims the lease when it has not moved for long enough, judged by this
// daemon's own monotonic clock since it saw the last record.
func (d *driver) watch(ctx context.Context, lease config.Lease, held bool) {
	now := d.groups.now()
	last := config.NoOffset
	if held {
		last = lease.Last
	}
	if d.seenAt.IsZero() || last != d.lastSeen {
		d.lastSeen, d.seenAt = last, now
		d.patience = leaseTime + rand.N(claimSpread)
		if !held {
			d.patience = rand.N(claimSpread)
		}
		return
	}
	if now.Sub(d.seenAt) < d.patience {
		return
	}
	d.seenAt = now // one attempt per patience, so that an outage makes no storm
	d.claim(ctx, last)
}

func (d *driver) claim(ctx context.Context, previous int64) {
	d.renewedAt = d.groups.now()
	record := &config.Record{Format: config.FormatVersion, Kind: config.RecordLease, Lease: &config.LeaseClaim{
		Group: d.name, Holder: d.groups.holder, Previous: previous,
	}}
	data, err := record.Encode()
	if err != nil {
		d.logger.WithError(err).Error("lease claim not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := d.groups.log.Append(ctx, data); err != nil {
		// The claim may have been taken all the same; the fold will tell.
		d.logger.WithError(err).Debug("lease claim not confirmed")
	}
}

func (d *driver) take(fence int64, spec *config.Group) {
	shape := rebalance.Shape{Ranks: spec.Ranks, Experts: spec.Experts, Layers: spec.Layers, Slots: spec.SlotsPerRank}
	placement, err := rebalance.NewPlacement(shape)
	if err != nil {
		d.logger.WithError(err).Error("group can't be driven")
		return
	}
	d.fence = fence
	// Fencing numbers are offsets, which start at 0; the ranks' start at 1.
	d.holder = group.NewHolder(fence+1, spec.Ranks, switchMargin)
	d.placement, d.planner = placement, rebalance.NewPlanner(shape)
	d.smoother = rebalance.NewSmoother(shape, popularityWeight, 0)
	d.counted = map[int][]int64{}
	d.planAt = d.groups.now()
	d.logger.WithField("fence", fence).Info("holding the lease")
}

// drive sends the orders that are due, and plans when the group is ready.
func (d *driver) drive(ctx context.Context, view *config.View, spec *config.Group) {
	addresses := rankAddresses(view, d.name)
	if len(addresses) != spec.Ranks {
		return // not all ranks are configured yet
	}
	counts := d.send(ctx, addresses)
	if d.holder.Phase() != group.PhaseReady || len(counts) != spec.Ranks {
		return
	}
	d.settle()
	every := time.Duration(spec.PlanSeconds) * time.Second
	if every == 0 {
		every = defaultPlanSeconds * time.Second
	}
	if spec.PinnedMap || d.groups.now().Sub(d.planAt) < every {
		return
	}
	d.planAt = d.groups.now()
	d.plan(counts, spec)
}

// settle takes over the placement that was switched to, or forgets it when the
// switch came to nothing.
func (d *driver) settle() {
	if d.staged != nil && d.holder.Target().Version == d.version {
		d.placement = d.staged
	}
	d.staged = nil
}

// rankAddresses returns the control addresses of a group's agents, by rank.
func rankAddresses(view *config.View, name string) map[int]string {
	addresses := map[int]string{}
	for _, object := range view.List(config.KindBackendServer) {
		if object.BackendServer.Group == name {
			addresses[object.BackendServer.Rank] = object.BackendServer.Control
		}
	}
	return addresses
}

// answered is one rank's reply to an order.
type answered struct {
	addressed  group.Addressed
	reply      group.Reply
	popularity []int64
	expertMap  []byte
}

// send sends all due orders at once and hands the replies to the holder. It
// returns the popularity counts of the ranks that answered.
func (d *driver) send(ctx context.Context, addresses map[int]string) map[int][]int64 {
	orders := d.holder.Orders()
	replies := make(chan answered, len(orders))
	var workers errgroup.Group
	workers.SetLimit(orderWorkers)
	for _, addressed := range orders {
		workers.Go(func() error {
			reply, err := d.order(ctx, addresses[addressed.Rank], addressed)
			if err != nil {
				d.logger.WithError(err).WithField("rank", addressed.Rank).Debug("order not answered")
				return nil // it's sent again in the next turn
			}
			replies <- *reply
			return nil
		})
	}
	_ = workers.Wait() // the workers return no errors
	close(replies)
	counts := map[int][]int64{}
	for r := range replies {
		d.holder.Handle(r.addressed.Rank, r.addressed.Order, r.reply)
		counts[r.addressed.Rank] = r.popularity
		d.learn(r.expertMap)
	}
	return counts
}

// learn takes over the map that the ranks use, when this daemon begins to hold
// the lease.
func (d *driver) learn(expertMap []byte) {
	if len(expertMap) == 0 {
		return
	}
	placement, err := rebalance.DecodePlacement(d.placement.Shape, expertMap)
	if err != nil {
		d.logger.WithError(err).Error("the map in use can't be read; planning starts from the default one")
		return
	}
	d.placement = placement
}

func (d *driver) order(ctx context.Context, address string, a group.Addressed) (*answered, error) {
	request := &rpc.OrderRequest{
		Group: d.name, Rank: int64(a.Rank), Fence: a.Order.Fence, Kind: rpc.OrderKind(a.Order.Kind),
		MapVersion: int64(a.Order.Switch.Version), StartStep: a.Order.Switch.Step,
	}
	if a.Order.Kind != group.KindRaise {
		request.Incarnation = strconv.FormatUint(a.Order.Incarnation, 10)
	}
	if a.Order.Kind == group.KindStage {
		data, err := json.Marshal(d.staged)
		if err != nil {
			return nil, errors.Wrap(err, "expert map")
		}
		request.Map = data
	}
	request.WantMap = d.holder.Phase() == group.PhaseRaise && a.Rank == 0
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	reply, err := rpc.NewRanksProtobufClient("http://"+address, d.groups.client).Order(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "rank %d at %s", a.Rank, address)
	}
	incarnation, err := strconv.ParseUint(reply.Incarnation, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "rank %d at %s: incarnation", a.Rank, address)
	}
	return &answered{addressed: a, popularity: reply.Popularity, expertMap: reply.Map, reply: group.Reply{
		Refusal: group.Refusal(reply.Refusal), Fence: reply.Fence, Incarnation: incarnation,
		Committed: group.Switch{Version: group.Version(reply.CommittedVersion), Step: reply.CommittedStep},
		Pending:   reply.Pending, Staged: group.Version(reply.StagedVersion),
		GrantedThrough: reply.GrantedThrough, Step: reply.Step, Recovering: reply.Recovering,
	}}, nil
}

// plan asks for a switch when moves pay.
func (d *driver) plan(counts map[int][]int64, spec *config.Group) {
	d.smoother.Observe(0, d.popularity(counts, spec))
	speeds := make([]float64, spec.Ranks)
	for rank := range speeds {
		speeds[rank] = 1
	}
	limit := spec.MaxMoves
	if limit == 0 {
		limit = defaultMaxMoves
	}
	moves := d.planner.Plan(d.placement, d.smoother.Estimate(0), speeds, rebalance.Options{
		SkewWeight: spec.SkewWeight, CostWeight: spec.CostWeight, MaxMoves: limit,
	})
	if len(moves) == 0 {
		return
	}
	next := d.placement.Clone()
	next.Apply(moves)
	version, ok := d.holder.Want()
	if !ok {
		return
	}
	d.staged, d.version = next, version
	d.logger.WithFields(logrus.Fields{"moves": len(moves), "version": version}).Info("switching the expert map")
}

// popularity returns the work per expert since the last plan, over all ranks.
func (d *driver) popularity(counts map[int][]int64, spec *config.Group) rebalance.Popularity {
	total := rebalance.NewPopularity(rebalance.Shape{Experts: spec.Experts, Layers: spec.Layers})
	for rank, now := range counts {
		before := d.counted[rank]
		for i, count := range now {
			if i < len(before) && before[i] <= count {
				count -= before[i]
			}
			if layer := i / spec.Experts; layer < spec.Layers {
				total[layer][i%spec.Experts] += float64(count)
			}
		}
		d.counted[rank] = now
	}
	return total
}
