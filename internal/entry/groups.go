package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/group"
	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

const (
	// A lease is renewed every minRenewal, or every renewalPerGroup times the number
	// of groups if that is longer, so that renewals stay few on the log; after
	// renewalsPerLease of them without one, others claim it. Safety doesn't depend on
	// these times.
	minRenewal       = 2 * time.Second
	renewalPerGroup  = time.Second
	renewalsPerLease = 3
	groupTick        = 100 * time.Millisecond
	orderWait        = 6 * time.Second
	claimSpread      = time.Second
	// orderWorkers bounds the orders in flight of one group.
	orderWorkers = 32
	// switchMargin is how many steps ahead of the last granted one a switch is
	// proposed.
	switchMargin       = 30
	defaultPlanSeconds = 300
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
	log     replica.Log
	client  *http.Client
	logger  *logrus.Entry
	now     func() time.Time
}

// NewGroups returns the driver of an entry. A holder's identity on the log is
// new with each start: a restarted daemon must claim anew, since it knows nothing
// of what it ordered under an older fencing number.
func NewGroups(name, daemonKey string, rep *replica.Replica, log replica.Log, now func() time.Time, logger *logrus.Entry) *Groups {
	return &Groups{
		holder: name, replica: rep, log: log,
		client: daemon.NewControlClient(daemonKey), now: now, logger: logger,
	}
}

// Run drives the groups until the context ends.
func (g *Groups) Run(ctx context.Context) error {
	drivers := map[string]*driver{}
	ticker := time.NewTicker(groupTick)
	defer ticker.Stop()
	var l *layout
	for {
		view := g.replica.View()
		if l == nil || l.configured != view.Configured {
			l = newLayout(view)
		}
		for _, object := range l.groups {
			d := drivers[object.Name]
			if d == nil {
				d = &driver{groups: g, name: object.Name, logger: g.logger.WithField("group", object.Name)}
				drivers[object.Name] = d
			}
			d.start(ctx, view, l, object.Group)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// layout is what one configuration says of groups, compiled once for it.
type layout struct {
	configured int64
	groups     []*config.Object
	// ranks holds the control addresses of each group's agents, by rank.
	ranks map[string]map[int]string
	// renewEvery is the time between renewals of a lease.
	renewEvery time.Duration
}

func newLayout(view *config.View) *layout {
	l := &layout{configured: view.Configured, groups: view.List(config.KindGroup), ranks: map[string]map[int]string{}}
	l.renewEvery = max(minRenewal, time.Duration(len(l.groups))*renewalPerGroup)
	if len(l.groups) == 0 {
		return l
	}
	for _, object := range view.List(config.KindBackendServer) {
		server := object.BackendServer
		if server.Group == "" {
			continue
		}
		if l.ranks[server.Group] == nil {
			l.ranks[server.Group] = map[int]string{}
		}
		l.ranks[server.Group][server.Rank] = server.Control
	}
	return l
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

	// name of the holder on the log, new for each shape of the group, since a map of
	// one shape means nothing in another.
	identity string
	shape    rebalance.Shape

	fence     int64
	holder    *group.Holder
	placement *rebalance.Placement
	staged    *rebalance.Placement
	version   group.Version // of staged
	moves     int           // from placement to staged
	planner   *rebalance.Planner
	smoother  *rebalance.Smoother
	// slowness of ranks, and of the whole group against what the last plan left.
	stragglers *rebalance.Stragglers
	trigger    rebalance.Trigger
	counted    map[int][]int64 // popularity counts by rank at the last plan
	planAt     time.Time
}

// start runs one turn in the background, unless the last is still running.
func (d *driver) start(ctx context.Context, view *config.View, l *layout, spec *config.Group) {
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
		d.turn(ctx, view, l, spec)
	}()
}

func (d *driver) turn(ctx context.Context, view *config.View, l *layout, spec *config.Group) {
	d.adapt(spec)
	lease, held := view.Lease(d.name)
	mine := held && lease.Holder == d.identity
	if !mine {
		d.watch(ctx, lease, held, renewalsPerLease*l.renewEvery)
	} else if d.groups.now().Sub(d.renewedAt) >= l.renewEvery {
		d.claim(ctx, lease.Last)
	}
	if mine && lease.Fence != d.fence {
		d.take(lease.Fence)
	}
	if d.holder == nil {
		return
	}
	if d.holder.Superseded() {
		d.logger.Info("superseded: another daemon holds the lease")
		d.holder = nil
		return
	}
	d.drive(ctx, l.ranks[d.name], spec)
}

// adapt gives up a holder whose group has changed its shape: it must claim anew
// under another name and number.
func (d *driver) adapt(spec *config.Group) {
	shape := rebalance.Shape{Ranks: spec.Ranks, Experts: spec.Experts, Layers: spec.Layers, Slots: spec.SlotsPerRank}
	if shape == d.shape {
		return
	}
	d.shape = shape
	d.identity = d.groups.holder + "/" + uuid.NewString()
	d.holder = nil
}

// watch claims the lease when it has not moved for long enough, judged by this
// daemon's own monotonic clock since it saw the last record.
func (d *driver) watch(ctx context.Context, lease config.Lease, held bool, leaseTime time.Duration) {
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
	d.append(ctx, &config.Record{Format: config.FormatVersion, Kind: config.RecordLease, Lease: &config.LeaseClaim{
		Group: d.name, Holder: d.identity, Previous: previous,
	}})
}

// append puts a record onto the log. Its answer may be lost; the fold tells
// whether a claim was taken.
func (d *driver) append(ctx context.Context, record *config.Record) {
	data, err := record.Encode()
	if err != nil {
		d.logger.WithError(err).Error("record not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := d.groups.log.Append(ctx, data); err != nil {
		d.logger.WithError(err).WithField("kind", record.Kind).Debug("append not confirmed")
	}
}

func (d *driver) take(fence int64) {
	placement, err := rebalance.NewPlacement(d.shape)
	if err != nil {
		d.logger.WithError(err).Error("group can't be driven")
		return
	}
	d.fence = fence
	// Fencing numbers are offsets, which start at 0; the ranks' start at 1.
	d.holder = group.NewHolder(fence+1, d.shape.Ranks, switchMargin)
	d.placement, d.planner = placement, rebalance.NewPlanner(d.shape)
	d.smoother = rebalance.NewSmoother(d.shape, popularityWeight, 0)
	d.stragglers, d.trigger = rebalance.NewStragglers(d.shape.Ranks), rebalance.Trigger{}
	d.counted = map[int][]int64{}
	d.planAt = d.groups.now()
	d.logger.WithField("fence", fence).Info("holding the lease")
}

// drive sends the orders that are due, and plans when the group is ready.
func (d *driver) drive(ctx context.Context, addresses map[int]string, spec *config.Group) {
	if len(addresses) != spec.Ranks {
		return // not all ranks are configured yet
	}
	answers := d.send(ctx, addresses)
	if d.holder.Phase() != group.PhaseReady || len(answers) != spec.Ranks {
		return
	}
	d.settle(ctx)
	sudden := d.watchSpeeds(answers)
	every := time.Duration(spec.PlanSeconds) * time.Second
	if every == 0 {
		every = defaultPlanSeconds * time.Second
	}
	if spec.PinnedMap || (!sudden && d.groups.now().Sub(d.planAt) < every) {
		return
	}
	d.planAt = d.groups.now()
	d.plan(answers, spec)
}

// settle takes over the placement that was switched to, or forgets it when the
// switch came to nothing.
func (d *driver) settle(ctx context.Context) {
	if d.staged == nil {
		return
	}
	target := d.holder.Target()
	if target.Version == d.version {
		d.placement = d.staged
		d.append(ctx, &config.Record{Format: config.FormatVersion, Kind: config.RecordEvent, Event: &config.Event{
			Actor: d.identity, Action: config.AuditMap, Object: string(config.KindGroup) + "/" + d.name,
			Detail: fmt.Sprintf("map %d from step %d, %d experts loaded, fence %d", target.Version, target.Step, d.moves, d.fence),
		}})
	}
	d.staged = nil
}
