package ratelimit

import (
	"math"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
)

const (
	// maxLimitsPerMessage keeps a datagram within one network frame.
	maxLimitsPerMessage = 12
	// maxTransit is the longest assumed delay of a message in the network and in the receive
	// queue. Ages in messages may be too low by it.
	maxTransit = 300 * time.Millisecond
	// unchangedInterval is the time between messages about an unchanged limit.
	unchangedInterval = 2 * time.Second
	// removalTime is how long the removal of a limit is sent.
	removalTime = 10 * time.Second
	// maxAge bounds ages in received messages.
	maxAge = 24 * time.Hour
)

// Changed returns a channel that receives a value when there are updates for peers.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// RefreshInterval returns the interval at which RefreshMessages is to be sent.
func (t *Table) RefreshInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers.refreshInterval()
}

// Updates returns messages about the servers whose limit or number of requests changed since the
// last call.
func (t *Table) Updates(now time.Time) []*peerrpc.LimitNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limits []*peerrpc.ServerLimit
	for key := range t.dirty {
		s := t.servers[key]
		limits = append(limits, t.encodeLimit(s, key, now))
		s.lastCustomer, s.resend = 0, true
	}
	clear(t.dirty)
	return t.messages(limits, now)
}

// RefreshMessages returns the messages to repeat: updates that were sent only once, and limits
// not sent for unchangedInterval. While any limit is in force, the result is never empty,
// because peers treat a daemon without messages as unreachable.
func (t *Table) RefreshMessages(now time.Time) []*peerrpc.LimitNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limits []*peerrpc.ServerLimit
	for key, s := range t.servers {
		inForce := s.limit.Present || now.Sub(s.limit.ReceivedAt) <= removalTime
		if inForce && (s.resend || now.Sub(s.encodedAt) >= unchangedInterval) {
			limits = append(limits, t.encodeLimit(s, key, now))
			s.resend = false
		}
	}
	if len(limits) == 0 && t.Any() {
		return []*peerrpc.LimitNews{{Sender: t.id, Part: t.peers.localShare(now)}}
	}
	return t.messages(limits, now)
}

// DepartureMessage returns the message that announces that this process sends no more requests
// to servers.
func (t *Table) DepartureMessage() *peerrpc.LimitNews {
	return &peerrpc.LimitNews{Sender: t.id, Leaving: true}
}

func (t *Table) messages(limits []*peerrpc.ServerLimit, now time.Time) []*peerrpc.LimitNews {
	var messages []*peerrpc.LimitNews
	for at := 0; at < len(limits); at += maxLimitsPerMessage {
		messages = append(messages, &peerrpc.LimitNews{
			Sender: t.id, Part: t.peers.localShare(now), Limits: limits[at:min(at+maxLimitsPerMessage, len(limits))],
		})
	}
	return messages
}

func (t *Table) encodeLimit(s *server, key string, now time.Time) *peerrpc.ServerLimit {
	share, reachable := t.peers.share(now)
	s.bucket.refill(s.rate(share), jitterRange(reachable), now)
	s.encodedAt = now
	return &peerrpc.ServerLimit{
		Server: key, Named: s.limit.Present, PerSecond: s.limit.PerSecond,
		AskedAgeMs: now.Sub(s.limit.RequestedAt).Milliseconds() + 1, HeardAgeMs: now.Sub(s.limit.ReceivedAt).Milliseconds(),
		Sent: s.local.sent, Refused: s.local.refused, Customer: s.lastCustomer, Tokens: s.bucket.tokens,
	}
}

// MarkPeerSeen records that a peer was seen at a time by other means than its messages: it may
// send requests to servers.
func (t *Table) MarkPeerSeen(address string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer := t.peers.get(address)
	peer.contactAt = latest(peer.contactAt, at)
}

// Change is a change of a server's limit.
type Change struct {
	Server   string
	Limit    Limit
	Previous Limit
}

// Receive applies a peer's message and returns the limits that changed.
func (t *Table) Receive(address string, update *peerrpc.LimitNews, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if update.GetSender() == t.id || update.GetSender() == 0 {
		return nil
	}
	peer := t.peers.get(address)
	wasUnresponsive := now.Sub(peer.messageAt) > t.peers.timeout()
	peer.messageAt, peer.share = now, 0
	if share := update.GetPart(); share > 0 && share <= 1 {
		peer.share = share
	}
	if update.GetLeaving() {
		peer.departed = update.GetSender()
		return nil
	}
	if peer.departed != update.GetSender() {
		peer.departed = 0 // the peer's next process
	}
	var changed []Change
	for _, limit := range update.GetLimits() {
		if change, ok := t.receiveLimit(update.GetSender(), limit, wasUnresponsive, now); ok {
			changed = append(changed, change)
		}
	}
	return changed
}

// receiveLimit applies a peer's report about one limit.
func (t *Table) receiveLimit(sender uint64, limit *peerrpc.ServerLimit, wasUnresponsive bool, now time.Time) (change Change, changed bool) {
	if math.IsNaN(limit.GetPerSecond()) || limit.GetPerSecond() < 0 || limit.GetServer() == "" {
		return Change{}, false
	}
	received := Limit{
		Present: limit.GetNamed(), PerSecond: limit.GetPerSecond(),
		RequestedAt: now.Add(-age(limit.GetAskedAgeMs()) - maxTransit), ReceivedAt: now.Add(-age(limit.GetHeardAgeMs())),
	}
	previous, changed := t.updateLimit(limit.GetServer(), received, now)
	s := t.servers[limit.GetServer()]
	if s == nil {
		return Change{}, false
	}
	t.mergeCounts(s, sender, limit, wasUnresponsive, now)
	return Change{Server: limit.GetServer(), Limit: s.limit, Previous: previous}, changed
}

// mergeCounts applies a peer's request counts. The first counts from a peer only set the
// baseline, since its requests may not be recent. Counts from a peer that was unresponsive are
// bounded, because its requests came from its own share.
func (t *Table) mergeCounts(s *server, sender uint64, limit *peerrpc.ServerLimit, wasUnresponsive bool, now time.Time) {
	previous, seen := s.peers[sender]
	newest := counts{sent: max(limit.GetSent(), previous.sent), refused: max(limit.GetRefused(), previous.refused)}
	s.peers[sender] = peerCounts{counts: newest, at: now}
	if !s.limit.Present {
		return
	}
	share, reachable := t.peers.share(now)
	rate := s.rate(share)
	s.bucket.refill(rate, jitterRange(reachable), now)
	if seen {
		sent := float64(newest.sent - previous.sent)
		if wasUnresponsive {
			sent = min(sent, rate*t.peers.timeout().Seconds())
		}
		s.currentBacklog(rate, now)
		s.backlog = min(s.backlog+float64(newest.refused-previous.refused), rate*maxRetryAfter.Seconds())
		t.recordPeerRequests(s, sent, limit.GetCustomer(), now)
	}
	s.bucket.convergeTo(limit.GetTokens())
}

// recordPeerRequests takes tokens for requests that a peer sent, one of them for the customer.
func (t *Table) recordPeerRequests(s *server, sent float64, customer uint64, now time.Time) {
	if sent <= 0 {
		return
	}
	share, _ := t.peers.share(now)
	s.consume(sent, share, now)
	if customer != 0 {
		s.usage.record(customer, s.rate(share), now)
	}
	s.drawJitter(t)
}

// age converts milliseconds to a duration within [0, maxAge].
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}
