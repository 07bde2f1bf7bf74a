package dispatch

import (
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

// Board is what an entry knows of the servers' present load and health. Its
// lock is a leaf: no other lock is taken under it. Safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	rows    map[string]*row
	groups  map[string]*groupState
	budgets map[string]*retryBudget
	// pauses is the smoothed pause between events of own streams, by service.
	pauses map[string]*pauseEstimate
	// patience is the most that the callers of a route have shown.
	patience map[string]time.Duration
	policy   BudgetPolicy
	zone     string
	random   func(n int) int
}

// row is one server.
type row struct {
	// inFlight are own requests that have not ended.
	inFlight int
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
	slow       float64 // smoothed time of own plain answers, in seconds
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

// groupState is what is known of a group of ranks.
type groupState struct {
	// brokenAt is when a rank last said that the group can't run, with the epoch
	// that was known then; zero when nothing says so.
	brokenAt    time.Time
	brokenEpoch int64
	// heardOpen is when an agent last said that the group is open.
	heardOpen time.Time
	heardAny  time.Time
	epoch     int64
}

// NewBoard returns an empty board. random returns a number below n.
func NewBoard(policy BudgetPolicy, zone string, random func(n int) int) *Board {
	return &Board{
		rows: map[string]*row{}, groups: map[string]*groupState{}, budgets: map[string]*retryBudget{}, patience: map[string]time.Duration{}, pauses: map[string]*pauseEstimate{},
		policy: policy, zone: zone, random: random,
	}
}

// SetBudget changes the retry budget.
func (b *Board) SetBudget(policy BudgetPolicy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy = policy
	for _, budget := range b.budgets {
		budget.policy = policy
	}
}

func (b *Board) row(id string) *row {
	r := b.rows[id]
	if r == nil {
		r = &row{}
		b.rows[id] = r
	}
	return r
}

func (b *Board) group(name string) *groupState {
	g := b.groups[name]
	if g == nil {
		g = &groupState{}
		b.groups[name] = g
	}
	return g
}

// Keep forgets servers that are no longer registered and that no request is at.
func (b *Board) Keep(servers *fleet.Servers) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.rows {
		if servers.Server(id) == nil && r.inFlight == 0 {
			delete(b.rows, id)
		}
	}
}

// ReportLoad takes in a server's load as it was at a moment.
func (b *Board) ReportLoad(id string, load Load, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	if at.Before(r.reportedAt) {
		return
	}
	r.reported, r.reportedAt = load, at
}

// ReportGroup takes in what the agent of a rank says of its group.
func (b *Board) ReportGroup(rank fleet.GroupRank, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(rank.Group)
	if at.Before(g.heardAny) || rank.Epoch < g.epoch {
		return
	}
	g.heardAny, g.epoch = at, rank.Epoch
	if rank.Open {
		g.heardOpen = at
		if rank.Epoch > g.brokenEpoch || at.Sub(g.brokenAt) > reopenDelay {
			g.brokenAt = time.Time{}
		}
		return
	}
	if g.brokenAt.IsZero() {
		g.brokenAt = at
	}
	g.brokenEpoch = max(g.brokenEpoch, rank.Epoch)
}

// reopenDelay is how long a group that refused a request counts as broken when
// its epoch hasn't changed since: reports lag by some hundred milliseconds.
const reopenDelay = 400 * time.Millisecond

// markBroken notes that a rank refused a request for its group's sake.
func (b *Board) markBroken(server *fleet.Server, now time.Time) {
	if server.Rank == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(server.Rank.Group)
	if g.brokenAt.IsZero() {
		g.brokenAt = now
	}
	g.brokenEpoch = max(g.brokenEpoch, server.Rank.Epoch, g.epoch)
}

// brokenFor tells how long a group has been broken.
func (b *Board) brokenFor(server *fleet.Server, now time.Time) (time.Duration, bool) {
	if server.Rank == nil {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(server.Rank.Group)
	rank := server.Rank
	if rank.Open && rank.Epoch > g.brokenEpoch {
		g.brokenAt = time.Time{}
	}
	if !rank.Open && rank.Epoch >= g.epoch && g.brokenAt.IsZero() {
		g.brokenAt, g.brokenEpoch = now, rank.Epoch
	}
	if g.brokenAt.IsZero() {
		return 0, false
	}
	return now.Sub(g.brokenAt), true
}

// countRequest enters a request into its service's retry budget. It tells
// whether the caller has tried before: its patience is less than the most that
// the route's callers have shown.
func (b *Board) countRequest(service, route string, r *Request, now time.Time) (repeated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).request(now)
	if !r.HasDeadline {
		return false
	}
	b.patience[route] = max(b.patience[route], r.Patience)
	return float64(r.Patience) < repeatPart*float64(b.patience[route])
}

// mayRepeat takes one repeat from a service's retry budget.
func (b *Board) mayRepeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).spend(now)
}

func (b *Board) budget(service string) *retryBudget {
	budget := b.budgets[service]
	if budget == nil {
		budget = &retryBudget{policy: b.policy}
		b.budgets[service] = budget
	}
	return budget
}

// sent notes that a request goes to a server.
func (b *Board) sent(id string, promptTokens int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	r.inFlight++
	r.recent[r.next%recentSends] = now
	r.next++
	r.unread += promptTokens
}

// started notes that the server has begun to answer.
func (b *Board) started(id string, promptTokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	r.unread = max(r.unread-promptTokens, 0)
}

// ended notes that a request is no longer at a server.
func (b *Board) ended(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	r.inFlight = max(r.inFlight-1, 0)
}

// pauseEstimate follows the pauses between events.
type pauseEstimate struct {
	smoothed time.Duration
	at       time.Time
}

const (
	// pauseWeight is the weight of one pause: some twenty, of all own streams
	// together, make the estimate.
	pauseWeight = 0.05
	// pauseFresh is how long an estimate is used without news.
	pauseFresh = 500 * time.Millisecond
)

// sawPause notes the pause between two events of a stream.
func (b *Board) sawPause(service string, pause time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.pauses[service]
	if e == nil || now.Sub(e.at) > pauseFresh {
		b.pauses[service] = &pauseEstimate{smoothed: pause, at: now}
		return
	}
	e.smoothed += time.Duration(pauseWeight * float64(pause-e.smoothed))
	e.at = now
}

// pause returns the smoothed pause between events, or 0 when none is known.
func (b *Board) pause(service string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.pauses[service]; e != nil && now.Sub(e.at) <= pauseFresh {
		return e.smoothed
	}
	return 0
}

const (
	// avoidFirst and avoidMost bound how long a server that failed is passed over.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 3 * time.Second
	// slowWeight is the weight of the newest answer in a server's smoothed time.
	slowWeight = 0.2
)

// failed notes that a server didn't answer as it should.
func (b *Board) failed(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	r.failures++
	r.avoidUntil = now.Add(min(avoidFirst<<min(r.failures-1, 4), avoidMost))
}

// succeeded notes that a server answered after a time.
func (b *Board) succeeded(id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(id)
	r.failures = 0
	r.avoidUntil = time.Time{}
	if r.slow == 0 {
		r.slow = took.Seconds()
	}
	r.slow += slowWeight * (took.Seconds() - r.slow)
}
