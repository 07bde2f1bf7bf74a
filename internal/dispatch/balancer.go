package dispatch

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/quota"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
)

// Balancer tracks the load and health of servers as one entry sees them, and chooses among
// servers. It acquires no lock but that of its limits while it holds its own. Safe for
// concurrent use.
type Balancer struct {
	mu sync.Mutex
	// states holds the state of each server by its key.
	states  map[string]*serverState
	groups  map[string]*groupState
	budgets map[string]*retryBudget
	// lastEventAt is the time of the last event on this entry's streams, by group.
	lastEventAt map[string]time.Time
	// usage holds the customers' requests in progress, by service.
	usage map[string]*serviceUsage
	// lines holds the waiting requests, slotTimes how long requests hold a slot on average, and turns the
	// turn of the next refused caller, by service.
	lines     map[string]map[*place]bool
	slotTimes map[string]time.Duration
	turns     map[string]time.Time
	policy    RetryBudgetPolicy
	zone      string
	random    func(n int) int
	// limits holds the request rates that servers accept from all VMs together.
	limits *ratelimit.Table
	// daemons are the entries that share each server's connection limit.
	daemons quota.Daemons
}

// serverState is the state of one server.
type serverState struct {
	// inFlight counts this entry's requests in progress.
	inFlight int
	// suspectsInFlight counts those of them that are suspected of crashing servers.
	suspectsInFlight int
	// unreadTokens counts the prompt tokens of this entry's requests without a response yet.
	unreadTokens int
	// reported is the last reported load, received at reportedAt.
	reported   Load
	reportedAt time.Time
	// sentAt is a ring of the times of this entry's last sends, which a load report may not
	// include yet.
	sentAt              [recentSends]time.Time
	nextSend            int
	consecutiveFailures int
	backoffUntil        time.Time
	latency             float64 // smoothed, in seconds
	// report is the availability that the server itself reports.
	report eligibility.Report
	// cachedQuota is one more than this entry's quota of the server's quotaTotal connections; 0
	// when it has to be computed.
	cachedQuota, quotaTotal int
}

const (
	// recentSends is the number of sends to one server that are remembered.
	recentSends = 16
	// reportLag is the assumed age of a load report when it arrives: engines report their load
	// as of some hundred milliseconds ago.
	reportLag = 250 * time.Millisecond
)

// unreportedSends returns the number of sends that are too recent for the last load report.
func (s *serverState) unreportedSends() int {
	n := 0
	for _, at := range s.sentAt {
		if at.After(s.reportedAt.Add(-reportLag)) {
			n++
		}
	}
	return n
}

// NewBalancer returns an empty balancer. random returns a number in [0, n).
func NewBalancer(policy RetryBudgetPolicy, zone string, random func(n int) int) *Balancer {
	return &Balancer{
		states: map[string]*serverState{}, groups: map[string]*groupState{}, budgets: map[string]*retryBudget{},
		lastEventAt: map[string]time.Time{}, usage: map[string]*serviceUsage{},
		lines: map[string]map[*place]bool{}, slotTimes: map[string]time.Duration{}, turns: map[string]time.Time{},
		policy: policy, zone: zone, random: random,
		limits: ratelimit.New(rand.Uint64()|1, func() float64 { return float64(random(randomResolution)) / randomResolution }),
	}
}

// randomResolution is the number of distinct values of a random fraction.
const randomResolution = 1 << 20

// Limits returns the rate limits of servers, for exchange with other entries.
func (b *Balancer) Limits() *ratelimit.Table { return b.limits }

// SetRetryBudget replaces the retry budget policy, except for the number of entries.
func (b *Balancer) SetRetryBudget(policy RetryBudgetPolicy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	policy.Entries = b.policy.Entries
	b.setPolicy(policy)
}

// SetEntries sets the entries that share the retry budget and the servers' connections,
// identified by their control addresses.
func (b *Balancer) SetEntries(self string, peers []string) {
	daemons := quota.NewDaemons(self, peers)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.daemons.Equal(daemons) {
		return
	}
	b.daemons = daemons
	for _, s := range b.states {
		s.cachedQuota = 0
	}
	policy := b.policy
	policy.Entries = len(peers) + 1
	b.setPolicy(policy)
}

// connectionQuota returns how many connections this entry may have to a server that accepts
// total connections from all entries together. A total of 0 is unbounded. The caller holds
// b.mu.
func (b *Balancer) connectionQuota(key string, s *serverState, total int) (quota int, bounded bool) {
	if total <= 0 {
		return 0, false
	}
	if s.cachedQuota == 0 || s.quotaTotal != total {
		s.cachedQuota, s.quotaTotal = b.daemons.Quota(total, key)+1, total
	}
	return s.cachedQuota - 1, true
}

// hasFreeConnection reports whether this entry may open one more connection to a server. A
// server resets arbitrary connections once all entries together exceed its limit. The caller
// holds b.mu.
func (b *Balancer) hasFreeConnection(key string, s *serverState, total int) bool {
	quota, bounded := b.connectionQuota(key, s, total)
	return !bounded || s.inFlight < quota
}

// ConnectionQuota returns how many connections this entry may have to a server. It returns 0 if
// there is no bound, and also if the quota is 0: Choose selects no such server.
func (b *Balancer) ConnectionQuota(server string, r *Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	quota, _ := b.connectionQuota(server, b.state(server), r.maxConnections)
	return quota
}

func (b *Balancer) setPolicy(policy RetryBudgetPolicy) {
	b.policy = policy
	for _, budget := range b.budgets {
		budget.policy = policy
	}
}

func (b *Balancer) state(key string) *serverState {
	s := b.states[key]
	if s == nil {
		s = &serverState{}
		b.states[key] = s
	}
	return s
}

// reportRetention is how long the last self-report of an unregistered server is kept. A
// registration may reappear seconds later from a stale peer, and after store outages that last
// minutes.
const reportRetention = 10 * time.Minute

// Prune drops unregistered servers without requests in progress once reportRetention has
// passed, groups without registered ranks, what is known of services without servers, and past turns.
func (b *Balancer) Prune(servers *fleet.Servers, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	registered := map[string]bool{}
	for _, server := range servers.All() {
		if server.Rank != nil {
			registered[server.Rank.Group] = true
		}
	}
	maps.DeleteFunc(b.groups, func(group string, _ *groupState) bool { return !registered[group] })
	maps.DeleteFunc(b.lastEventAt, func(group string, _ time.Time) bool { return !registered[group] })
	maps.DeleteFunc(b.slotTimes, func(service string, _ time.Duration) bool { return len(servers.OfService(service)) == 0 })
	maps.DeleteFunc(b.turns, func(_ string, next time.Time) bool { return next.Before(now) })
	b.limits.Prune(func(key string) bool { return servers.ByKey(key) != nil }, now)
	for key, s := range b.states {
		if servers.ByKey(key) == nil && s.inFlight == 0 && now.Sub(s.report.ReportedAt()) > reportRetention {
			delete(b.states, key)
		}
	}
}

// ServerStatus is a server's load and availability as this entry sees it.
type ServerStatus struct {
	// InFlight counts this entry's requests at the server; Running and Waiting are as last
	// reported.
	InFlight, Running, Waiting int
	// ReportedAt is the time of the last report, or zero if there was none.
	ReportedAt time.Time
	// BackingOff is set while the server is avoided after a failure.
	BackingOff bool
	// Exclusion is the reason why the server accepts no requests, or nil.
	Exclusion *eligibility.Exclusion
	// Limit is the request rate that it accepts from all VMs together, or nil.
	Limit *ratelimit.Status
}

// ServerStatus returns the status of a server.
func (b *Balancer) ServerStatus(key string, now time.Time) ServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limits.Status(key, now)
	s := b.states[key]
	if s == nil {
		return ServerStatus{Limit: limit}
	}
	return ServerStatus{
		Limit:    limit,
		InFlight: s.inFlight, Running: s.reported.Running, Waiting: s.reported.Waiting,
		ReportedAt: s.reportedAt, BackingOff: now.Before(s.backoffUntil), Exclusion: s.report.Exclusion(now),
	}
}

// UpdateLoad records a server's load as of a time. Older reports are ignored.
func (b *Balancer) UpdateLoad(key string, load Load, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(key)
	if at.Before(s.reportedAt) {
		return
	}
	s.reported, s.reportedAt = load, at
}

// countRequest counts a request in its service's retry budget.
func (b *Balancer) countRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).recordRequest(now)
}

// AcquireRetry implements Chooser.
func (b *Balancer) AcquireRetry(service, _ string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).acquire(now)
}

// ReleaseRetry implements Chooser.
func (b *Balancer) ReleaseRetry(service, _ string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).release(now)
}

func (b *Balancer) budget(service string) *retryBudget {
	budget := b.budgets[service]
	if budget == nil {
		budget = &retryBudget{policy: b.policy}
		b.budgets[service] = budget
	}
	return budget
}

// RequestSent implements Chooser.
func (b *Balancer) RequestSent(key string, request *Request, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(key)
	s.inFlight++
	s.sentAt[s.nextSend%recentSends] = now
	s.nextSend++
	s.unreadTokens += request.PromptTokens
	if request.Suspect {
		s.suspectsInFlight++
	}
}

// ResponseStarted implements Chooser.
func (b *Balancer) ResponseStarted(key string, request *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(key)
	s.unreadTokens = max(s.unreadTokens-request.PromptTokens, 0)
}

// RequestEnded implements Chooser.
func (b *Balancer) RequestEnded(key string, request *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(key)
	s.inFlight = max(s.inFlight-1, 0)
	if request.Suspect {
		s.suspectsInFlight = max(s.suspectsInFlight-1, 0)
	}
}

const (
	// minBackoff and maxBackoff bound how long a server is avoided after a failure.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// latencyWeight is the weight of the newest sample in a server's smoothed latency.
	latencyWeight = 0.2
)

// RecordFailure implements Chooser.
func (b *Balancer) RecordFailure(key string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(key)
	s.consecutiveFailures++
	s.backoffUntil = now.Add(min(minBackoff<<min(s.consecutiveFailures-1, 4), maxBackoff))
}

// RecordSuccess implements Chooser.
func (b *Balancer) RecordSuccess(key string, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(key)
	s.consecutiveFailures = 0
	s.backoffUntil = time.Time{}
	if s.latency == 0 {
		s.latency = latency.Seconds()
	}
	s.latency += latencyWeight * (latency.Seconds() - s.latency)
}
