// Package ranks connects the agents of a group's ranks. It implements the calls
// between agents and the claim of the group's lease. The agent that holds the lease
// manages the group's expert map.
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

// Endpoints are the addresses of a rank.
type Endpoints struct {
	// Server is the name of the rank's backend server.
	Server string
	// Agent and Engine are IP:port addresses, Agent's for rank calls.
	Agent, Engine string
	// ChecksFence reports whether the engine refuses commands with old fencing tokens.
	ChecksFence bool
}

// Parameters are the settings of a group for its holder.
type Parameters struct {
	// Engine is the published cost model of the group's engines.
	Engine *fleet.EngineModel
	// MaxEventGap is the longest gap between events of a stream that callers accept
	// as prompt, or 0 if unknown.
	MaxEventGap time.Duration
	Policy      experts.Policy
}

// Directory looks up groups and their ranks. Its results may change at any time.
type Directory interface {
	Endpoints(group string, rank int) (Endpoints, error)
	// Parameters returns false if the group is unknown or has no expert maps.
	Parameters(group string) (Parameters, bool)
}

// Options configure a Leader.
type Options struct {
	// Daemon is the name that is recorded as the holder of leases.
	Daemon string
	// IP is the local address for calls to agents. Key is the secret shared with them,
	// or empty.
	IP, Key string
	// CountsBandwidth is how many bytes of counts may be received per second.
	CountsBandwidth float64
	// AuditTrail may be nil.
	AuditTrail AuditTrail
}

// AuditTrail records the actions of a Leader. Its methods must not block.
type AuditTrail interface {
	// LeaseClaimed records a claimed lease.
	LeaseClaimed(group string, fence int64)
	// MapChanged records a new map in use.
	MapChanged(group string, change experts.MapChange)
}

// Leader claims the lease of the engine's group when the holder stops calling, and
// manages the group's expert map while it holds the lease.
type Leader struct {
	options   Options
	agent     *experts.Agent
	engine    experts.Engine
	directory Directory
	store     experts.LeaseStore
	http      *http.Client
	log       *logrus.Entry
}

// NewLeader returns the leader beside an agent. The HTTP client is used for calls to
// other agents.
func NewLeader(o Options, agent *experts.Agent, engine experts.Engine, d Directory, store experts.LeaseStore, c *http.Client, log *logrus.Entry) *Leader {
	return &Leader{options: o, agent: agent, engine: engine, directory: d, store: store, http: c, log: log}
}

const (
	// pollInterval is the time between checks whether the lease may be claimed.
	pollInterval = 50 * time.Millisecond
	// maxPollInterval bounds the time between checks, since the engine's rank or group
	// may change during the claim delay.
	maxPollInterval = 250 * time.Millisecond
	// claimTimeout bounds a claim of the lease.
	claimTimeout = 1500 * time.Millisecond
	// claimRetryDelay is the wait after a failed claim.
	claimRetryDelay = 500 * time.Millisecond
)

// Run claims the lease and manages the map until the context ends. The caller must
// keep the agent's report of its engine fresh.
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

// loadFence reads the lease history, so that a restarted agent rejects commands of
// former holders and doesn't fail its first claim. If an earlier process of this daemon
// was the holder, the lease is claimed without delay.
func (l *Leader) loadFence(ctx context.Context) {
	for ctx.Err() == nil && l.agent.LastReport().Size == 0 {
		wait.For(ctx, pollInterval)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	current, err := experts.CurrentLease(ctx, l.store, l.agent.LastReport().Group)
	if err != nil {
		l.log.WithError(err).Info("lease history not read, claim will read it")
		return
	}
	if current.Fence > 0 && current.Holder == l.options.Daemon {
		l.log.WithField("fence", current.Fence).Info("lease held by an earlier process of this daemon, claiming without delay")
		l.agent.MarkHolderGone(current.Fence)
		return
	}
	l.agent.ObserveFence(current.Fence)
}

// claim claims the lease and manages the map while it holds the lease.
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
		log.WithError(err).Info("lease not claimed: store unavailable")
		wait.For(ctx, claimRetryDelay)
		return
	}
	l.agent.ObserveFence(claimed.Newest)
	if claimed.Fence == 0 {
		log.Info("lease not claimed: held by another daemon")
		return
	}
	log.Info("lease claimed")
	l.lead(ctx, report, parameters, claimed)
}

// lead runs a holder until it is superseded or the context ends.
func (l *Leader) lead(ctx context.Context, report experts.RankReport, parameters Parameters, claimed experts.ClaimResult) {
	udp, err := newUDPClient(l.options.IP, authenticator{key: []byte(l.options.Key)}, rand.Uint64())
	if err != nil {
		l.log.WithError(err).Error("cannot manage the expert map: no socket for rank calls")
		wait.For(ctx, claimRetryDelay)
		return
	}
	defer udp.close()
	rankClient := &client{
		group: report.Group, directory: l.directory, udp: udp, http: l.http,
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
	experts.NewHolder(rankClient, lease, policy, time.Now, l.log).Run(ctx)
}
