package quarantine

import (
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
	mu              sync.Mutex // no other lock is taken while it is held
	requests, parts evidenceSet
	// configured are the quarantines in the configuration, of requests and of parts.
	configured map[Digest]configuredQuarantine
	served     servedPrompts
	// changes counts the changes of evidence.
	changes   int64
	expiredAt time.Time
	blame     blame
}

// configuredQuarantine is a quarantine in the configuration.
type configuredQuarantine struct {
	until time.Time
	// customer is the only one whose requests with a part are kept from servers; "" means all.
	customer string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{requests: newEvidenceSet(), parts: newEvidenceSet(), configured: map[Digest]configuredQuarantine{}}
}

// Empty reports whether the table holds neither requests nor parts. All requests are healthy then,
// and need no fingerprint.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests.subjects) == 0 && len(t.parts.subjects) == 0 && len(t.configured) == 0
}

// Admit decides whether a request may be sent to a server now. A healthy or suspect request
// counts as in progress until Done.
func (t *Table) Admit(f Fingerprint, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.requests.get(f.Digest)
	decision := t.decide(f.Digest, r, now)
	if decision.State == Suspect && r.inProgress > 0 {
		decision.State = Pending
	}
	byParts := t.decideParts(f, now)
	decision = decision.stricter(byParts)
	if decision.State == Healthy || decision.State == Suspect {
		if r.inProgress == 0 {
			r.admittedAt = t.changes
		}
		r.inProgress++
		t.recordProbe(byParts, now)
	}
	t.requests.dropIfEmpty(f.Digest, r)
	return decision
}

// Done ends an attempt that Admit permitted.
func (t *Table) Done(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests.get(d)
	r.inProgress--
	t.requests.dropIfEmpty(d, r)
}

// Decision returns the decision about a request, without regard to its prompt.
func (t *Table) Decision(d Digest, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests.subjects[d]
	if r == nil {
		r = &subject{}
	}
	return t.decide(d, r, now)
}

// RecordConnectionLoss records that the connection to a server was lost during an attempt. It
// reports whether no other loss at the server is unresolved: the caller then has to probe the
// server.
func (t *Table) RecordConnectionLoss(f Fingerprint, server string, now time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = !t.exitPending(server, now)
	r := t.requests.get(f.Digest)
	r.info = f.Info
	loss := connectionLoss{
		at: now, customers: oneOrSeveral[string]{one: f.Info.Customer}, requests: oneOrSeveral[Digest]{one: f.Digest},
	}
	if r.inProgress > 0 {
		loss.admittedAt = r.admittedAt
	}
	r.setLoss(server, loss)
	for _, part := range f.recordedParts() {
		s := t.parts.get(part.Digest)
		s.info, s.part = f.Info, &part
		merged := loss
		if previous, found := s.losses[server]; found {
			merged.customers = loss.customers.merge(previous.customers)
			merged.requests = loss.requests.merge(previous.requests)
			merged.admittedAt = max(loss.admittedAt, previous.admittedAt)
		}
		s.setLoss(server, merged)
	}
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
	for _, r := range t.requests.subjects {
		if loss, found := r.losses[server]; found && loss.isPending(now) {
			return true
		}
	}
	return false
}

// sets returns the evidence against requests and that against parts.
func (t *Table) sets() []*evidenceSet { return []*evidenceSet{&t.requests, &t.parts} }

// MarkAlive records that a server survived the connection losses up to a time.
func (t *Table) MarkAlive(server string, upTo time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, set := range t.sets() {
		for _, s := range set.subjects {
			if loss, found := s.losses[server]; found && !loss.at.After(upTo) {
				loss.alive = true
				s.losses[server] = loss
			}
		}
	}
}

// DropLosses removes the connection losses at a server before a time, which it has survived.
func (t *Table) DropLosses(server string, before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, set := range t.sets() {
		for d, s := range set.subjects {
			if loss, found := s.losses[server]; found && loss.at.Before(before) {
				delete(s.losses, server)
				set.dropIfEmpty(d, s)
			}
		}
	}
}

// MarkExited records that a server exited. It returns the evidence against the requests that
// recently lost their connection to it, and against the parts of their prompts.
func (t *Table) MarkExited(server string, now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Evidence
	summary := servedSummary{}
	for _, set := range t.sets() {
		for d, s := range set.subjects {
			loss, found := s.losses[server]
			if !found {
				continue
			}
			delete(s.losses, server)
			if now.Sub(loss.at) > lossRetention {
				set.dropIfEmpty(d, s)
				continue
			}
			name, known := s.exitName(server, loss)
			if known {
				continue
			}
			e := exit{at: loss.at, learnedAt: now, local: true}
			if s.part != nil {
				if summary.parts == nil {
					summary = t.served.summary(now)
				}
				e.context, e.cleared = summary.context(s.part, loss.at)
				e.context.customers, e.context.requests = loss.customers, loss.requests
			}
			t.setExit(set, s, d, name, e)
			changed = append(changed, s.evidence(d, name))
		}
	}
	t.evictExcess()
	return changed
}

// setExit stores an exit and updates the hash.
func (t *Table) setExit(set *evidenceSet, s *subject, d Digest, server string, e exit) {
	if old, found := s.exits[server]; found {
		set.hash ^= hashOf(d, server, old)
	}
	t.changes++
	e.change = t.changes
	if e.added == 0 {
		e.added = t.changes
	}
	if s.exits == nil {
		s.exits = map[string]exit{}
	}
	s.exits[server] = e
	set.hash ^= hashOf(d, server, e)
}

// RecordServed records that a service completed a request with a prompt, which vouches for its parts.
func (t *Table) RecordServed(service string, parts PromptParts, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served.add(servedPrompt{at: now, service: service, parts: parts})
}

// RecordSuccess records that a request completed successfully. It returns the evidence that
// this clears, against it and against the parts of its prompt.
func (t *Table) RecordSuccess(f Fingerprint) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.clear(&t.requests, f.Digest)
	for _, part := range f.Parts {
		changed = append(changed, t.clear(&t.parts, part.Digest)...)
	}
	return changed
}

// clear removes the lost connections of a subject and clears its exits.
func (t *Table) clear(set *evidenceSet, d Digest) []Evidence {
	s := set.subjects[d]
	if s == nil {
		return nil
	}
	var changed []Evidence
	clear(s.losses)
	for server, e := range s.exits {
		if e.cleared {
			continue
		}
		e.cleared = true
		t.setExit(set, s, d, server, e)
		changed = append(changed, s.evidence(d, server))
	}
	set.dropIfEmpty(d, s)
	return changed
}

// QuarantineUntil sets the end of a quarantine from the operators' configuration: of a request, or of
// a part, for all requests with it or those of one customer. The zero time removes it.
func (t *Table) QuarantineUntil(d Digest, customer string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.IsZero() {
		delete(t.configured, d)
		return
	}
	t.configured[d] = configuredQuarantine{until: until, customer: customer}
}

// EndQuarantine releases a request, or requests with a part, on an operator's command. It returns
// the evidence that this clears.
func (t *Table) EndQuarantine(d Digest) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.configured, d)
	return append(t.clear(&t.requests, d), t.clear(&t.parts, d)...)
}

// Quarantined returns the requests and the parts that are quarantined by evidence. Parts of which
// either of several may be the cause aren't listed.
func (t *Table) Quarantined(now time.Time) map[Digest]Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[Digest]Decision{}
	for d, r := range t.requests.subjects {
		if len(r.exitedServers()) < exitsToQuarantine {
			continue
		}
		if decision := t.decide(d, r, now); decision.State == Quarantined {
			found[d] = decision
		}
	}
	for _, s := range t.candidates(now) {
		customer := s.concerned(s.exitedServers()).customers.one
		only := Fingerprint{Info: RequestInfo{Customer: customer}, Parts: []Part{*s.part}}
		if decision := t.decidePart(only, s, now); decision.State == Quarantined {
			decision.Info.Customer = customer
			found[s.part.Digest] = decision
		}
	}
	return found
}

// MarkAnnounced records the number of a quarantined request's or part's exits. It reports whether
// there are more than at the last call.
func (t *Table) MarkAnnounced(d Digest, decision Decision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.requests.get(d)
	if decision.Part != nil {
		s = t.parts.get(d)
	}
	if len(decision.Servers) <= s.announcedExits {
		return false
	}
	s.announcedExits = len(decision.Servers)
	return true
}

// Cleared reports whether the evidence no longer supports a quarantine, although this table
// has all exits that caused it: they were cleared, or turned out to be shared with other
// requests. An expired quarantine does not count as cleared, since operators may have extended
// it.
func (t *Table) Cleared(d Digest, servers []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, isPart := t.parts.subjects[d], true
	if s == nil {
		s, isPart = t.requests.subjects[d], false
	}
	if s == nil || len(servers) == 0 {
		return false
	}
	for _, server := range servers {
		if _, found := s.exits[server]; !found {
			return false
		}
	}
	if isPart {
		return !t.enough(s, s.exitedServers())
	}
	remaining := t.unexplained(Fingerprint{}, s, now)
	if counted := t.countedExits(s, remaining); counted != exitsToQuarantine {
		return counted < exitsToQuarantine
	}
	return now.Sub(s.lastLearned()) >= SettleTime && t.exitsShared(d, remaining)
}
