package ratelimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// spreadEach is how many tokens each daemon adds to the longest wait that one draws,
	// within leastSpread and mostSpread: two daemons of eight have their turns some
	// thirtieth of the time between two requests apart.
	spreadEach  = 0.04
	leastSpread = 0.1
	mostSpread  = 1.0
	// aheadMargin, behindMargin and freshMargin are how many tokens more the bucket has to
	// hold for a customer that has got more than the others, for each rank of priority
	// that a request is behind, mostBehind ranks at most, and for a caller that hasn't been
	// refused before while others wait to come back. Tokens that nobody else takes are
	// theirs after all.
	aheadMargin  = 1.0
	behindMargin = 0.1
	mostBehind   = 3
	freshMargin  = 0.2
	// keepWord is how long a word is kept of a start of a server that is no longer
	// registered: registrations may come back.
	keepWord = 10 * time.Minute
)

// Want is a request that a server may get.
type Request struct {
	Customer string
	// Behind is how many ranks of priority it's less urgent than others.
	PriorityGap int
	// Repeated is set when its caller was refused before.
	Retry bool
}

// customer is the name under which the request's customer is told to other daemons.
func (w Request) customer() uint64 { return xxhash.Sum64String(w.Customer) }

// Table holds the limits that servers have named, by the server's start. Its lock is a
// leaf. Safe for concurrent use.
type Table struct {
	// id names this process to the others, never 0.
	id     uint64
	random func() float64
	// limited is how many servers have a limit: while none has, nothing else is looked at.
	limited atomic.Int64

	mu      sync.Mutex
	servers map[string]*server
	peers   peers
	// changed gets a value when there is something to tell; dirty are the servers.
	changed chan struct{}
	dirty   map[string]bool
}

// server is one that has named a limit.
type server struct {
	word   Limit
	bucket bucket
	// wait is how many tokens more than one there have to be for this daemon now.
	wait float64
	// own are this daemon's counts, told the others', by process; last is the customer that
	// got the last one here.
	own  counts
	told map[uint64]heardCounts
	last uint64
	// waiting are callers that were told to come back and haven't, anywhere, as far as
	// that is known: those that come are served at the server's rate.
	waiting   float64
	waitingAt time.Time
	turns     turns
	// toldAt is when the others were told of it last, toldOnce is set while the last news were
	// told once only.
	toldAt   time.Time
	toldOnce bool
}

// counts are what one daemon's process has done since it knows the limit.
type counts struct{ sent, refused int64 }

// heardCounts are another daemon's, as it told them at a time.
type heardCounts struct {
	counts
	at time.Time
}

// New returns an empty table. id names the process; random returns a number from 0 to
// below 1.
func New(id uint64, random func() float64) *Table {
	return &Table{
		id: id, random: random, servers: map[string]*server{}, peers: peers{all: map[string]*peer{}},
		changed: make(chan struct{}, 1), dirty: map[string]bool{},
	}
}

// Limited is how many servers have a limit.
func (t *Table) LimitedServers() int { return int(t.limited.Load()) }

// Any tells whether a server has a limit.
func (t *Table) Any() bool { return t.LimitedServers() > 0 }

// Heard takes in what a server said. It returns what it had said, and whether this is
// another limit.
func (t *Table) UpdateLimit(key string, word Limit) (before Limit, changed bool) {
	if !word.Present && !t.Any() {
		return Limit{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.updateLimit(key, word, word.ReceivedAt)
}

// take takes in a word. The lock is held.
func (t *Table) updateLimit(key string, word Limit, now time.Time) (before Limit, changed bool) {
	s := t.servers[key]
	if s == nil {
		if !word.Present {
			return Limit{}, false
		}
		s = &server{told: map[uint64]heardCounts{}, turns: turns{customers: map[uint64]*turn{}}}
		t.servers[key] = s
	}
	before = s.word
	s.word = word.after(before)
	if s.word.same(before) {
		return before, false
	}
	switch {
	case !s.word.Present:
		t.limited.Add(-1)
		s.waiting = 0
	case !before.Present:
		t.began(now)
		s.bucket = bucket{at: now, tokens: -onTheirWay}
		s.draw(t)
	case s.word.allowsLess(before):
		s.bucket.fell()
	}
	t.tell(key)
	return before, true
}

// began notes that one server more has a limit.
func (t *Table) began(now time.Time) {
	if t.limited.Add(1) == 1 {
		t.peers.since = now
	}
}

// tell puts a server among those of which there is news.
func (t *Table) tell(key string) {
	t.dirty[key] = true
	select {
	case t.changed <- struct{}{}:
	default: // there is news already
	}
}

// rate is how many requests a second a server is sent by all daemons that hear each other.
func (s *server) rate(part float64) float64 {
	return safety * part * min(max(s.word.PerSecond, leastRate), mostRate)
}

// spread is the longest wait that is drawn among some daemons.
func spread(daemons int) float64 {
	return min(max(spreadEach*float64(daemons), leastSpread), mostSpread)
}

// draw draws the wait of this daemon for the next token.
func (s *server) draw(t *Table) {
	_, heard := t.peers.part(s.bucket.at)
	s.wait = t.random() * spread(heard)
}

// left is how long a server may not be sent a request; 0 if it may now.
func (t *Table) left(s *server, want Request, now time.Time) time.Duration {
	part, heard := t.peers.part(now)
	rate := s.rate(part)
	s.bucket.fill(rate, spread(heard), now)
	needs := 1 + s.wait + behindMargin*float64(min(max(want.PriorityGap, 0), mostBehind))
	if s.turns.ahead(want.customer(), rate, now) {
		needs += aheadMargin
	}
	if !want.Retry && s.waitingNow(rate, now) >= 1 {
		needs += freshMargin
	}
	return s.bucket.untilHolds(needs, rate)
}

// limitedServer returns a server with a limit, or nil. The lock is held.
func (t *Table) limitedServer(key string) *server {
	if s := t.servers[key]; s != nil && s.word.Present {
		return s
	}
	return nil
}

// Left returns for how long a server may not get a request, by its limit; 0 if it may now.
func (t *Table) Wait(key string, want Request, now time.Time) time.Duration {
	if !t.Any() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limitedServer(key)
	if s == nil {
		return 0
	}
	return t.left(s, want, now)
}

// Next returns how long it is until a server takes a request, whoever's; 0 if it does now or
// has no limit.
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
	part, heard := t.peers.part(now)
	rate := s.rate(part)
	s.bucket.fill(rate, spread(heard), now)
	return s.bucket.untilHolds(1+s.wait, rate)
}

// Take is asked just before a request's first bytes go to a server. It returns 0 when they
// may, and the request counts, or else for how long they may not.
func (t *Table) Acquire(key string, want Request, now time.Time) time.Duration {
	if !t.Any() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limitedServer(key)
	if s == nil {
		return 0
	}
	if left := t.left(s, want, now); left > 0 {
		return left
	}
	part, _ := t.peers.part(now)
	s.own.sent++
	s.last = want.customer()
	s.count(1, part, now)
	s.turns.got(s.last, s.rate(part), now)
	s.draw(t)
	t.tell(key)
	return 0
}

// count takes tokens for requests that were sent.
func (s *server) count(sent float64, part float64, now time.Time) {
	s.bucket.tokens -= sent
	s.waitingNow(s.rate(part), now)
	s.waiting = max(s.waiting-sent, 0)
}

// Woke is called after the VM was suspended: what was sent meanwhile isn't known.
func (t *Table) Resumed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		s.bucket.tokens = min(s.bucket.tokens, 0)
		s.bucket.at = now
	}
}

// Keep forgets servers that aren't registered and said nothing for long.
func (t *Table) Prune(registered func(key string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.servers {
		if registered(key) || now.Sub(s.word.ReceivedAt) <= keepWord {
			s.turns.forget(s.rate(1), now)
			maps.DeleteFunc(s.told, func(_ uint64, c heardCounts) bool { return now.Sub(c.at) > keepWord })
			continue
		}
		if s.word.Present {
			t.limited.Add(-1)
		}
		delete(t.servers, key)
		delete(t.dirty, key)
	}
}
