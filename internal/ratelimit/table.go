package ratelimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// jitterPerDaemon is how much each daemon extends the range of random waits, in tokens,
	// within minJitterRange and maxJitterRange. The turns of eight daemons are then about a
	// thirtieth of the time between two requests apart.
	jitterPerDaemon = 0.04
	minJitterRange  = 0.1
	maxJitterRange  = 1.0
	// The margins are extra tokens that the bucket must hold before a request may take one:
	// aboveAverageMargin for a customer above the average of the others, and priorityMargin per
	// level of PriorityGap up to maxPriorityGap. Such requests still get the tokens that no others take.
	aboveAverageMargin = 1.0
	priorityMargin     = 0.1
	maxPriorityGap     = 3
	// retention is how long the limit of an unregistered server incarnation is kept:
	// registrations may come back.
	retention = 10 * time.Minute
)

// TokenRequest describes a request that is to be sent to a server.
type TokenRequest struct {
	Customer string
	// PriorityGap is the number of priority levels below the most urgent one.
	PriorityGap int
}

// customerHash identifies the customer in messages.
func (r TokenRequest) customerHash() uint64 { return xxhash.Sum64String(r.Customer) }

// Table holds the rate limits of servers by incarnation. It is safe for concurrent use; no
// other lock is taken while its lock is held.
type Table struct {
	// id identifies this process in messages; never 0.
	id     uint64
	random func() float64
	// limited is the number of servers with a limit. While it is 0, requests are admitted
	// without locking.
	limited atomic.Int64

	mu      sync.Mutex
	servers map[string]*server
	peers   peers
	// changed receives a value when dirty, the servers with pending updates, becomes
	// non-empty.
	changed chan struct{}
	dirty   map[string]bool
}

// server is the state of a server that reported a limit.
type server struct {
	limit  Limit
	bucket bucket
	// jitter is the number of extra tokens that this daemon waits for now.
	jitter float64
	// local are this daemon's counts, peers those of other processes by ID.
	local counts
	peers map[uint64]peerCounts
	// lastCustomer is the hash of the customer of this daemon's last request, or 0 if there was
	// none since the last update.
	lastCustomer uint64
	// backlog estimates the refused callers, at any daemon, that have yet to return. It
	// decreases at the server's rate.
	backlog   float64
	backlogAt time.Time
	usage     customerUsages
	// encodedAt is when the limit was last put into a message. resend is set while the last
	// update was sent only once.
	encodedAt time.Time
	resend    bool
}

// counts are one process's requests and refusals since it learned the limit.
type counts struct{ sent, refused int64 }

// peerCounts are a peer's counts as received at a time.
type peerCounts struct {
	counts
	at time.Time
}

// New returns an empty table. id identifies the process; random returns a number in [0, 1).
func New(id uint64, random func() float64) *Table {
	return &Table{
		id: id, random: random, servers: map[string]*server{}, peers: peers{all: map[string]*peer{}},
		changed: make(chan struct{}, 1), dirty: map[string]bool{},
	}
}

// LimitedServers returns the number of servers with a limit.
func (t *Table) LimitedServers() int { return int(t.limited.Load()) }

// Any reports whether any server has a limit.
func (t *Table) Any() bool { return t.LimitedServers() > 0 }

// UpdateLimit applies a limit that a server reported. It returns the previous limit and
// whether the limit changed.
func (t *Table) UpdateLimit(key string, limit Limit) (previous Limit, changed bool) {
	if !limit.Present && !t.Any() {
		return Limit{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.updateLimit(key, limit, limit.ReceivedAt)
}

// updateLimit applies a reported limit. The caller holds the lock.
func (t *Table) updateLimit(key string, limit Limit, now time.Time) (previous Limit, changed bool) {
	s := t.servers[key]
	if s == nil {
		if !limit.Present {
			return Limit{}, false
		}
		s = &server{peers: map[uint64]peerCounts{}, usage: customerUsages{customers: map[uint64]*customerUsage{}}}
		t.servers[key] = s
	}
	previous = s.limit
	s.limit = limit.supersede(previous)
	if s.limit.equal(previous) {
		return previous, false
	}
	switch {
	case !s.limit.Present:
		t.limited.Add(-1)
		s.backlog = 0
	case !previous.Present:
		t.limitAdded(now)
		s.bucket = bucket{updatedAt: now, tokens: -initialDebt}
		s.drawJitter(t)
	case s.limit.stricterThan(previous):
		s.bucket.clampAfterDecrease()
	}
	t.markDirty(key)
	return previous, true
}

// limitAdded counts a server that received a limit.
func (t *Table) limitAdded(now time.Time) {
	if t.limited.Add(1) == 1 {
		t.peers.limitsSince = now
	}
}

// markDirty schedules an update about a server.
func (t *Table) markDirty(key string) {
	t.dirty[key] = true
	select {
	case t.changed <- struct{}{}:
	default: // already signaled
	}
}

// rate returns the total request rate of the reachable daemons to the server, per second.
func (s *server) rate(share float64) float64 {
	return safetyFactor * share * min(max(s.limit.PerSecond, minRate), maxRate)
}

// jitterRange returns the largest random wait, in tokens, for a number of daemons.
func jitterRange(daemons int) float64 {
	return min(max(jitterPerDaemon*float64(daemons), minJitterRange), maxJitterRange)
}

// drawJitter draws this daemon's random wait for the next token.
func (s *server) drawJitter(t *Table) {
	_, reachable := t.peers.share(s.bucket.updatedAt)
	s.jitter = t.random() * jitterRange(reachable)
}

// wait returns how long the request must wait for the server's limit; 0 if it may be sent now.
func (t *Table) wait(s *server, r TokenRequest, now time.Time) time.Duration {
	share, reachable := t.peers.share(now)
	rate := s.rate(share)
	s.bucket.refill(rate, jitterRange(reachable), now)
	needs := 1 + s.jitter + priorityMargin*float64(min(max(r.PriorityGap, 0), maxPriorityGap))
	if s.usage.aboveAverage(r.customerHash(), rate, now) {
		needs += aboveAverageMargin
	}
	return s.bucket.untilAvailable(needs, rate)
}

// limitedServer returns a server with a limit, or nil. The caller holds the lock.
func (t *Table) limitedServer(key string) *server {
	if s := t.servers[key]; s != nil && s.limit.Present {
		return s
	}
	return nil
}

// Wait returns how long the request must wait for the server's limit; 0 if it may be sent now.
func (t *Table) Wait(key string, r TokenRequest, now time.Time) time.Duration {
	if !t.Any() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limitedServer(key)
	if s == nil {
		return 0
	}
	return t.wait(s, r, now)
}

// UntilAvailable returns the time until the server's limit permits a request without margins; 0
// if it does now or there is no limit.
func (t *Table) UntilAvailable(key string, now time.Time) time.Duration {
	if !t.Any() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limitedServer(key)
	if s == nil {
		return 0
	}
	share, reachable := t.peers.share(now)
	rate := s.rate(share)
	s.bucket.refill(rate, jitterRange(reachable), now)
	return s.bucket.untilAvailable(1+s.jitter, rate)
}

// Acquire is called just before the first byte of a request is sent. It takes a token and
// returns 0, or returns how long the request must wait.
func (t *Table) Acquire(key string, r TokenRequest, now time.Time) time.Duration {
	if !t.Any() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limitedServer(key)
	if s == nil {
		return 0
	}
	if wait := t.wait(s, r, now); wait > 0 {
		return wait
	}
	share, _ := t.peers.share(now)
	s.local.sent++
	s.lastCustomer = r.customerHash()
	s.consume(1, share, now)
	s.usage.record(s.lastCustomer, s.rate(share), now)
	s.drawJitter(t)
	t.markDirty(key)
	return 0
}

// consume takes tokens for sent requests.
func (s *server) consume(sent float64, share float64, now time.Time) {
	s.bucket.tokens -= sent
	s.currentBacklog(s.rate(share), now)
	s.backlog = max(s.backlog-sent, 0)
}

// Resumed discards saved tokens after the VM was suspended, because requests sent by peers in
// the meantime are unknown.
func (t *Table) Resumed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		s.bucket.tokens = min(s.bucket.tokens, 0)
		s.bucket.updatedAt = now
	}
}

// Prune removes servers that are not registered and have not reported a limit within
// retention.
func (t *Table) Prune(registered func(key string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.servers {
		if registered(key) || now.Sub(s.limit.ReceivedAt) <= retention {
			s.usage.prune(s.rate(1), now)
			maps.DeleteFunc(s.peers, func(_ uint64, c peerCounts) bool { return now.Sub(c.at) > retention })
			continue
		}
		if s.limit.Present {
			t.limited.Add(-1)
		}
		delete(t.servers, key)
		delete(t.dirty, key)
	}
}
