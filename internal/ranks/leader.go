// Package ranks connects the agents of a group's ranks: their calls to each
// other, and the claim of the group's lease by one of them, which steers the
// group's expert maps while it has it.
package ranks

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"
)

// Place is where a rank of a group is reached.
type Endpoints struct {
	// Server names the backend server that is the rank.
	Server string
	// Agent and Engine are the IP:port of the agent's rank calls and of the engine itself.
	Agent, Engine string
	// Fences tells that the engine refuses orders with old fencing numbers.
	ChecksFence bool
}

// Terms are what a holder goes by in a group.
type Parameters struct {
	// Engine is the published cost model of the group's engines.
	Engine *fleet.EngineModel
	// Pause is the longest pause between events that callers take as prompt; 0 when
	// that isn't known.
	MaxEventGap time.Duration
	Policy      experts.Policy
}

// Directory knows the groups and where their ranks are. Its answers may change
// at any time.
type Directory interface {
	Endpoints(group string, rank int) (Endpoints, error)
	// Terms returns false while the group isn't known, or has no expert maps.
	Parameters(group string) (Parameters, bool)
}

// Options are what a leader needs to know of its own daemon.
type Options struct {
	// Daemon is the name under which it claims leases.
	Daemon string
	// IP is the address from which it calls agents, Key the secret that it shares with
	// them; empty for none.
	IP, Key string
	// Room is how many bytes of counts a second may come over the VM's link.
	CountsBandwidth float64
	// Trail is nil when nobody wants to know.
	AuditTrail AuditTrail
}

// Trail is told what a leader does. It must not block.
type AuditTrail interface {
	// Claimed tells of a lease.
	LeaseClaimed(group string, fence int64)
	// Changed tells of a new map in use.
	MapChanged(group string, change experts.MapChange)
}

// Leader claims the lease of the group of one agent's engine when no holder
// calls, and steers the group while it has the lease.
type Leader struct {
	options   Options
	agent     *experts.Agent
	engine    experts.Engine
	directory Directory
	store     experts.LeaseStore
	http      *http.Client
	log       *logrus.Entry
}

// NewLeader returns the leader beside an agent. The HTTP client reaches the
// other agents.
func NewLeader(o Options, agent *experts.Agent, engine experts.Engine, d Directory, store experts.LeaseStore, c *http.Client, log *logrus.Entry) *Leader {
	return &Leader{options: o, agent: agent, engine: engine, directory: d, store: store, http: c, log: log}
}

const (
	// silencePace is how often an agent looks for what it needs before it can claim.
	pollInterval = 50 * time.Millisecond
	// silenceLook bounds the wait until a holder may have been silent for long enough:
	// the engine's rank, or its group, may change meanwhile.
	maxPollInterval = 250 * time.Millisecond
	// claimTimeout bounds a claim of the lease.
	claimTimeout = 1500 * time.Millisecond
	// claimPause is kept after a claim that failed.
	claimRetryDelay = 500 * time.Millisecond
)

// Run claims and steers until the context ends. Somebody else has to keep the
// agent's report of its engine fresh.
func (l *Leader) Run(ctx context.Context) {
	l.loadFence(ctx)
	for ctx.Err() == nil {
		report := l.agent.LastReport()
		fence, elapsed := l.agent.SinceHolderCall()
		if remaining := experts.ClaimDelay(report.Rank) - elapsed; remaining > 0 || report.Size == 0 {
			wait.For(ctx, min(max(remaining, pollInterval), maxPollInterval))
			continue
		}
		if parameters, known := l.directory.Parameters(report.Group); known {
			l.claim(ctx, report, parameters, fence)
		}
		wait.For(ctx, pollInterval)
	}
}

// learnFence reads the lease's history, so that an agent that started again takes no
// orders of a former holder, and can claim without waiting twice. Where an earlier
// process of this daemon was the holder, it claims at once: when all daemons are killed
// and start again, that and the pace of members at their start bring the first map
// into use 0.5 to 0.9 s sooner.
func (l *Leader) loadFence(ctx context.Context) {
	for ctx.Err() == nil && l.agent.LastReport().Size == 0 {
		wait.For(ctx, pollInterval)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	newest, err := experts.CurrentLease(ctx, l.store, l.agent.LastReport().Group)
	if err != nil {
		l.log.WithError(err).Info("the lease's history wasn't read: it will be when the lease is claimed")
		return
	}
	if newest.Fence > 0 && newest.Holder == l.options.Daemon {
		l.log.WithField("fence", newest.Fence).Info("an earlier process of this daemon had the lease: it is claimed at once")
		l.agent.MarkHolderGone(newest.Fence)
		return
	}
	l.agent.ObserveFence(newest.Fence)
}

// claim tries to get the lease and steers the group while it has it.
func (l *Leader) claim(ctx context.Context, report experts.RankReport, parameters Parameters, knownFence int64) {
	claiming, cancel := context.WithTimeout(ctx, claimTimeout)
	claimed, err := experts.ClaimLease(claiming, l.store,
		experts.LeaseRecord{Group: report.Group, Holder: l.options.Daemon, Rank: report.Rank}, knownFence)
	cancel()
	log := l.log.WithFields(logrus.Fields{
		"group": report.Group, "rank": report.Rank, "known_fence": knownFence, "fence": claimed.Fence, "newest": claimed.Newest,
		"unreadable": claimed.Unreadable,
	})
	if err != nil {
		log.WithError(err).Info("lease not claimed: the store gave no answer")
		wait.For(ctx, claimRetryDelay)
		return
	}
	l.agent.ObserveFence(claimed.Newest)
	if claimed.Fence == 0 {
		log.Info("lease not claimed: another daemon has it")
		return
	}
	log.Info("lease claimed")
	l.lead(ctx, report, parameters, claimed)
}

// steer is the holder until another has a higher fence.
func (l *Leader) lead(ctx context.Context, report experts.RankReport, parameters Parameters, claimed experts.ClaimResult) {
	link, err := newUDPClient(l.options.IP, authenticator{key: []byte(l.options.Key)}, rand.Uint64())
	if err != nil {
		l.log.WithError(err).Error("the group can't be steered from here")
		wait.For(ctx, claimRetryDelay)
		return
	}
	defer link.close()
	ranks := &client{
		group: report.Group, directory: l.directory, udp: link, http: l.http,
		local: l.agent, ownRank: report.Rank, engine: l.engine, countsBandwidth: l.options.CountsBandwidth, unresponsive: map[int]bool{}, lastEndpoints: map[int]Endpoints{}, mapTransfers: semaphore.NewWeighted(maxMapTransfers),
	}
	lease := experts.Lease{ClaimResult: claimed, Size: report.Size, OwnRank: report.Rank, Engine: parameters.Engine, MaxEventGap: parameters.MaxEventGap}
	if trail := l.options.AuditTrail; trail != nil {
		trail.LeaseClaimed(report.Group, claimed.Fence)
		lease.OnMapChange = func(change experts.MapChange) { trail.MapChanged(report.Group, change) }
	}
	policy := func() experts.Policy {
		if now, known := l.directory.Parameters(report.Group); known {
			parameters = now
		}
		return parameters.Policy
	}
	experts.NewHolder(ranks, lease, policy, time.Now, l.log).Run(ctx)
}
