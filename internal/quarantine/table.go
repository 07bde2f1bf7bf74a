package quarantine

import (
	"hash/fnv"
	"strconv"
	"sync"
	"time"
)

const (
	// lossRetention is how long after a lost connection its server may be found to have
	// exited. A registration expires after three missed heartbeats, five seconds at most.
	lossRetention = 8 * time.Second
	// minExitGap is the minimum time between two exits of a server that restarts under the
	// same ID, if the second attempt was admitted before the first exit was known. Reports of
	// one exit by several daemons are closer together.
	minExitGap = 2 * time.Second
)

// Table holds one daemon's evidence of servers that exited while running requests. Tables that
// exchange evidence converge regardless of order and repetition: evidence is only added, and
// only changes to cleared. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex // no other lock is taken while it is held
	requests map[Digest]*request
	// changes counts the changes of evidence; hash covers all evidence.
	changes   int64
	hash      uint64
	expiredAt time.Time
}

// request is the state of one request.
type request struct {
	info RequestInfo
	// inProgress counts the attempts at this daemon that Admit permitted; admittedAt is the table's
	// change counter when the oldest of them was admitted.
	inProgress int
	admittedAt int64
	// losses are lost connections, exits the servers' exits, by server; nil until the first.
	losses map[string]connectionLoss
	exits  map[string]exit
	// configuredUntil is the end of the quarantine in the configuration.
	configuredUntil time.Time
	// announcedExits is the number of exits at the last MarkAnnounced.
	announcedExits int
}

type connectionLoss struct {
	at time.Time
	// admittedAt is the table's change counter when the attempt was admitted; 0 if it wasn't.
	admittedAt int64
	// alive is set when the server is presumed alive.
	alive bool
}

type exit struct {
	at time.Time
	// learnedAt is when this daemon learned of the exit.
	learnedAt time.Time
	cleared   bool
	// change is the table's change counter when this entry last changed, added when it was added.
	change, added int64
	// local is set if this daemon observed the exit.
	local bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{requests: map[Digest]*request{}} }

func (t *Table) request(d Digest) *request {
	r := t.requests[d]
	if r == nil {
		r = &request{}
		t.requests[d] = r
	}
	return r
}

// Empty reports whether the table holds no requests. All requests are healthy then, and need no
// digest.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests) == 0
}

// Admit decides whether a request may be sent to a server now. A healthy or suspect request
// counts as in progress until Done.
func (t *Table) Admit(d Digest, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.request(d)
	decision := t.decide(d, r, now)
	if decision.State == Suspect && r.inProgress > 0 {
		decision.State = Pending
	}
	if decision.State == Healthy || decision.State == Suspect {
		if r.inProgress == 0 {
			r.admittedAt = t.changes
		}
		r.inProgress++
	}
	t.dropIfEmpty(d, r)
	return decision
}

// Done ends an attempt that Admit permitted.
func (t *Table) Done(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.request(d)
	r.inProgress--
	t.dropIfEmpty(d, r)
}

// dropIfEmpty removes a request without any state.
func (t *Table) dropIfEmpty(d Digest, r *request) {
	if r.inProgress <= 0 && len(r.losses) == 0 && len(r.exits) == 0 && r.configuredUntil.IsZero() {
		delete(t.requests, d)
	}
}

// Decision returns the decision about a request.
func (t *Table) Decision(d Digest, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return Decision{}
	}
	return t.decide(d, r, now)
}

// RecordConnectionLoss records that the connection to a server was lost during an attempt. It
// reports whether no other loss at the server is unresolved: the caller then has to probe the
// server.
func (t *Table) RecordConnectionLoss(d Digest, info RequestInfo, server string, now time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = !t.exitPending(server, now)
	r := t.request(d)
	r.info = info
	if r.losses == nil {
		r.losses = map[string]connectionLoss{}
	}
	loss := connectionLoss{at: now}
	if r.inProgress > 0 {
		loss.admittedAt = r.admittedAt
	}
	r.losses[server] = loss
	return first
}

// ExitPending reports whether connections to a server were lost and it is unknown whether it
// exited.
func (t *Table) ExitPending(server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.exitPending(server, now)
}

func (t *Table) exitPending(server string, now time.Time) bool {
	for _, r := range t.requests {
		if loss, found := r.losses[server]; found && !loss.alive && now.Sub(loss.at) < lossPendingTime {
			return true
		}
	}
	return false
}

// MarkAlive records that a server survived the connection losses up to a time.
func (t *Table) MarkAlive(server string, upTo time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		if loss, found := r.losses[server]; found && !loss.at.After(upTo) {
			loss.alive = true
			r.losses[server] = loss
		}
	}
}

// DropLosses removes the connection losses at a server before a time, which it has survived.
func (t *Table) DropLosses(server string, before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for d, r := range t.requests {
		if loss, found := r.losses[server]; found && loss.at.Before(before) {
			delete(r.losses, server)
			t.dropIfEmpty(d, r)
		}
	}
}

// MarkExited records that a server exited. It returns the evidence against the requests that
// recently lost their connection to it.
func (t *Table) MarkExited(server string, now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Evidence
	for d, r := range t.requests {
		loss, found := r.losses[server]
		if !found {
			continue
		}
		delete(r.losses, server)
		if now.Sub(loss.at) > lossRetention {
			t.dropIfEmpty(d, r)
			continue
		}
		name, known := r.exitName(server, loss)
		if known {
			continue
		}
		t.setExit(r, d, name, exit{at: loss.at, learnedAt: now, local: true})
		changed = append(changed, Evidence{Digest: d, Info: r.info, Server: name, ExitedAt: loss.at})
	}
	t.evictExcess()
	return changed
}

// exitName returns the name under which the exit behind a lost connection is stored, and whether
// it is stored already. A server that restarts under the same ID can exit more than once: the
// attempt can't have been lost to an exit that was known when it was admitted. The order is that of
// knowledge, since clocks and the delays between daemons can't tell exits in quick succession apart.
func (r *request) exitName(server string, loss connectionLoss) (name string, known bool) {
	name = server
	for n := 2; ; n++ {
		e, found := r.exits[name]
		if !found {
			return name, false
		}
		if e.added > loss.admittedAt && loss.at.Sub(e.at).Abs() < minExitGap {
			return name, true
		}
		name = server + "#" + strconv.Itoa(n)
	}
}

// setExit stores an exit and updates the hash.
func (t *Table) setExit(r *request, d Digest, server string, e exit) {
	if old, found := r.exits[server]; found {
		t.hash ^= hashOf(d, server, old.cleared)
	}
	t.changes++
	e.change = t.changes
	if e.added == 0 {
		e.added = t.changes
	}
	if r.exits == nil {
		r.exits = map[string]exit{}
	}
	r.exits[server] = e
	t.hash ^= hashOf(d, server, e.cleared)
}

func hashOf(d Digest, server string, cleared bool) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(d[:]) // a hash never returns an error
	_, _ = h.Write([]byte(server))
	_, _ = h.Write([]byte(strconv.FormatBool(cleared)))
	return h.Sum64()
}

// RecordSuccess records that a request completed successfully. It returns the evidence that
// this clears.
func (t *Table) RecordSuccess(d Digest) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return nil
	}
	clear(r.losses)
	return t.clear(d, r)
}

func (t *Table) clear(d Digest, r *request) []Evidence {
	var changed []Evidence
	for server, e := range r.exits {
		if e.cleared {
			continue
		}
		e.cleared = true
		t.setExit(r, d, server, e)
		changed = append(changed, Evidence{Digest: d, Info: r.info, Server: server, ExitedAt: e.at, Cleared: true})
	}
	t.dropIfEmpty(d, r)
	return changed
}

// Merge applies evidence of peers and returns the part that was new.
func (t *Table) Merge(evidence []Evidence, now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Evidence
	for _, e := range evidence {
		if now.Sub(e.ExitedAt) > longQuarantine {
			continue
		}
		r := t.request(e.Digest)
		old, known := r.exits[e.Server]
		if known && (old.cleared || !e.Cleared) {
			continue
		}
		if known {
			e.ExitedAt = old.at
		}
		if e.Info != (RequestInfo{}) {
			r.info = e.Info
		}
		t.setExit(r, e.Digest, e.Server, exit{at: e.ExitedAt, learnedAt: now, cleared: e.Cleared, added: old.added})
		changed = append(changed, e)
	}
	t.evictExcess()
	return changed
}

// Since returns the evidence that changed after a change number of this table, and the latest
// change number.
func (t *Table) Since(change int64) ([]Evidence, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Evidence
	for d, r := range t.requests {
		for server, e := range r.exits {
			if e.change > change {
				found = append(found, Evidence{Digest: d, Info: r.info, Server: server, ExitedAt: e.at, Cleared: e.cleared})
			}
		}
	}
	return found, t.changes
}

// Hash returns a value that is equal for tables with the same evidence.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hash
}

// QuarantineUntil sets the end of a quarantine from the operators' configuration.
func (t *Table) QuarantineUntil(d Digest, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.request(d).configuredUntil = until
}

// EndQuarantine releases a request on an operator's command. It returns the evidence that this
// clears.
func (t *Table) EndQuarantine(d Digest) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.request(d)
	r.configuredUntil = time.Time{}
	return t.clear(d, r)
}

// Quarantined returns the requests that are quarantined by evidence.
func (t *Table) Quarantined(now time.Time) map[Digest]Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[Digest]Decision{}
	for d, r := range t.requests {
		if len(r.exitedServers()) < exitsToQuarantine {
			continue
		}
		if decision := t.decide(d, r, now); decision.State == Quarantined {
			found[d] = decision
		}
	}
	return found
}

// MarkAnnounced records the number of a quarantined request's exits. It reports whether there
// are more than at the last call.
func (t *Table) MarkAnnounced(d Digest, decision Decision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.request(d)
	if len(decision.Servers) <= r.announcedExits {
		return false
	}
	r.announcedExits = len(decision.Servers)
	return true
}

// Cleared reports whether the evidence no longer supports a quarantine, although this table
// has all exits that caused it: they were cleared, or turned out to be shared with other
// requests. An expired quarantine does not count as cleared, since operators may have extended
// it.
func (t *Table) Cleared(d Digest, servers []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil || len(servers) == 0 {
		return false
	}
	for _, server := range servers {
		if _, found := r.exits[server]; !found {
			return false
		}
	}
	remaining := r.exitedServers()
	if counted := t.countedExits(r, remaining); counted != exitsToQuarantine {
		return counted < exitsToQuarantine
	}
	return now.Sub(r.lastLearned()) >= SettleTime && t.exitsShared(d, remaining)
}
