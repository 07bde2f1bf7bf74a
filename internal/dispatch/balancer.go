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

// Balancer is what an entry knows of the servers' present load and health. Only the lock of
// its limits is taken under its own. Safe for concurrent use.
type Balancer struct {
	mu      sync.Mutex
	rows    map[string]*row // by servers' keys
	groups  map[string]*groupState
	budgets map[string]*retryBudget
	// eventAt is when an own stream brought an event last, by group.
	eventAt map[string]time.Time
	// shares are the customers' requests in progress, by service.
	shares map[string]*customerShares
	// patience is the most that the callers of a route have shown.
	patience map[string]time.Duration
	policy   RetryBudgetPolicy
	zone     string
	random   func(n int) int
	// limits are those that servers name to all VMs together.
	limits *ratelimit.Table
	// daemons are the entries among which servers' connections are divided.
	daemons quota.Daemons
}

// row is one server.
type row struct {
	// inFlight are own requests that have not ended.
	inFlight int
	// suspects are those of them under which a server has ended before.
	suspects int
	// unread are prompt tokens of own requests without a first event yet.
	unread int
	// reported is the newest load known of the server, and when it came.
	reported   Load
	reportedAt time.Time
	// recent are the times of the last own sendings, which a report may not show yet.
	recent     [recentSends]time.Time
	next       int
	failures   int
	avoidUntil time.Time
	took       float64 // smoothed time of own plain answers, in seconds
	// notice is what the server has said of itself.
	notice eligibility.Report
	// connections is one more than this entry's part of the connectionsOf connections that the
	// server takes; 0 when that hasn't been worked out.
	connections, connectionsOf int
}

const (
	// recentSends is how many sendings to one server are remembered.
	recentSends = 16
	// loadLag is how old the load is that a report shows when it comes: engines tell
	// it as of some hundred milliseconds ago.
	loadLag = 250 * time.Millisecond
)

// unseen counts own sendings that the last report can't show yet.
func (r *row) unseen() int {
	n := 0
	for _, at := range r.recent {
		if at.After(r.reportedAt.Add(-loadLag)) {
			n++
		}
	}
	return n
}

// NewBalancer returns an empty board. random returns a number below n.
func NewBalancer(policy RetryBudgetPolicy, zone string, random func(n int) int) *Balancer {
	return &Balancer{
		rows: map[string]*row{}, groups: map[string]*groupState{}, budgets: map[string]*retryBudget{},
		patience: map[string]time.Duration{}, eventAt: map[string]time.Time{}, shares: map[string]*customerShares{},
		policy: policy, zone: zone, random: random,
		limits: ratelimit.New(rand.Uint64()|1, func() float64 { return float64(random(randomSteps)) / randomSteps }),
	}
}

// randomSteps is how many numbers are drawn among for one from 0 to 1.
const randomSteps = 1 << 20

// Limits are those of servers, for the exchange with other entries.
func (b *Balancer) Limits() *ratelimit.Table { return b.limits }

// SetRetryBudget changes the retry budget, but not among how many it's divided.
func (b *Balancer) SetRetryBudget(policy RetryBudgetPolicy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	policy.Entries = b.policy.Entries
	b.setPolicy(policy)
}

// SetEntries tells among which entries the retry budget and servers' connections are divided,
// by their control addresses, which the others know too.
func (b *Balancer) SetEntries(self string, others []string) {
	daemons := quota.NewDaemons(self, others)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.daemons.Equal(daemons) {
		return
	}
	b.daemons = daemons
	for _, r := range b.rows {
		r.connections = 0
	}
	policy := b.policy
	policy.Entries = len(others) + 1
	b.setPolicy(policy)
}

// part is how many connections this entry may have to a server which takes so many from all
// entries together; 0 when that isn't bound. The lock is held.
func (b *Balancer) part(key string, r *row, bound int) (part int, bounded bool) {
	if bound <= 0 {
		return 0, false
	}
	if r.connections == 0 || r.connectionsOf != bound {
		r.connections, r.connectionsOf = b.daemons.Quota(bound, key)+1, bound
	}
	return r.connections - 1, true
}

// hasConnection tells whether this entry may have one connection more to a server. Beyond what a
// server takes from all together it resets them, whoever's. The lock is held.
func (b *Balancer) hasConnection(key string, r *row, bound int) bool {
	part, bounded := b.part(key, r, bound)
	return !bounded || r.inFlight < part
}

// ConnectionQuota returns how many connections this entry may have to a server; 0 for any number.
func (b *Balancer) ConnectionQuota(server string, r *Request) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	part, _ := b.part(server, b.row(server), r.connections)
	return part
}

func (b *Balancer) setPolicy(policy RetryBudgetPolicy) {
	b.policy = policy
	for _, budget := range b.budgets {
		budget.policy = policy
	}
}

func (b *Balancer) row(id string) *row {
	r := b.rows[id]
	if r == nil {
		r = &row{}
		b.rows[id] = r
	}
	return r
}

// keepNotice is how long what a server has said is kept although its start is no longer
// registered: a registration may come back as somebody tells an older state, seconds later;
// the longest outages of the store take minutes.
const keepNotice = 10 * time.Minute

// Prune forgets servers that are no longer registered and that no request is at, and
// groups of which no rank is registered.
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
	maps.DeleteFunc(b.eventAt, func(group string, _ time.Time) bool { return !registered[group] })
	b.limits.Prune(func(key string) bool { return servers.ByKey(key) != nil }, now)
	for key, r := range b.rows {
		if servers.ByKey(key) == nil && r.inFlight == 0 && now.Sub(r.notice.ReportedAt()) > keepNotice {
			delete(b.rows, key)
		}
	}
}

// ServerStatus is what is known of a server.
type ServerStatus struct {
	// InFlight are own requests at the server; Running and Waiting what it told last.
	InFlight, Running, Waiting int
	// ReportedAt is when it told; zero when it never did.
	ReportedAt time.Time
	// BackingOff is set while the server is passed over because it failed.
	BackingOff bool
	// Exclusion is why it gets no requests by its own word, or nil.
	Exclusion *eligibility.Exclusion
	// Limit is what it takes a second from all VMs together, or nil.
	Limit *ratelimit.Status
}

// ServerStatus returns what is known of a server.
func (b *Balancer) ServerStatus(id string, now time.Time) ServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limits.Status(id, now)
	r := b.rows[id]
	if r == nil {
		return ServerStatus{Limit: limit}
	}
	return ServerStatus{
		Limit:    limit,
		InFlight: r.inFlight, Running: r.reported.Running, Waiting: r.reported.Waiting,
		ReportedAt: r.reportedAt, BackingOff: now.Before(r.avoidUntil), Exclusion: r.notice.Exclusion(now),
	}
}

// UpdateLoad takes in a server's load as it was at a moment.
func (b *Balancer) UpdateLoad(id string, load Load, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	if at.Before(r.reportedAt) {
		return
	}
	r.reported, r.reportedAt = load, at
}

// countRequest enters a request into its service's retry budget. It tells
// whether the caller has tried before: its patience is less than the most that
// the route's callers have shown.
func (b *Balancer) countRequest(service, route string, r *Request, now time.Time) (repeated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).request(now)
	if !r.HasDeadline {
		return false
	}
	b.patience[route] = max(b.patience[route], r.Timeout)
	return float64(r.Timeout) < repeatPart*float64(b.patience[route])
}

// AcquireRetry takes one repeat from a service's retry budget.
func (b *Balancer) AcquireRetry(service, _ string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).spend(now)
}

// ReleaseRetry implements Chooser.
func (b *Balancer) ReleaseRetry(service, _ string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).giveBack(now)
}

func (b *Balancer) budget(service string) *retryBudget {
	budget := b.budgets[service]
	if budget == nil {
		budget = &retryBudget{policy: b.policy}
		b.budgets[service] = budget
	}
	return budget
}

// RequestSent notes that a request goes to a server.
func (b *Balancer) RequestSent(id string, request *Request, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	r.inFlight++
	r.recent[r.next%recentSends] = now
	r.next++
	r.unread += request.PromptTokens
	if request.Suspect {
		r.suspects++
	}
}

// ResponseStarted notes that the server has begun to answer.
func (b *Balancer) ResponseStarted(id string, request *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	r.unread = max(r.unread-request.PromptTokens, 0)
}

// RequestEnded notes that a request is no longer at a server.
func (b *Balancer) RequestEnded(id string, request *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	r.inFlight = max(r.inFlight-1, 0)
	if request.Suspect {
		r.suspects = max(r.suspects-1, 0)
	}
}

const (
	// avoidFirst and avoidMost bound how long a server that failed is passed over.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 3 * time.Second
	// tookWeight is the weight of the newest answer in a server's smoothed time.
	tookWeight = 0.2
)

// RecordFailure notes that a server didn't answer as it should.
func (b *Balancer) RecordFailure(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	r.failures++
	r.avoidUntil = now.Add(min(avoidFirst<<min(r.failures-1, 4), avoidMost))
}

// RecordSuccess notes that a server answered after a time.
func (b *Balancer) RecordSuccess(id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	r.failures = 0
	r.avoidUntil = time.Time{}
	if r.took == 0 {
		r.took = took.Seconds()
	}
	r.took += tookWeight * (took.Seconds() - r.took)
}
