package ratelimit

import (
	"math"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
)

const (
	// limitsEach is how many servers one message tells of: a datagram should fit one frame.
	limitsEach = 12
	// transit is how much older a message's ages may be than it says: it was on its way, or
	// waited to be read.
	transit = 300 * time.Millisecond
	// tellAgain is how often each limit is told though nothing has changed.
	tellAgain = 2 * time.Second
	// tellEnded is for how long it's told that a server names no limit any more.
	tellEnded = 10 * time.Second
	// oldestAge bounds an age that is told.
	oldestAge = 24 * time.Hour
)

// Changed gets a value when there is something to tell the other daemons.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// Refresh is the time after which State is told.
func (t *Table) RefreshInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.refresh()
}

// News returns what has changed since it was called last.
func (t *Table) Updates(now time.Time) []*peerrpc.LimitNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limits []*peerrpc.ServerLimit
	for key := range t.dirty {
		s := t.servers[key]
		limits = append(limits, t.encode(s, key, now))
		s.last, s.toldOnce = 0, true
	}
	clear(t.dirty)
	return t.messages(limits, now)
}

// State returns what is told again: what was told once since the last time, and what has not
// been told for long. While a limit is in force it's never nothing, since daemons that tell
// nothing are taken for cut off.
func (t *Table) RefreshMessages(now time.Time) []*peerrpc.LimitNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limits []*peerrpc.ServerLimit
	for key, s := range t.servers {
		inForce := s.word.Present || now.Sub(s.word.ReceivedAt) <= tellEnded
		if inForce && (s.toldOnce || now.Sub(s.toldAt) >= tellAgain) {
			limits = append(limits, t.encode(s, key, now))
			s.toldOnce = false
		}
	}
	if len(limits) == 0 && t.Any() {
		return []*peerrpc.LimitNews{{Sender: t.id, Part: t.peers.own(now)}}
	}
	return t.messages(limits, now)
}

// Farewell is what is told when this process sends nothing more to servers.
func (t *Table) DepartureMessage() *peerrpc.LimitNews {
	return &peerrpc.LimitNews{Sender: t.id, Leaving: true}
}

func (t *Table) messages(limits []*peerrpc.ServerLimit, now time.Time) []*peerrpc.LimitNews {
	var messages []*peerrpc.LimitNews
	for at := 0; at < len(limits); at += limitsEach {
		messages = append(messages, &peerrpc.LimitNews{
			Sender: t.id, Part: t.peers.own(now), Limits: limits[at:min(at+limitsEach, len(limits))],
		})
	}
	return messages
}

func (t *Table) encode(s *server, key string, now time.Time) *peerrpc.ServerLimit {
	part, heard := t.peers.part(now)
	s.bucket.fill(s.rate(part), spread(heard), now)
	s.toldAt = now
	return &peerrpc.ServerLimit{
		Server: key, Named: s.word.Present, PerSecond: s.word.PerSecond,
		AskedAgeMs: now.Sub(s.word.RequestedAt).Milliseconds() + 1, HeardAgeMs: now.Sub(s.word.ReceivedAt).Milliseconds(),
		Sent: s.own.sent, Refused: s.own.refused, Customer: s.last, Tokens: s.bucket.tokens,
	}
}

// Met takes in when another daemon was heard in another way than by its messages: it may send
// to servers.
func (t *Table) MarkPeerSeen(address string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers.at(address)
	known.met = latest(known.met, at)
}

// News of a limit.
type Change struct {
	Server   string
	Limit    Limit
	Previous Limit
}

// Hear takes in another daemon's message. It returns the limits that changed by it.
func (t *Table) Receive(address string, news *peerrpc.LimitNews, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if news.GetSender() == t.id || news.GetSender() == 0 {
		return nil
	}
	other := t.peers.at(address)
	silent := now.Sub(other.heard) > t.peers.silence()
	other.heard, other.part = now, 0
	if part := news.GetPart(); part > 0 && part <= 1 {
		other.part = part
	}
	if news.GetLeaving() {
		other.left = news.GetSender()
		return nil
	}
	if other.left != news.GetSender() {
		other.left = 0 // its next process
	}
	var changed []Change
	for _, limit := range news.GetLimits() {
		if n, is := t.hearLimit(news.GetSender(), limit, silent, now); is {
			changed = append(changed, n)
		}
	}
	return changed
}

// hearLimit takes in what another daemon, which was silent before or not, tells of one limit.
func (t *Table) hearLimit(sender uint64, limit *peerrpc.ServerLimit, silent bool, now time.Time) (news Change, changed bool) {
	if math.IsNaN(limit.GetPerSecond()) || limit.GetPerSecond() < 0 || limit.GetServer() == "" {
		return Change{}, false
	}
	word := Limit{
		Present: limit.GetNamed(), PerSecond: limit.GetPerSecond(),
		RequestedAt: now.Add(-age(limit.GetAskedAgeMs()) - transit), ReceivedAt: now.Add(-age(limit.GetHeardAgeMs())),
	}
	before, changed := t.updateLimit(limit.GetServer(), word, now)
	s := t.servers[limit.GetServer()]
	if s == nil {
		return Change{}, false
	}
	t.hearCounts(s, sender, limit, silent, now)
	return Change{Server: limit.GetServer(), Limit: s.word, Previous: before}, changed
}

// hearCounts takes in what another daemon has done. What it did before it was heard first
// isn't known here to be recent, and what it did while it wasn't heard came from its own part.
func (t *Table) hearCounts(s *server, sender uint64, limit *peerrpc.ServerLimit, silent bool, now time.Time) {
	known, heardBefore := s.told[sender]
	newest := counts{sent: max(limit.GetSent(), known.sent), refused: max(limit.GetRefused(), known.refused)}
	s.told[sender] = heardCounts{counts: newest, at: now}
	if !s.word.Present {
		return
	}
	part, heard := t.peers.part(now)
	rate := s.rate(part)
	s.bucket.fill(rate, spread(heard), now)
	if heardBefore {
		sent := float64(newest.sent - known.sent)
		if silent {
			sent = min(sent, rate*t.peers.silence().Seconds())
		}
		s.waitingNow(rate, now)
		s.waiting = min(s.waiting+float64(newest.refused-known.refused), rate*longestHint.Seconds())
		t.hearSent(s, sent, limit.GetCustomer(), now)
	}
	s.bucket.nearer(limit.GetTokens())
}

// hearSent takes in that another daemon sent requests, one of them a customer's.
func (t *Table) hearSent(s *server, sent float64, customer uint64, now time.Time) {
	if sent <= 0 {
		return
	}
	part, _ := t.peers.part(now)
	s.count(sent, part, now)
	if customer != 0 {
		s.turns.got(customer, s.rate(part), now)
	}
	s.draw(t)
}

// age reads one in milliseconds, within bounds.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), oldestAge.Milliseconds())) * time.Millisecond
}
